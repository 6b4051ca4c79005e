//! A pool of HTTP/1.1 connections to backend servers.

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
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;

/// Timeout for opening a connection. An instance that is gone does not refuse a connection but
/// stays silent.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Time for which an idle connection is kept if the backend server announces no timeout; also the
/// upper limit if it does.
const DEFAULT_IDLE_MS: u64 = 3_000;

/// Time before a backend server's announced idle timeout in which a connection is not used any
/// more.
///
/// If a request is sent while the backend server closes the connection, nothing proves that the
/// request did not run.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Time without acknowledgement after which the kernel drops a connection. Otherwise requests to
/// an instance that is cut off would hang until their deadlines.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;

/// Size of the kernel's receive buffer of a connection, which Linux doubles for its own data. It
/// bounds what a backend server can send while its caller does not read; by itself the kernel lets it
/// grow to megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// Largest read buffer of the HTTP library, which also limits the head of a response. Its default is
/// 400 KB for each connection.
const MAX_LIBRARY_BUFFER_BYTES: usize = 32 * 1024;

/// Idle connections kept to one incarnation: about as many as one entry has open requests there.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A connection that carries one request at a time. It is closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) is_reused: bool,
    driver: AbortHandle,
    usable_until: BootMs,
}

impl Drop for Connection {
    /// Closes the connection at once, so that the backend server stops working on a request whose
    /// caller has left.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by incarnation, which is identified by its id and start time.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<(String, u64), Vec<Connection>>>,
}

impl Pool {
    /// Returns an idle connection, or opens one if there is none or `fresh` is set.
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
        // The HTTP library closes a connection on which unrequested bytes arrive.
        connections.retain(|it| it.usable_until > now && it.sender.is_ready());
        let mut connection = connections.pop()?;
        connection.is_reused = true;
        Some(connection)
    }

    /// Adds a connection whose answer was read to its end. `idle_timeout_ms` is the timeout that
    /// the backend server announced.
    pub(crate) fn put(
        &self,
        server: &BackendServer,
        mut connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let announced_ms = idle_timeout_ms.map(|ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let usable_ms = announced_ms.unwrap_or(DEFAULT_IDLE_MS).min(DEFAULT_IDLE_MS);
        connection.usable_until = boot_now().after(usable_ms);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key_of(server)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes expired connections, and those to incarnations that are gone.
    pub(crate) fn prune(&self, is_known: impl Fn(&str, u64) -> bool) {
        let now = boot_now();
        self.idle.borrow_mut().retain(|(id, born_ms), connections| {
            connections.retain(|it| it.usable_until > now && !it.sender.is_closed());
            !connections.is_empty() && is_known(id, *born_ms)
        });
    }
}

/// Returns the key of an incarnation. The id alone is not enough, as connections to an earlier
/// incarnation with the same id are dead.
fn key_of(server: &BackendServer) -> (String, u64) {
    (server.id.clone(), server.born_ms)
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The window that the kernel announces depends on it, so it is set before the connection is made.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let unacknowledged = Duration::from_millis(TCP_USER_TIMEOUT_MS);
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    // A request may wait in the kernel's buffers while its backend server's instance is frozen or
    // cut off. After an ordinary close it would still be delivered when the instance is back, and
    // the backend server would begin work whose caller left seconds ago. A reset discards it.
    socket.set_linger(Some(Duration::ZERO))?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_LIBRARY_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // The request on this connection fails with the same error.
        let _ = connection.await;
    });
    let driver = driver.abort_handle();
    Ok(Connection { sender, is_reused: false, driver, usable_until: BootMs(0) })
}
