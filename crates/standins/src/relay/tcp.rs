//! A relay for TCP connections.

use super::flow::{self, Flow};
use indexmap::IndexMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that the kernel may hold before they are accepted.
const BACKLOG: u32 = 1024;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    /// They are relayed.
    Open,
    /// They are accepted, and nothing they send is ever answered.
    Silent,
    /// They are refused by the kernel.
    Refusing,
    /// The relay has ended.
    Ended,
}

/// Relays TCP connections to one server and disturbs them on demand.
///
/// Dropping it cuts every connection.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    door: watch::Sender<Door>,
    delay_ms: AtomicU64,
    accepted: AtomicU64,
    /// What the task has made of `door`.
    applied: watch::Sender<Door>,
    /// Open flows by number.
    flows: Mutex<Flows>,
}

type Flows = IndexMap<u64, OpenFlow>;

/// A row of the table of open flows.
#[derive(Debug)]
struct OpenFlow {
    /// Port of the connection to the server, once there is one.
    server_side_port: Option<u16>,
    flow: Arc<Flow>,
}

impl TcpRelay {
    /// Binds 127.0.0.1 on a free port and relays to `server`.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Shared {
            server,
            door: watch::Sender::new(Door::Open),
            applied: watch::Sender::new(Door::Open),
            delay_ms: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            flows: Mutex::default(),
        });
        let listener = socket.listen(BACKLOG)?;
        tokio::spawn(keep_door(listener, address, shared.clone()));
        Ok(Self { address, shared })
    }

    /// Where clients connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Connections open now.
    #[must_use]
    pub fn open_flows(&self) -> usize {
        self.shared.lock_flows().len()
    }

    /// Delays every piece of every connection, in each direction.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// From now on nothing passes on the connections that are open; new ones work.
    pub fn swallow_open_flows(&self) {
        for open in self.shared.lock_flows().values() {
            open.flow.swallowed.store(true, Ordering::Relaxed);
        }
    }

    /// New connections are accepted and never answered; open ones fall silent.
    pub async fn silence(&self) {
        self.swallow_open_flows();
        self.shared.set_door(Door::Silent).await;
    }

    /// New connections are refused; open ones end.
    pub async fn refuse(&self) {
        self.shared.set_door(Door::Refusing).await;
        self.cut_open_flows();
    }

    /// Ends every open connection; new ones work.
    pub fn cut_open_flows(&self) {
        for open in self.shared.lock_flows().values() {
            open.flow.cut.notify_one();
        }
    }

    /// New connections are relayed again, without delay. Flows that were swallowed stay so.
    pub async fn heal(&self) {
        self.set_delay_ms(0);
        self.shared.set_door(Door::Open).await;
    }

    /// Ends the connection that the server sees as coming from `port`; false if there is none.
    pub(crate) fn cut_by_port(&self, port: u16) -> bool {
        self.shared.flow_by_port(port).is_some_and(|flow| {
            flow.cut.notify_one();
            true
        })
    }

    /// Resolves once the client behind `port` has closed its connection.
    pub(crate) async fn client_gone(&self, port: u16) {
        let Some(flow) = self.shared.flow_by_port(port) else { return };
        let mut gone = flow.gone.subscribe();
        let _closed = gone.wait_for(|gone| *gone).await;
    }

    /// Ends the relay and every connection.
    pub fn shutdown(&self) {
        self.shared.door.send_replace(Door::Ended);
        self.cut_open_flows();
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shutdown();
    }
}

impl Shared {
    fn lock_flows(&self) -> MutexGuard<'_, Flows> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what happens to new connections, and returns once it does.
    async fn set_door(&self, door: Door) {
        let mut applied = self.applied.subscribe();
        self.door.send_replace(door);
        // The task may end meanwhile; then there is nothing to wait for.
        let _ended = applied.wait_for(|applied| *applied == door || *applied == Door::Ended).await;
    }

    fn flow_by_port(&self, port: u16) -> Option<Arc<Flow>> {
        let flows = self.lock_flows();
        let open = flows.values().find(|open| open.server_side_port == Some(port))?;
        Some(open.flow.clone())
    }
}

/// Binds without listening, so that connections are refused while the port stays ours.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts, or refuses by holding the port without listening, until the relay ends.
async fn keep_door(first: TcpListener, address: SocketAddr, shared: Arc<Shared>) {
    let mut door = shared.door.subscribe();
    let mut listener = first;
    loop {
        let state = *door.borrow_and_update();
        match state {
            Door::Ended => break,
            Door::Refusing => {
                drop(listener);
                let held = bind(address);
                shared.applied.send_replace(state);
                let _changed = door.changed().await;
                match held.and_then(|socket| socket.listen(BACKLOG)) {
                    Ok(reopened) => listener = reopened,
                    Err(_) => break,
                }
            }
            Door::Open | Door::Silent => {
                shared.applied.send_replace(state);
                accept_while(state, &listener, &mut door, &shared).await;
            }
        }
    }
    shared.applied.send_replace(Door::Ended);
}

/// Accepts connections until the door changes.
async fn accept_while(
    state: Door,
    listener: &TcpListener,
    door: &mut watch::Receiver<Door>,
    shared: &Arc<Shared>,
) {
    loop {
        let accepted = tokio::select! {
            _changed = door.changed() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((client, _)) = accepted {
            admit(client, state, shared);
        }
    }
}

/// Starts the task of one accepted connection.
fn admit(client: TcpStream, door: Door, shared: &Arc<Shared>) {
    let number = shared.accepted.fetch_add(1, Ordering::Relaxed);
    let flow = Arc::new(Flow::new());
    shared.lock_flows().insert(number, OpenFlow { server_side_port: None, flow: flow.clone() });
    let shared = shared.clone();
    tokio::spawn(async move {
        // How a connection ended matters to its two ends only.
        let _ended = if door == Door::Silent {
            flow::swallow_all(client, &flow).await
        } else {
            relay(client, number, &flow, &shared).await
        };
        flow.gone.send_replace(true);
        shared.lock_flows().swap_remove(&number);
    });
}

async fn relay(client: TcpStream, number: u64, flow: &Flow, shared: &Shared) -> io::Result<()> {
    let server = flow::connect(shared.server).await?;
    let port = server.local_addr()?.port();
    if let Some(open) = shared.lock_flows().get_mut(&number) {
        open.server_side_port = Some(port);
    }
    flow::run(client, server, flow, &shared.delay_ms).await
}
