//! One relayed TCP connection.

use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Pieces that may wait for their release in one direction.
const PIECES_IN_FLIGHT: usize = 256;

/// State of one connection that its relay and its two pumps share.
#[derive(Debug)]
pub(super) struct Flow {
    /// Set from the moment on which nothing passes any more, in either direction.
    pub(super) swallowed: AtomicBool,
    /// Wakes the task that ends the connection.
    pub(super) cut: Notify,
    /// Becomes true when the client has closed its end.
    pub(super) gone: watch::Sender<bool>,
}

impl Flow {
    pub(super) fn new() -> Self {
        Self {
            swallowed: AtomicBool::new(false),
            cut: Notify::new(),
            gone: watch::Sender::new(false),
        }
    }
}

/// A piece of a byte stream and the moment at which it may pass.
struct Piece {
    bytes: Bytes,
    release: Instant,
}

/// Moves bytes both ways until both ends have closed or the flow is cut.
pub(super) async fn run(
    client: TcpStream,
    server: TcpStream,
    flow: &Flow,
    delay_ms: &AtomicU64,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let upward = async {
        let result = pump(from_client, to_server, flow, delay_ms).await;
        flow.gone.send_replace(true);
        result
    };
    let downward = pump(from_server, to_client, flow, delay_ms);
    tokio::select! {
        () = flow.cut.notified() => Ok(()),
        result = async { tokio::try_join!(upward, downward) } => result.map(|_| ()),
    }
}

/// Moves bytes one way, each piece after the delay in force when it came.
async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    flow: &Flow,
    delay_ms: &AtomicU64,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(PIECES_IN_FLIGHT);
    tokio::try_join!(read(from, sender, delay_ms), write(to, receiver, flow))?;
    Ok(())
}

async fn read(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Piece>,
    delay_ms: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let release = Instant::now() + Duration::from_millis(delay_ms.load(Ordering::Relaxed));
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        if sender.send(Piece { bytes, release }).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Piece>,
    flow: &Flow,
) -> io::Result<()> {
    while let Some(piece) = receiver.recv().await {
        tokio::time::sleep_until(piece.release).await;
        if !flow.swallowed.load(Ordering::Relaxed) {
            to.write_all(&piece.bytes).await?;
        }
    }
    if flow.swallowed.load(Ordering::Relaxed) {
        // A forgotten connection never learns of the other end's close either: without this wait
        // the end would be told, and a fault that only silence shows would not be shown.
        std::future::pending::<()>().await;
    }
    to.shutdown().await
}

/// Reads and drops whatever a client sends, until it closes or the flow is cut.
pub(super) async fn swallow_all(mut client: TcpStream, flow: &Flow) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let read = tokio::select! {
            () = flow.cut.notified() => return Ok(()),
            read = client.read(&mut buffer) => read?,
        };
        if read == 0 {
            return Ok(());
        }
    }
}

/// Opens the server side of a flow.
pub(super) async fn connect(server: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect(server).await
}
