//! A relay for UDP datagrams, as between the two ends of QUIC links.

use bytes::Bytes;
use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// All of a thousand.
const PERMILLE: u16 = 1_000;

/// How datagrams are disturbed, in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disturbance {
    /// Delay of each datagram.
    pub delay_ms: u64,
    /// Share that is lost, in thousandths.
    pub loss_permille: u16,
    /// Share that arrives twice, in thousandths.
    pub duplicate_permille: u16,
    /// Share that is held back, in thousandths, so that later ones overtake it.
    pub reorder_permille: u16,
    /// How long these are held back.
    pub reorder_ms: u64,
}

/// Datagrams counted, both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UdpCounts {
    /// Received from either end.
    pub received: u64,
    /// Lost, swallowed or cut.
    pub dropped: u64,
    /// Sent once more than received.
    pub duplicated: u64,
    /// Held back.
    pub held_back: u64,
    /// Handed on to the server, copies included.
    pub to_server: u64,
    /// Handed on to clients, copies included.
    pub to_clients: u64,
    /// Payload bytes of what was handed on to the server.
    pub to_server_bytes: u64,
    /// Payload bytes of what was handed on to clients.
    pub to_clients_bytes: u64,
}

/// Relays datagrams to one server and disturbs them on demand.
///
/// A client's address and port make up a flow. The server sees each flow as coming from a port of
/// its own, as behind a translating middlebox.
#[derive(Debug)]
pub struct UdpRelay {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    front: UdpSocket,
    table: Mutex<Table>,
    queued: Notify,
}

#[derive(Debug)]
struct Table {
    disturbance: Disturbance,
    random: rand_chacha::ChaCha8Rng,
    flows: IndexMap<SocketAddr, Flow>,
    counts: UdpCounts,
    cut: bool,
    /// By due moment, then by arrival: equal delays must not reorder.
    queue: VecDeque<Pending>,
}

/// One client's address and port.
#[derive(Debug)]
struct Flow {
    socket: Arc<UdpSocket>,
    swallowed: bool,
    task: JoinHandle<()>,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A datagram on its way.
#[derive(Clone, Debug)]
struct Pending {
    due: Instant,
    bytes: Bytes,
    client: SocketAddr,
    direction: Direction,
}

/// The way that a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl UdpRelay {
    /// Binds 127.0.0.1 on a free port and relays to `server`. The same seed and the same sequence
    /// of datagrams give the same losses, copies and delays.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub async fn start(server: SocketAddr, seed: u64) -> io::Result<Self> {
        let front = bind().await?;
        let address = front.local_addr()?;
        let table = Table {
            disturbance: Disturbance::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            flows: IndexMap::new(),
            counts: UdpCounts::default(),
            cut: false,
            queue: VecDeque::new(),
        };
        let queued = Notify::new();
        let shared = Arc::new(Shared { server, front, table: Mutex::new(table), queued });
        let receiver = tokio::spawn(receive_from_clients(shared.clone()));
        let deliverer = tokio::spawn(deliver(shared.clone()));
        Ok(Self { address, shared, tasks: [receiver, deliverer] })
    }

    /// Where clients send.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how datagrams are disturbed from now on.
    pub fn disturb(&self, disturbance: Disturbance) {
        self.shared.lock().disturbance = disturbance;
    }

    /// From now on drops whatever comes on the flows that exist, in both directions. New flows,
    /// that is clients on other ports, work.
    pub fn swallow_open_flows(&self) {
        for flow in self.shared.lock().flows.values_mut() {
            flow.swallowed = true;
        }
    }

    /// Drops everything, until healed.
    pub fn cut(&self) {
        self.shared.lock().cut = true;
    }

    /// Ends a cut and every disturbance. Flows that were swallowed stay so.
    pub fn heal(&self) {
        let mut table = self.shared.lock();
        table.cut = false;
        table.disturbance = Disturbance::default();
    }

    /// Flows seen so far.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.shared.lock().flows.len()
    }

    /// Datagrams counted so far.
    #[must_use]
    pub fn counts(&self) -> UdpCounts {
        self.shared.lock().counts
    }

    /// Ends the relay.
    pub fn shutdown(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.lock().flows.clear();
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.shutdown();
    }
}

async fn bind() -> io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
}

async fn receive_from_clients(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here reports an earlier datagram that found no receiver: nothing to do.
        let Ok((length, client)) = shared.front.recv_from(&mut buffer).await else { continue };
        if shared.open_flow(client).await.is_ok() {
            shared.enqueue(&buffer[..length], client, Direction::ToServer);
        }
    }
}

async fn receive_from_server(shared: Arc<Shared>, socket: Arc<UdpSocket>, client: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = socket.recv(&mut buffer).await else { continue };
        shared.enqueue(&buffer[..length], client, Direction::ToClient);
    }
}

/// Hands datagrams on when they are due.
async fn deliver(shared: Arc<Shared>) {
    loop {
        let due = shared.lock().queue.front().map(|pending| pending.due);
        match due {
            None => shared.queued.notified().await,
            Some(due) if due <= Instant::now() => shared.deliver_first().await,
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = shared.queued.notified() => {}
            },
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes sure that a client has a socket that speaks to the server for it.
    async fn open_flow(self: &Arc<Self>, client: SocketAddr) -> io::Result<()> {
        if self.lock().flows.contains_key(&client) {
            return Ok(());
        }
        let socket = bind().await?;
        socket.connect(self.server).await?;
        let socket = Arc::new(socket);
        let task = tokio::spawn(receive_from_server(self.clone(), socket.clone(), client));
        self.lock().flows.insert(client, Flow { socket, swallowed: false, task });
        Ok(())
    }

    /// Draws what becomes of a datagram.
    fn enqueue(&self, bytes: &[u8], client: SocketAddr, direction: Direction) {
        let bytes = Bytes::copy_from_slice(bytes);
        self.lock().draw(Pending { due: Instant::now(), bytes, client, direction });
        self.queued.notify_one();
    }

    /// Hands on the datagram that is due first, unless its flow is swallowed or all is cut.
    async fn deliver_first(&self) {
        let (pending, socket) = {
            let mut table = self.lock();
            let Some(pending) = table.queue.pop_front() else { return };
            let open = table.flows.get(&pending.client).filter(|flow| !flow.swallowed);
            let socket = open.map(|flow| flow.socket.clone());
            let Some(socket) = socket.filter(|_| !table.cut) else {
                table.counts.dropped += 1;
                return;
            };
            (pending, socket)
        };
        let sent = match pending.direction {
            Direction::ToServer => socket.send(&pending.bytes).await,
            Direction::ToClient => self.front.send_to(&pending.bytes, pending.client).await,
        };
        let mut table = self.lock();
        match (sent, pending.direction) {
            (Ok(length), Direction::ToServer) => {
                table.counts.to_server += 1;
                table.counts.to_server_bytes += length as u64;
            }
            (Ok(length), Direction::ToClient) => {
                table.counts.to_clients += 1;
                table.counts.to_clients_bytes += length as u64;
            }
            (Err(_), _) => table.counts.dropped += 1,
        }
    }
}

impl Table {
    fn draw(&mut self, mut pending: Pending) {
        self.counts.received += 1;
        let disturbance = self.disturbance;
        // Three draws for each datagram, so that one rate does not change what another one hits.
        let lost = self.happens(disturbance.loss_permille);
        let duplicated = self.happens(disturbance.duplicate_permille);
        let held_back = self.happens(disturbance.reorder_permille);
        if lost {
            self.counts.dropped += 1;
            return;
        }
        pending.due += Duration::from_millis(disturbance.delay_ms);
        if duplicated {
            self.counts.duplicated += 1;
            self.queue(pending.clone());
        }
        if held_back {
            self.counts.held_back += 1;
            pending.due += Duration::from_millis(disturbance.reorder_ms);
        }
        self.queue(pending);
    }

    fn queue(&mut self, pending: Pending) {
        let place = self.queue.partition_point(|other| other.due <= pending.due);
        self.queue.insert(place, pending);
    }

    fn happens(&mut self, permille: u16) -> bool {
        self.random.random_range(0..PERMILLE) < permille
    }
}
