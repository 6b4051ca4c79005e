//! Connections to backend servers.

use crate::clock::boot_now;
use bytes::Bytes;
use hickorycross_core::direct::{BackendServer, BootMs};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time for a new connection. A backend server that is gone does not refuse, it says nothing.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Time for which an idle connection is kept when the backend server does not say how long.
const KEEP_IDLE_MS: u64 = 3_000;

/// Part of the time that a backend server keeps idle connections in which they are still used.
///
/// A request that crosses its close is lost without a proof that it has not run.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Time without acknowledgement after which the system gives up a connection: a cut-off machine
/// would otherwise hold its requests until their time is over.
const UNACKNOWLEDGED_MS: u64 = 2_000;

/// Idle connections kept to one incarnation: about the requests that one entry keeps there.
const MOST_IDLE: usize = 8;

/// A connection that carries one request at a time. It is closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    driver: AbortHandle,
    usable_until: BootMs,
}

impl Drop for Connection {
    /// Closes at once, so that a request whose caller has left does not keep its place.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by incarnation: its name and birth.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<(String, u64), Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection, or opens one. With `fresh`, always opens one.
    pub(crate) async fn take(
        &self,
        server: &BackendServer,
        fresh: bool,
    ) -> std::io::Result<Connection> {
        if !fresh && let Some(connection) = self.take_idle(server) {
            return Ok(connection);
        }
        let connecting = connect(server.address);
        match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    fn take_idle(&self, server: &BackendServer) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key_of(server))?;
        let now = boot_now();
        // The library closes a connection on which bytes came that nobody asked for.
        connections.retain(|it| it.usable_until > now && it.sender.is_ready());
        let mut connection = connections.pop()?;
        connection.is_reused = true;
        Some(connection)
    }

    /// Keeps a connection whose answer was read to its end, for `keep_idle_ms` by the backend
    /// server's word.
    pub(crate) fn put(
        &self,
        server: &BackendServer,
        mut connection: Connection,
        keep_idle_ms: Option<u64>,
    ) {
        let kept_ms = keep_idle_ms.map(|ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let usable_ms = kept_ms.unwrap_or(KEEP_IDLE_MS).min(KEEP_IDLE_MS);
        connection.usable_until = boot_now().after(usable_ms);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key_of(server)).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// Closes connections that are past their time, and those of incarnations that are gone.
    pub(crate) fn prune(&self, is_known: impl Fn(&str, u64) -> bool) {
        let now = boot_now();
        self.idle.borrow_mut().retain(|(id, born_ms), connections| {
            connections.retain(|it| it.usable_until > now && !it.sender.is_closed());
            !connections.is_empty() && is_known(id, *born_ms)
        });
    }
}

/// Names an incarnation: connections to an earlier one of the same name lead nowhere.
fn key_of(server: &BackendServer) -> (String, u64) {
    (server.id.clone(), server.born_ms)
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_MS);
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    // A request may wait in the system's buffers while its backend server's machine is frozen or cut
    // off. An ordinary close would deliver it when the machine is back, seconds after its caller has
    // left; one would see backend servers begin work that nobody waits for. A reset takes it back.
    socket.set_linger(Some(Duration::ZERO))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // Its requests learn of the error by themselves.
        let _ = connection.await;
    });
    let driver = driver.abort_handle();
    Ok(Connection { sender, is_reused: false, driver, usable_until: BootMs(0) })
}
