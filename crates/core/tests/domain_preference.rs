//! How the preference for the own failure domain spreads the requests of many entries.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendServer, BackendState, BackendTable, BootMs, Selection};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

/// Mean time between two requests of the whole fleet, and time for which each is open.
const INTERVAL_MS: u64 = 5;
const OPEN_MS: u64 = 1_200;
const REQUESTS: usize = 13_000;

struct Case {
    name: &'static str,
    entries: usize,
    domains: usize,
    /// Backend servers in each failure domain.
    servers: &'static [usize],
    /// Largest number of requests that one server may get, as a multiple of the mean.
    most: f64,
    /// Smallest share of the requests that must stay in their domain.
    least_own: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "a few entries, one server in a domain",
        entries: 6,
        domains: 5,
        servers: &[1, 128],
        most: 3.0,
        least_own: 0.0,
    },
    Case {
        name: "many entries, one server in a domain",
        entries: 285,
        domains: 5,
        servers: &[1, 128],
        most: 3.0,
        least_own: 0.0,
    },
    Case {
        name: "twice as many entries, two servers in a domain",
        entries: 570,
        domains: 5,
        servers: &[2, 127],
        most: 3.0,
        least_own: 0.0,
    },
    Case {
        name: "many entries, servers in all domains",
        entries: 285,
        domains: 5,
        servers: &[26, 26, 26, 26, 25],
        most: 2.0,
        least_own: 0.9,
    },
    Case {
        name: "servers in all domains, half as many again in one",
        entries: 285,
        domains: 5,
        servers: &[15, 10, 10, 10, 10],
        most: 2.0,
        least_own: 0.9,
    },
];

fn domain(index: usize) -> String {
    format!("domain-{index}")
}

fn servers(case: &Case) -> Vec<BackendServer> {
    let domains = case.servers.iter().enumerate();
    let domains = domains.flat_map(|(domain, count)| std::iter::repeat_n(domain, *count));
    let server = |(number, domain_index): (usize, usize)| BackendServer {
        id: format!("server-{number}"),
        born_ms: 1,
        service: "svc".to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 8_000 + number as u16)),
        failure_domain: domain(domain_index),
        slots: 6,
        state: BackendState::Ready,
        listed_at_revision: 1,
    };
    domains.enumerate().map(server).collect()
}

/// Guards against a backend server that gets the requests of all entries of its failure domain, since
/// it is the only one there and most entries have nothing open anywhere.
#[gtest]
fn no_server_gets_the_requests_of_a_whole_domain() {
    for case in CASES {
        let servers = servers(case);
        let mut tables: Vec<BackendTable> = (0..case.entries)
            .map(|entry| {
                let mut table = BackendTable::new(&domain(entry % case.domains));
                table.replace_all(servers.clone(), BootMs(0), None);
                table
            })
            .collect();
        let mut random = ChaCha8Rng::seed_from_u64(19);
        let mut open: std::collections::VecDeque<(BootMs, usize, BackendServer)> =
            std::collections::VecDeque::new();
        let mut received = vec![0_usize; servers.len()];
        let mut own = 0;
        for request in 0..REQUESTS {
            let now = BootMs(10_000 + request as u64 * INTERVAL_MS);
            while open.front().is_some_and(|(until, ..)| *until <= now) {
                let Some((_, entry, server)) = open.pop_front() else { break };
                tables[entry].note_ended(&server);
            }
            let entry = random.random_range(0..case.entries);
            let choice = tables[entry].choose(&Selection::new("svc", &[]), now, random.random());
            let server = choice.expect("a server").server;
            let index = servers.iter().position(|it| it.id == server.id).expect("a known one");
            received[index] += 1;
            own += usize::from(server.failure_domain == domain(entry % case.domains));
            tables[entry].note_sent(&server);
            open.push_back((now.after(OPEN_MS), entry, server));
        }
        let mean = REQUESTS as f64 / servers.len() as f64;
        let busiest = received.iter().max().map_or(0.0, |most| *most as f64 / mean);
        expect_that!(busiest, le(case.most), "{}: busiest by the mean", case.name);
        let own_share = own as f64 / REQUESTS as f64;
        expect_that!(own_share, ge(case.least_own), "{}: in their domain", case.name);
    }
}
