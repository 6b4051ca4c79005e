//! The tables of an entry and the order in which its systems run.

use crate::audit::Change;
use crate::entry::backend::Backend;
use crate::entry::border::{EntryAction, EntryEvent};
use crate::entry::counters::EntryCounters;
use crate::entry::ledger::{Ledger, Violation};
use crate::entry::mechanisms::Mechanisms;
use crate::entry::peer::{Link, Peer};
use crate::entry::request::Request;
use crate::entry::setup::{EntryIdentity, EntryPolicies};
use crate::entry::turn::Turn;
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::TeamDemand;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, RouteId, Stamp};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// The decisions of one entry: tables of requests, peers, links and backend servers, and the
/// systems that run over them at each event.
///
/// Every request that arrives gets exactly one final answer: `Finish`, `Refuse`, or none if its
/// caller goes away first.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) identity: EntryIdentity,
    pub(super) policies: EntryPolicies,
    pub(super) mechanisms: Mechanisms,
    pub(super) stamp: Stamp,
    pub(super) document: Option<Arc<Document>>,
    pub(super) backends: IndexMap<BackendServerId, Backend>,
    pub(super) peers: IndexMap<InstanceId, Peer>,
    pub(super) links: IndexMap<LinkId, Link>,
    pub(super) requests: IndexMap<RequestId, Request>,
    /// Requests without a live attempt.
    pub(super) waiting: IndexSet<RequestId>,
    /// Subsets worked out since the last change of what is eligible.
    pub(super) subsets: IndexMap<RouteId, Vec<BackendServerId>>,
    /// Demand reports whose agent has no link yet, latest only.
    pub(super) demands: IndexMap<BackendServerId, Vec<TeamDemand>>,
    pub(super) ledger: Ledger,
    pub(super) counters: EntryCounters,
    pub(super) random: ChaCha8Rng,
    pub(super) next_link: u64,
    pub(super) next_nonce: u64,
    /// When the timers are due next.
    pub(super) wake: UnixMs,
    /// Something happened that may let a waiting request go.
    pub(super) dispatch_due: bool,
    pub(super) draining: bool,
    pub(super) drained: bool,
}

impl EntryCore {
    /// Makes an entry that has adopted nothing yet; equal seeds and events give equal actions.
    #[must_use]
    pub fn new(identity: EntryIdentity, policies: EntryPolicies, seed: u64) -> Self {
        Self {
            identity,
            policies,
            mechanisms: Mechanisms::ALL,
            stamp: Stamp::NONE,
            document: None,
            backends: IndexMap::new(),
            peers: IndexMap::new(),
            links: IndexMap::new(),
            requests: IndexMap::new(),
            waiting: IndexSet::new(),
            subsets: IndexMap::new(),
            demands: IndexMap::new(),
            ledger: Ledger::default(),
            counters: EntryCounters::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_link: 0,
            next_nonce: 0,
            wake: UnixMs::NEVER,
            dispatch_due: false,
            draining: false,
            drained: false,
        }
    }

    /// Turns mechanisms off to show which failure each prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// What the entry has adopted.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Counts since the start of the process.
    #[must_use]
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// When the next [`EntryEvent::Tick`] does something that is due. A program that ticks then,
    /// besides several times a second, notices silence sooner.
    #[must_use]
    pub fn next_wake(&self) -> UnixMs {
        self.wake
    }

    /// Handles one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        let turn = &mut Turn { now, stamp: self.stamp, actions };
        let ticked = matches!(event, EntryEvent::Tick);
        self.apply(turn, event);
        if ticked {
            self.run_periodic(turn);
        }
        if ticked || self.wake.is_past(now) {
            self.run_timers(turn);
        }
        if self.dispatch_due {
            self.dispatch_due = false;
            self.dispatch(turn);
        }
        self.end_drain(turn);
    }

    fn apply(&mut self, turn: &mut Turn<'_>, event: EntryEvent) {
        match event {
            EntryEvent::Tick => {}
            EntryEvent::Adopted { stamp, document } => self.adopt(turn, stamp, document),
            EntryEvent::Instances(list) => self.learn_instances(turn, &list),
            EntryEvent::LinkOpened { link, backend_server, incarnation } => {
                self.link_opened(turn, link, &backend_server, incarnation);
            }
            EntryEvent::LinkClosed { link } => self.link_closed(turn, link),
            EntryEvent::Message { link, message } => self.receive(turn, link, message),
            EntryEvent::Arrived(arrival) => self.arrive(turn, *arrival),
            EntryEvent::CallerGone { request } => self.caller_gone(turn, request),
            EntryEvent::Drain => self.begin_drain(turn),
        }
    }

    fn begin_drain(&mut self, turn: &mut Turn<'_>) {
        if !self.draining {
            self.draining = true;
            turn.audit(Change::DrainBegun);
        }
    }

    fn end_drain(&mut self, turn: &mut Turn<'_>) {
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
            turn.audit(Change::DrainEnded);
            turn.push(EntryAction::Drained);
        }
    }

    /// Makes sure that the timers run at this moment.
    pub(super) fn wake_by(&mut self, at: UnixMs) {
        self.wake = self.wake.min(at);
    }

    /// Reports an invariant that did not hold. The caller of this takes the safe way.
    pub(super) fn violated(&mut self, turn: &mut Turn<'_>, violation: &Violation) {
        self.counters.violations += 1;
        turn.audit(Change::InvariantViolated { detail: violation.to_string() });
    }
}
