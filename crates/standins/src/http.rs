//! A `rocket` server behind a relay that can disturb its connections.

use crate::relay::TcpRelay;
use rocket::config::{Config, Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, OnceLock};
use tokio::sync::oneshot;

/// Threads that `rocket` may take for blocking work; the stand-ins have none.
const BLOCKING_THREADS: usize = 1;

/// A running server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    relay: Arc<TcpRelay>,
    shutdown: rocket::Shutdown,
}

/// What handlers may do to their own connection; managed by each server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections(Arc<OnceLock<Arc<TcpRelay>>>);

impl HttpServer {
    /// Starts a server with the given state and routes.
    pub(crate) async fn start<S>(state: S, routes: Vec<rocket::Route>) -> io::Result<Self>
    where
        S: Clone + Send + Sync + 'static,
    {
        let connections = Connections::default();
        let (port_sender, port_receiver) = oneshot::channel();
        let rocket = rocket::custom(config())
            .attach(Shield::new())
            .attach(report_port(port_sender))
            .manage(state)
            .manage(connections.clone())
            .mount("/", routes)
            .ignite()
            .await
            .map_err(io::Error::other)?;
        let shutdown = rocket.shutdown();
        tokio::spawn(rocket.launch());
        let port = port_receiver.await.map_err(io::Error::other)?;
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let relay = Arc::new(TcpRelay::start(inner).await?);
        // Set once, here.
        let _first = connections.0.set(relay.clone());
        Ok(Self { relay, shutdown })
    }

    /// The relay in front of it.
    pub(crate) fn relay(&self) -> &TcpRelay {
        &self.relay
    }

    /// Cuts every connection and ends the server.
    pub(crate) fn shutdown(&self) {
        self.relay.shutdown();
        self.shutdown.clone().notify();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}

impl Connections {
    /// Breaks the connection of a request that came from `remote`.
    pub(crate) fn cut(&self, remote: SocketAddr) {
        if let Some(relay) = self.0.get() {
            relay.cut_by_port(remote.port());
        }
    }

    /// Resolves once the client of a request that came from `remote` has gone.
    pub(crate) async fn client_gone(&self, remote: SocketAddr) {
        if let Some(relay) = self.0.get() {
            relay.client_gone(remote.port()).await;
        }
    }
}

fn config() -> Config {
    Config {
        address: Ipv4Addr::LOCALHOST.into(),
        port: 0,
        workers: 1,
        max_blocking: BLOCKING_THREADS,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

/// Tells the port that the kernel chose, once `rocket` listens.
fn report_port(sender: oneshot::Sender<u16>) -> AdHoc {
    let sender = std::sync::Mutex::new(Some(sender));
    AdHoc::on_liftoff("report port", move |rocket| {
        let taken = sender.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = taken {
            let _waits = sender.send(rocket.config().port);
        }
        Box::pin(async {})
    })
}
