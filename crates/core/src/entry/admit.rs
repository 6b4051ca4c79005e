//! Arrival of a request: who sent it, where it goes, by when, and whether it may.

use crate::entry::border::{Arrival, EntryAction, Refusal, RefusalCode};
use crate::entry::catalog::{content_digest, find_route, prefix_digest};
use crate::entry::constants::{COME_BACK_MS, LINK_WAIT_MS};
use crate::entry::core::EntryCore;
use crate::entry::request::Request;
use crate::entry::turn::Turn;
use crate::ids::RequestId;
use crate::limits::Admission;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use hickorycross_config::{Route, Team, Tier};
use indexmap::IndexSet;

/// Why a request was not admitted.
struct Denied {
    code: RefusalCode,
    retry_at: Option<UnixMs>,
    detail: &'static str,
}

impl Denied {
    const fn for_good(code: RefusalCode, detail: &'static str) -> Self {
        Self { code, retry_at: None, detail }
    }

    const fn until(code: RefusalCode, retry_at: UnixMs, detail: &'static str) -> Self {
        Self { code, retry_at: Some(retry_at), detail }
    }
}

impl EntryCore {
    pub(super) fn arrive(&mut self, turn: &mut Turn<'_>, arrival: Arrival) {
        let request = arrival.request;
        self.counters.arrived += 1;
        if let Err(violation) = self.ledger.arrive(request) {
            return self.violated(turn, &violation);
        }
        match self.admit(turn.now, arrival) {
            Ok(row) => self.enqueue(request, row),
            Err(denied) => self.deny(turn, request, &denied),
        }
    }

    fn enqueue(&mut self, request: RequestId, row: Request) {
        self.wake_by(row.deadline);
        self.wake_by(row.link_wait);
        self.requests.insert(request, row);
        self.waiting.insert(request);
        self.dispatch_due = true;
    }

    fn deny(&mut self, turn: &mut Turn<'_>, request: RequestId, denied: &Denied) {
        let refusal = Refusal {
            code: denied.code,
            verdict: Verdict::NotRun,
            retry_at: denied.retry_at,
            detail: denied.detail.to_owned(),
        };
        self.refuse(turn, request, refusal);
    }

    /// Gives the final answer of a request that was given up; the row must be gone already.
    pub(super) fn refuse(&mut self, turn: &mut Turn<'_>, request: RequestId, refusal: Refusal) {
        if let Err(violation) = self.ledger.give_up(request) {
            return self.violated(turn, &violation);
        }
        match refusal.verdict {
            Verdict::NotRun => self.counters.refused_not_run += 1,
            Verdict::MayHaveRun => self.counters.refused_may_have_run += 1,
            Verdict::Ran => self.counters.refused_ran += 1,
        }
        turn.push(EntryAction::Refuse { request, refusal });
    }

    fn admit(&mut self, now: Now, arrival: Arrival) -> Result<Request, Denied> {
        let come_back = now.after(COME_BACK_MS);
        if self.draining {
            let detail = "this entry is about to stop";
            return Err(Denied::until(RefusalCode::NotReady, come_back, detail));
        }
        let Some(document) = self.document.clone() else {
            let detail = "no configuration has been adopted yet";
            return Err(Denied::until(RefusalCode::NotReady, come_back, detail));
        };
        let Some(team) = document.team_by_key(&arrival.key_hash) else {
            return Err(Denied::for_good(RefusalCode::UnknownKey, "the API key is unknown"));
        };
        let route = find_route(&document, &arrival.target)
            .map_err(|code| Denied::for_good(code, "no route serves this"))?;
        let deadline = deadline(now, route, arrival.deadline);
        if self.mechanisms.deadline_check && deadline.is_past(now) {
            return Err(Denied::for_good(RefusalCode::DeadlinePassed, "it came too late"));
        }
        if let Admission::Exceeded { retry_at } = self.policies.limits.admit(now, &team.id) {
            let detail = "the team's limit is used up";
            return Err(Denied::until(RefusalCode::TeamLimit, retry_at, detail));
        }
        let rank = document.tier(team.tier.as_str()).map_or(u8::MAX, |tier: &Tier| tier.rank);
        Ok(make_request(now, arrival, team, rank, route, deadline))
    }
}

/// The caller's deadline within the route's bound, or the route's default.
fn deadline(now: Now, route: &Route, asked: Option<UnixMs>) -> UnixMs {
    let latest = now.after(route.max_deadline_ms.into());
    let default = now.after(route.default_deadline_ms.into());
    asked.unwrap_or(default).min(latest)
}

fn make_request(
    now: Now,
    arrival: Arrival,
    team: &Team,
    rank: u8,
    route: &Route,
    deadline: UnixMs,
) -> Request {
    Request {
        team: team.id.clone(),
        tier: team.tier.clone(),
        rank,
        route: route.id.clone(),
        idempotent: route.idempotent && !arrival.non_idempotent,
        key: arrival.idempotency_key.as_deref().map(|key| KeyDigest::of(&team.id, key)),
        content: content_digest(&arrival),
        prefix: prefix_digest(&arrival),
        deadline,
        head: arrival.head,
        body: arrival.body,
        tries: 0,
        tried: IndexSet::new(),
        verdict: Verdict::NotRun,
        not_before: now.unix_ms,
        link_wait: now.after(LINK_WAIT_MS),
        attempt: None,
    }
}
