//! Accepts links from other processes.

use super::connection::ConnectionTask;
use super::handshake::{Agreed, Control, HANDSHAKE_TIMEOUT, answer};
use super::{LinkEvent, Shared, transport};
use quinn::{Connection, Endpoint, Incoming};
use std::net::SocketAddr;
use std::sync::Arc;

/// A bound address on which links are accepted until [`Listener::close`].
pub struct Listener {
    endpoint: Endpoint,
    shared: Arc<Shared>,
}

impl Listener {
    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// If the operating system cannot report the address of the socket.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Uses the current keys of the [`Links`](super::Links) for links accepted from now on.
    pub fn apply_keys(&self) {
        self.endpoint.set_server_config(Some(server_config(&self.shared)));
    }

    /// Stops accepting links and closes every link that was accepted here.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"closed");
    }
}

pub(super) fn listen(shared: Arc<Shared>, address: SocketAddr) -> std::io::Result<Listener> {
    let endpoint = Endpoint::server(server_config(&shared), address)?;
    let accepting = endpoint.clone();
    let table = Arc::clone(&shared);
    tokio::spawn(async move {
        while let Some(incoming) = accepting.accept().await {
            tokio::spawn(serve(Arc::clone(&table), incoming));
        }
    });
    Ok(Listener { endpoint, shared })
}

fn server_config(shared: &Shared) -> quinn::ServerConfig {
    let mut server = shared.keys().server;
    server.transport_config(Arc::new(transport()));
    server
}

async fn serve(shared: Arc<Shared>, incoming: Incoming) {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake_with(&shared, incoming));
    let (connection, control, agreed) = match handshake.await {
        Ok(Ok(parts)) => parts,
        Ok(Err(reason)) => {
            log::warn!(target: "link", reason = reason.as_str(); "refused");
            return;
        }
        Err(_) => return,
    };
    let link = shared.next_accepted_link();
    let (sender, receiver) = shared.insert(link);
    shared.report(LinkEvent::Opened { link, hello: agreed.hello });
    let task = ConnectionTask::new(Arc::clone(&shared), link, connection, sender, agreed.version);
    let reason = task.run(control, receiver).await;
    shared.remove(link, reason);
}

async fn handshake_with(
    shared: &Shared,
    incoming: Incoming,
) -> Result<(Connection, Control, Agreed), String> {
    let connection = incoming.await.map_err(|error| error.to_string())?;
    let (control, agreed) = answer(shared, &connection).await?;
    Ok((connection, control, agreed))
}
