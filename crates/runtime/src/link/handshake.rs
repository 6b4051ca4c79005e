//! The exchange of hellos at the start of a link.
//!
//! Both ends check that they have a protocol version in common, and that the role in the other
//! end's hello matches its certificate.

use super::Shared;
use super::stream::{read_frame, write_frame};
use crate::security::{AGENT_NAME, ENTRY_NAME, certificate_names};
use hickorycross_protocol::{Frame, Hello, PeerRole, SUPPORTED_VERSIONS, Version, negotiate};
use quinn::{Connection, RecvStream, SendStream};
use std::time::Duration;

/// Timeout of a handshake: the QUIC connection and the exchange of hellos.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Both directions of a link's control stream.
pub(super) type Control = (SendStream, RecvStream);

/// The hello of the other end, and the highest protocol version that both ends support.
pub(super) struct Agreed {
    pub(super) hello: Hello,
    pub(super) version: Version,
}

/// Opens the control stream of a connection that this end opened, sends the hello and receives the
/// other one, which has to come from an agent.
pub(super) async fn greet(
    shared: &Shared,
    connection: &Connection,
) -> Result<(Control, Agreed), String> {
    let (mut send, mut recv) = connection.open_bi().await.map_err(|error| error.to_string())?;
    send_hello(shared, &mut send).await?;
    let agreed = receive_hello(shared, connection, &mut recv).await?;
    if matches!(agreed.hello.role, PeerRole::Agent { .. }) {
        Ok(((send, recv), agreed))
    } else {
        Err("the other end is not an agent".to_owned())
    }
}

/// Accepts the control stream of a connection that the other end opened, receives the hello and
/// answers it.
pub(super) async fn answer(
    shared: &Shared,
    connection: &Connection,
) -> Result<(Control, Agreed), String> {
    let (mut send, mut recv) = connection.accept_bi().await.map_err(|error| error.to_string())?;
    let agreed = receive_hello(shared, connection, &mut recv).await?;
    send_hello(shared, &mut send).await?;
    Ok(((send, recv), agreed))
}

async fn send_hello(shared: &Shared, send: &mut SendStream) -> Result<(), String> {
    let own = Frame::Hello(shared.hello_source.hello());
    write_frame(send, &own).await.map_err(|error| error.to_string())
}

async fn receive_hello(
    shared: &Shared,
    connection: &Connection,
    recv: &mut RecvStream,
) -> Result<Agreed, String> {
    let first = read_frame(recv).await.map_err(|error| error.to_string())?;
    let Frame::Hello(hello) = first else {
        return Err("the first frame is not a hello".to_owned());
    };
    let Some(version) = negotiate(SUPPORTED_VERSIONS, hello.versions) else {
        return Err(format!("no protocol version in common with {:?}", hello.versions));
    };
    let name = match hello.role {
        PeerRole::Entry => ENTRY_NAME,
        PeerRole::Agent { .. } => AGENT_NAME,
    };
    if shared.keys().checks_roles && !certificate_names(connection, name) {
        return Err(format!("the peer certificate is not issued for {name}"));
    }
    Ok(Agreed { hello, version })
}
