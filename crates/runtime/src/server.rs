//! HTTP servers of the programs.

use rocket::config::{Config, Ident, LogLevel, Shutdown, TlsConfig};
use rocket::data::Limits;
use rocket::{Build, Rocket, Shutdown as ShutdownHandle};
use std::net::SocketAddr;
use std::path::Path;

/// Seconds that Rocket grants connections after it was told to stop, before it cuts them. Whatever
/// the open answers, it waits for all of them when a connection is open, idle ones too; so it is
/// told only when every answer is out, and then needs little.
const GRACE_S: u32 = 1;
/// Seconds more before Rocket gives up.
const MERCY_S: u32 = 1;

/// A server that has not been started.
///
/// Rocket handles no signal: the programs do, because their cores decide when nothing is left to
/// finish.
#[must_use]
pub fn build(address: SocketAddr) -> Rocket<Build> {
    build_with_tls(address, None)
}

/// Files with the keys of a server.
#[derive(Clone, Copy, Debug)]
pub struct TlsFiles<'a> {
    /// Certificate chain, in PEM.
    pub certificate_file: &'a Path,
    /// Private key, in PEM.
    pub key_file: &'a Path,
}

/// A server that has not been started, with TLS where files are given. Rocket reads the files once,
/// at start.
#[must_use]
pub fn build_with_tls(address: SocketAddr, tls: Option<TlsFiles<'_>>) -> Rocket<Build> {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: std::iter::empty().collect(),
        grace: GRACE_S,
        mercy: MERCY_S,
        ..Shutdown::default()
    };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        limits: Limits::new(),
        shutdown,
        keep_alive: 30,
        tls: tls.map(|files| TlsConfig::from_paths(files.certificate_file, files.key_file)),
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// A server that runs.
pub struct RunningServer {
    shutdown: ShutdownHandle,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Makes it accept nothing new, and waits until its answers are out.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Why a server does not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve HTTP on {address}: {cause}")]
pub struct ServeError {
    address: SocketAddr,
    cause: String,
}

/// Starts a server and returns when it accepts connections.
///
/// # Errors
///
/// When the address cannot be bound or the routes collide.
pub async fn start(
    address: SocketAddr,
    rocket: Rocket<Build>,
) -> Result<RunningServer, ServeError> {
    let failed = |cause: String| ServeError { address, cause };
    let (up, is_up) = tokio::sync::oneshot::channel();
    let up = std::sync::Mutex::new(Some(up));
    let announce = rocket::fairing::AdHoc::on_liftoff("announce", move |_| {
        Box::pin(async move {
            let up = up.lock().ok().and_then(|mut up| up.take());
            if let Some(up) = up {
                let _ = up.send(());
            }
        })
    });
    let ignited =
        rocket.attach(announce).ignite().await.map_err(|error| failed(error.to_string()))?;
    let shutdown = ignited.shutdown();
    let (fail, failure) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(error) = ignited.launch().await {
            let _ = fail.send(error.to_string());
        }
    });
    tokio::select! {
        Ok(()) = is_up => Ok(RunningServer { shutdown, task }),
        Ok(cause) = failure => Err(failed(cause)),
        else => Err(failed("it ended at once".to_owned())),
    }
}
