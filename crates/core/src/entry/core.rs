//! State of the entry and dispatch of its events.

use crate::audit::Change;
use crate::entry::backend::Backend;
use crate::entry::counters::EntryCounters;
use crate::entry::event_context::EventContext;
use crate::entry::guard::{OutcomeGuard, Violation};

use crate::entry::interface::{EntryAction, EntryEvent};
use crate::entry::known_holders::KnownHolders;
use crate::entry::mechanisms::Mechanisms;
use crate::entry::peer::{Link, Peer};
use crate::entry::request::Request;
use crate::entry::setup::{EntryIdentity, EntryPolicies};
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::TeamDemand;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, RouteId, Stamp};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// Decision logic of one entry.
///
/// Events are handled synchronously and in order. Every request that arrives gets exactly one final
/// response, [`EntryAction::Finish`] or [`EntryAction::Refuse`], or none if its caller disconnects
/// first.
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
    /// Cached subset of each route, cleared whenever the eligible backend servers change.
    pub(super) subsets: IndexMap<RouteId, Vec<BackendServerId>>,
    /// Latest demand report for each agent that has no link yet.
    pub(super) demands: IndexMap<BackendServerId, Vec<TeamDemand>>,
    pub(super) holders: KnownHolders,
    pub(super) guard: OutcomeGuard,
    pub(super) counters: EntryCounters,
    pub(super) random: ChaCha8Rng,
    pub(super) next_link: u64,
    pub(super) next_nonce: u64,
    /// Time at which the timers run next.
    pub(super) wake: UnixMs,
    /// Set when a waiting request may have become ready to be sent.
    pub(super) dispatch_due: bool,
    pub(super) draining: bool,
    pub(super) drained: bool,
}

impl EntryCore {
    /// Creates an entry without a document or instance list.
    ///
    /// Equal seeds and equal events give equal actions.
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
            holders: KnownHolders::default(),
            guard: OutcomeGuard::default(),
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

    /// Replaces the set of enabled mechanisms, so that a test can show which failure each prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Returns the stamp of the document in force, [`Stamp::NONE`] before the first one.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the counts since the start of the process.
    #[must_use]
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the time at which the next timer is due.
    ///
    /// A program that sends an [`EntryEvent::Tick`] at this time, in addition to the periodic ones,
    /// detects silent links sooner.
    #[must_use]
    pub fn next_wake(&self) -> UnixMs {
        self.wake
    }

    /// Handles one event and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Now, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        let ctx = &mut EventContext { now, stamp: self.stamp, actions };
        let ticked = matches!(event, EntryEvent::Tick);
        self.apply(ctx, event);
        if ticked {
            self.run_periodic(ctx);
        }
        if ticked || self.wake.is_past(now) {
            self.run_timers(ctx);
        }
        if self.dispatch_due {
            self.dispatch_due = false;
            self.dispatch(ctx);
        }
        self.finish_drain_if_idle(ctx);
    }

    fn apply(&mut self, ctx: &mut EventContext<'_>, event: EntryEvent) {
        match event {
            EntryEvent::Tick => {}
            EntryEvent::Adopted { stamp, document } => self.adopt_document(ctx, stamp, document),
            EntryEvent::Instances(list) => self.apply_instance_list(ctx, &list),
            EntryEvent::LinkOpened { link, backend_server, incarnation } => {
                self.handle_link_opened(ctx, link, &backend_server, incarnation);
            }
            EntryEvent::LinkClosed { link } => self.handle_link_closed(ctx, link),
            EntryEvent::Message { link, message } => self.handle_message(ctx, link, message),
            EntryEvent::Arrived(arrival) => self.handle_arrival(ctx, *arrival),
            EntryEvent::CallerGone { request } => self.handle_caller_gone(ctx, request),
            EntryEvent::Drain => self.begin_drain(ctx),
        }
    }

    fn begin_drain(&mut self, ctx: &mut EventContext<'_>) {
        if !self.draining {
            self.draining = true;
            ctx.audit(Change::DrainBegun);
        }
    }

    fn finish_drain_if_idle(&mut self, ctx: &mut EventContext<'_>) {
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
            ctx.audit(Change::DrainEnded);
            ctx.push(EntryAction::Drained);
        }
    }

    /// Makes sure that the timers run no later than `at`.
    pub(super) fn schedule_wake(&mut self, at: UnixMs) {
        self.wake = self.wake.min(at);
    }

    /// Counts and audits a violated invariant. The caller of this method then ends the request with
    /// the outcome that is safe.
    pub(super) fn report_violation(&mut self, ctx: &mut EventContext<'_>, violation: &Violation) {
        self.counters.violations += 1;
        ctx.audit(Change::InvariantViolated { detail: violation.to_string() });
    }
}
