//! Opens links to other processes.

use super::connection::{Command, ConnectionTask};
use super::handshake::{Agreed, Control, HANDSHAKE_TIMEOUT, greet};
use super::{LinkEvent, Shared, transport};
use crate::security::AGENT_NAME;
use hickorycross_core::LinkId;
use quinn::{Connection, Endpoint};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// Spawns a task that opens a link and serves it until it ends.
pub(super) fn open(shared: Arc<Shared>, link: LinkId, address: SocketAddr) {
    let (sender, receiver) = shared.insert(link);
    tokio::spawn(async move {
        let reason = match run(&shared, link, address, sender, receiver).await {
            Ok(reason) | Err(reason) => reason,
        };
        shared.remove(link, reason);
    });
}

async fn run(
    shared: &Arc<Shared>,
    link: LinkId,
    address: SocketAddr,
    sender: UnboundedSender<Command>,
    receiver: UnboundedReceiver<Command>,
) -> Result<String, String> {
    // Each link has its own socket and therefore its own local port. A middlebox that has lost its
    // state for an earlier link may drop everything from that link's port, so that new connections
    // from the same port would fail as well.
    let endpoint = fresh_endpoint(shared, address).map_err(|error| error.to_string())?;
    let handshake =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake_with(shared, &endpoint, address));
    let (connection, control, agreed) =
        handshake.await.map_err(|_| "handshake timed out".to_owned())??;
    shared.report(LinkEvent::Opened { link, hello: agreed.hello });
    let task = ConnectionTask::new(Arc::clone(shared), link, connection, sender, agreed.version);
    let reason = task.run(control, receiver).await;
    endpoint.close(0_u32.into(), b"closed");
    Ok(reason)
}

fn fresh_endpoint(shared: &Shared, address: SocketAddr) -> std::io::Result<Endpoint> {
    let any: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let mut endpoint = Endpoint::client(any)?;
    let mut client = shared.keys().client;
    client.transport_config(Arc::new(transport()));
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

async fn handshake_with(
    shared: &Shared,
    endpoint: &Endpoint,
    address: SocketAddr,
) -> Result<(Connection, Control, Agreed), String> {
    let connecting = endpoint.connect(address, AGENT_NAME).map_err(|error| error.to_string())?;
    let connection = connecting.await.map_err(|error| error.to_string())?;
    let (control, agreed) = greet(shared, &connection).await?;
    Ok((connection, control, agreed))
}
