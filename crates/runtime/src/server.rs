//! Configuration and start of the programs' HTTP servers.

use rocket::config::{Config, Ident, LogLevel, Shutdown, TlsConfig};
use rocket::data::Limits;
use rocket::{Build, Rocket, Shutdown as ShutdownHandle};
use std::net::SocketAddr;
use std::path::Path;

/// Seconds after the start of a shutdown in which Rocket lets open connections finish.
///
/// Rocket waits this long whenever a connection is open, even an idle one. The programs therefore
/// start the shutdown only after all responses have been sent, and a short time is enough.
const GRACE_S: u32 = 1;
/// Further seconds before Rocket closes the remaining connections by force.
const MERCY_S: u32 = 1;

/// Creates a server without TLS, to be started with [`start`].
///
/// Rocket handles no signals. The programs handle them, because their cores decide when no requests
/// are left.
#[must_use]
pub fn build(address: SocketAddr) -> Rocket<Build> {
    build_with_tls(address, None)
}

/// The files with a server's certificate chain and key.
#[derive(Clone, Copy, Debug)]
pub struct TlsFiles<'a> {
    /// Certificate chain, in PEM.
    pub certificate_file: &'a Path,
    /// Private key, in PEM.
    pub key_file: &'a Path,
}

/// Creates a server as [`build`] does, with TLS if files are given. Rocket reads the files once, at
/// start.
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

/// A running server.
pub struct RunningServer {
    shutdown: ShutdownHandle,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Stops accepting connections and waits until the open ones are closed.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// The error when a server cannot start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve HTTP on {address}: {cause}")]
pub struct ServeError {
    address: SocketAddr,
    cause: String,
}

/// Starts a server and returns once it accepts connections.
///
/// # Errors
///
/// If the address cannot be bound or the routes collide.
pub async fn start(
    address: SocketAddr,
    rocket: Rocket<Build>,
) -> Result<RunningServer, ServeError> {
    let error_with = |cause: String| ServeError { address, cause };
    let (started_sender, started) = tokio::sync::oneshot::channel();
    let started_sender = std::sync::Mutex::new(Some(started_sender));
    let announce = rocket::fairing::AdHoc::on_liftoff("announce", move |_| {
        Box::pin(async move {
            let sender = started_sender.lock().ok().and_then(|mut sender| sender.take());
            if let Some(sender) = sender {
                let _ = sender.send(());
            }
        })
    });
    let ignited =
        rocket.attach(announce).ignite().await.map_err(|error| error_with(error.to_string()))?;
    let shutdown = ignited.shutdown();
    let (failure_sender, failure) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(error) = ignited.launch().await {
            let _ = failure_sender.send(error.to_string());
        }
    });
    tokio::select! {
        Ok(()) = started => Ok(RunningServer { shutdown, task }),
        Ok(cause) = failure => Err(error_with(cause)),
        else => Err(error_with("the server stopped during its start".to_owned())),
    }
}
