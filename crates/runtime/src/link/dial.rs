//! Opens links.

use super::connection::{Command, ConnectionTask};
use super::stream::{read_frame, write_frame};
use super::{LinkEvent, Shared, transport};
use crate::security::{AGENT_NAME, certificate_names};
use hickorycross_core::LinkId;
use hickorycross_protocol::{Frame, Hello, PeerRole, VERSIONS, negotiate};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// A handshake that takes longer has failed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens a link in a task of its own.
pub(super) fn open(shared: Arc<Shared>, link: LinkId, address: SocketAddr) {
    let (sender, receiver) = shared.enter(link);
    tokio::spawn(async move {
        let reason = match run(&shared, link, address, sender, receiver).await {
            Ok(reason) | Err(reason) => reason,
        };
        shared.leave(link, reason);
    });
}

async fn run(
    shared: &Arc<Shared>,
    link: LinkId,
    address: SocketAddr,
    sender: UnboundedSender<Command>,
    receiver: UnboundedReceiver<Command>,
) -> Result<String, String> {
    // A middlebox that has forgotten the path of an old link swallows everything from its local
    // port; one would see new connections from that port die as well. A socket for each link gives
    // each a port of its own.
    let endpoint = fresh_endpoint(shared, address).map_err(|error| error.to_string())?;
    let handshake =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, shake_hands(shared, &endpoint, address));
    let (connection, control, hello) =
        handshake.await.map_err(|_| "handshake timed out".to_owned())??;
    shared.report(LinkEvent::Opened { link, hello });
    let task = ConnectionTask::new(Arc::clone(shared), link, connection, sender);
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

async fn shake_hands(
    shared: &Shared,
    endpoint: &Endpoint,
    address: SocketAddr,
) -> Result<(Connection, (SendStream, RecvStream), Hello), String> {
    let connecting = endpoint.connect(address, AGENT_NAME).map_err(|error| error.to_string())?;
    let connection = connecting.await.map_err(|error| error.to_string())?;
    let (mut send, mut recv) = connection.open_bi().await.map_err(|error| error.to_string())?;
    let own = Frame::Hello(shared.greet.hello());
    write_frame(&mut send, &own).await.map_err(|error| error.to_string())?;
    let answer = read_frame(&mut recv).await.map_err(|error| error.to_string())?;
    let hello = judge(shared, &connection, answer)?;
    Ok((connection, (send, recv), hello))
}

fn judge(shared: &Shared, connection: &Connection, answer: Frame) -> Result<Hello, String> {
    let Frame::Hello(hello) = answer else {
        return Err("the first frame was no greeting".to_owned());
    };
    if negotiate(VERSIONS, hello.versions).is_none() {
        return Err(format!("no common version with {:?}", hello.versions));
    }
    let is_agent = matches!(hello.role, PeerRole::Agent { .. });
    if !is_agent {
        return Err("the other end is no agent".to_owned());
    }
    if shared.keys().checks_roles && !certificate_names(connection, AGENT_NAME) {
        return Err("the certificate is not an agent's".to_owned());
    }
    Ok(hello)
}
