//! What the relays do to connections and datagrams.

use googletest::prelude::*;
use hickorycross_standins::{Disturbance, TcpRelay, UdpRelay};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Bound on the wait for what must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Wait for what must not come.
const SILENCE: Duration = Duration::from_millis(100);
const SEED: u64 = 7;

/// What a client sees after it has sent something.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Echo,
    Silence,
    Closed,
    Refused,
}

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ended = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 2_000];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            socket.send_to(&buffer[..length], from).await.unwrap();
        }
    });
    address
}

async fn ping(stream: &mut TcpStream, expected: Seen) -> Seen {
    let mut buffer = [0; 4];
    let exchange = async {
        stream.write_all(b"ping").await?;
        stream.read_exact(&mut buffer).await
    };
    let bound = if expected == Seen::Silence { SILENCE } else { PATIENCE };
    match tokio::time::timeout(bound, exchange).await {
        Ok(Ok(_)) => Seen::Echo,
        Ok(Err(_)) => Seen::Closed,
        Err(_) => Seen::Silence,
    }
}

#[gtest]
#[tokio::test]
async fn tcp_modes_by_age_of_the_connection() {
    // Symptom: connections refuse, end or fall silent, old ones unlike new ones.
    // Sequence: a connection is used, the relay fails in one way, both it and a new one are used.
    // Cause: a process died, a network was cut, or a middlebox lost track of its connections.
    struct Case {
        mode: &'static str,
        old: Seen,
        new: Seen,
        old_after_healing: Seen,
    }
    let cases = [
        Case { mode: "none", old: Seen::Echo, new: Seen::Echo, old_after_healing: Seen::Echo },
        Case { mode: "delay", old: Seen::Echo, new: Seen::Echo, old_after_healing: Seen::Echo },
        Case {
            mode: "swallow",
            old: Seen::Silence,
            new: Seen::Echo,
            old_after_healing: Seen::Silence,
        },
        Case {
            mode: "silence",
            old: Seen::Silence,
            new: Seen::Silence,
            old_after_healing: Seen::Silence,
        },
        Case { mode: "cut", old: Seen::Closed, new: Seen::Echo, old_after_healing: Seen::Closed },
        Case {
            mode: "refuse",
            old: Seen::Closed,
            new: Seen::Refused,
            old_after_healing: Seen::Closed,
        },
    ];
    let server = tcp_echo().await;
    for case in cases {
        let relay = TcpRelay::start(server).await.unwrap();
        let mut old = TcpStream::connect(relay.address()).await.unwrap();
        expect_that!(ping(&mut old, Seen::Echo).await, eq(Seen::Echo), "{}", case.mode);
        match case.mode {
            "delay" => relay.set_delay_ms(20),
            "swallow" => relay.swallow_open_flows(),
            "silence" => relay.silence().await,
            "cut" => relay.cut_open_flows(),
            "refuse" => relay.refuse().await,
            _ => {}
        }
        expect_that!(ping(&mut old, case.old).await, eq(case.old), "{}", case.mode);
        let new = match TcpStream::connect(relay.address()).await {
            Ok(mut stream) => ping(&mut stream, case.new).await,
            Err(_) => Seen::Refused,
        };
        expect_that!(new, eq(case.new), "{}", case.mode);
        relay.heal().await;
        let after = case.old_after_healing;
        expect_that!(ping(&mut old, after).await, eq(after), "{}", case.mode);
        let mut fresh = TcpStream::connect(relay.address()).await.unwrap();
        expect_that!(ping(&mut fresh, Seen::Echo).await, eq(Seen::Echo), "{}", case.mode);
    }
}

#[gtest]
#[tokio::test]
async fn tcp_passes_long_streams_unchanged() {
    let relay = TcpRelay::start(tcp_echo().await).await.unwrap();
    relay.set_delay_ms(3);
    let sent: Vec<u8> = (0..3_000_000_u32).map(|index| index.to_le_bytes()[0]).collect();
    let stream = TcpStream::connect(relay.address()).await.unwrap();
    let (mut from, mut to) = stream.into_split();
    let bytes = sent.clone();
    tokio::spawn(async move {
        to.write_all(&bytes).await.unwrap();
        to.shutdown().await.unwrap();
    });
    let mut received = Vec::new();
    from.read_to_end(&mut received).await.unwrap();
    expect_that!(received == sent, eq(true));
}

/// Sends numbered datagrams to an echo through a relay, and returns those that come back.
async fn exchange(relay: &UdpRelay, socket: &UdpSocket, count: u64) -> Vec<u32> {
    let before = relay.counts();
    for index in 0..count {
        let number = u32::try_from(index).unwrap();
        socket.send_to(&number.to_le_bytes(), relay.address()).await.unwrap();
        wait_until(|| relay.counts().received > before.received + index).await;
    }
    // Every echo has come to the relay, and the relay holds nothing any more.
    wait_until(|| {
        let now = relay.counts();
        let echoes = now.received - before.received - count;
        let came = now.received + now.duplicated;
        echoes == now.to_server - before.to_server
            && came == now.dropped + now.to_server + now.to_clients
    })
    .await;
    let mut received = Vec::new();
    let mut buffer = [0; 4];
    for _ in before.to_clients..relay.counts().to_clients {
        tokio::time::timeout(PATIENCE, socket.recv(&mut buffer)).await.unwrap().unwrap();
        received.push(u32::from_le_bytes(buffer));
    }
    received
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap();
}

#[gtest]
#[tokio::test]
async fn udp_disturbances() {
    struct Case {
        name: &'static str,
        disturbance: Disturbance,
        lost: bool,
        doubled: bool,
        reordered: bool,
    }
    let none = Disturbance::default();
    let cases = [
        Case { name: "none", disturbance: none, lost: false, doubled: false, reordered: false },
        Case {
            name: "delay",
            disturbance: Disturbance { delay_ms: 20, ..none },
            lost: false,
            doubled: false,
            reordered: false,
        },
        Case {
            name: "loss",
            disturbance: Disturbance { loss_permille: 300, ..none },
            lost: true,
            doubled: false,
            reordered: false,
        },
        Case {
            name: "duplication",
            disturbance: Disturbance { duplicate_permille: 300, ..none },
            lost: false,
            doubled: true,
            reordered: false,
        },
        Case {
            name: "reordering",
            disturbance: Disturbance { reorder_permille: 300, reorder_ms: 20, ..none },
            lost: false,
            doubled: false,
            reordered: true,
        },
    ];
    let server = udp_echo().await;
    for case in cases {
        let relay = UdpRelay::start(server, SEED).await.unwrap();
        relay.disturb(case.disturbance);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let received = exchange(&relay, &socket, 100).await;
        let mut distinct = received.clone();
        distinct.sort_unstable();
        let reordered = distinct != received;
        distinct.dedup();
        expect_that!(distinct.len() < 100, eq(case.lost), "{}", case.name);
        expect_that!(received.len() > distinct.len(), eq(case.doubled), "{}", case.name);
        expect_that!(reordered, eq(case.reordered), "{}", case.name);
        let counts = relay.counts();
        expect_that!(counts.dropped > 0, eq(case.lost), "{}", case.name);
        expect_that!(counts.duplicated > 0, eq(case.doubled), "{}", case.name);
        expect_that!(counts.held_back > 0, eq(case.reordered), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn udp_losses_follow_the_seed() {
    let server = udp_echo().await;
    let mut runs = Vec::new();
    for seed in [SEED, SEED, SEED + 1] {
        let relay = UdpRelay::start(server, seed).await.unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        relay.disturb(Disturbance { loss_permille: 300, ..Disturbance::default() });
        let mut lost = Vec::new();
        for index in 0..60 {
            if exchange(&relay, &socket, 1).await.is_empty() {
                lost.push(index);
            }
        }
        runs.push(lost);
    }
    expect_that!(runs[0], eq(&runs[1]));
    expect_that!(runs[0], not(eq(&runs[2])));
}

#[gtest]
#[tokio::test]
async fn udp_flows_that_are_forgotten_stay_so() {
    // Symptom: a link that was fine gets no answer any more; a new one from another port works.
    // Sequence: two ports are used, the relay swallows both, then a third port is used.
    // Cause: something between the two ends has lost track of the flows that it had.
    let relay = UdpRelay::start(udp_echo().await, SEED).await.unwrap();
    let old = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    expect_that!(exchange(&relay, &old, 3).await, elements_are![eq(&0), eq(&1), eq(&2)]);
    relay.swallow_open_flows();
    expect_that!(exchange(&relay, &old, 3).await, is_empty());
    let new = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    expect_that!(exchange(&relay, &new, 3).await.len(), eq(3));
    relay.heal();
    expect_that!(exchange(&relay, &old, 3).await, is_empty());
    expect_that!(exchange(&relay, &new, 3).await.len(), eq(3));
    expect_that!(relay.flows(), eq(2));
}

#[gtest]
#[tokio::test]
async fn udp_cut_ends_with_healing() {
    let relay = UdpRelay::start(udp_echo().await, SEED).await.unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    expect_that!(exchange(&relay, &socket, 2).await.len(), eq(2));
    relay.cut();
    expect_that!(exchange(&relay, &socket, 2).await.len(), eq(0));
    relay.heal();
    expect_that!(exchange(&relay, &socket, 2).await.len(), eq(2));
}
