//! Admission of arriving requests.
//!
//! A request is admitted if its API key belongs to a team, a route serves its target, its deadline
//! lies ahead and the team is within its limit. Otherwise it is refused without having run.

use crate::entry::constants::{LINK_WAIT_MS, RETRY_AFTER_MS};
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::{Arrival, EntryAction, Refusal, RefusalCode};
use crate::entry::request::Request;
use crate::entry::route_lookup::{content_digest, find_route, prefix_digest};
use crate::ids::RequestId;
use crate::limits::Admission;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use hickorycross_config::{Route, Team, Tier};
use indexmap::IndexSet;

/// Why a request was not admitted.
struct AdmissionError {
    code: RefusalCode,
    retry_at: Option<UnixMs>,
    detail: &'static str,
}

impl AdmissionError {
    const fn permanent(code: RefusalCode, detail: &'static str) -> Self {
        Self { code, retry_at: None, detail }
    }

    const fn temporary(code: RefusalCode, retry_at: UnixMs, detail: &'static str) -> Self {
        Self { code, retry_at: Some(retry_at), detail }
    }
}

impl EntryCore {
    pub(super) fn handle_arrival(&mut self, ctx: &mut EventContext<'_>, arrival: Arrival) {
        let request = arrival.request;
        self.counters.arrived += 1;
        if let Err(violation) = self.guard.record_arrival(request) {
            return self.report_violation(ctx, &violation);
        }
        match self.admit(ctx.now, arrival) {
            Ok(row) => self.enqueue(request, row),
            Err(error) => self.refuse_admission(ctx, request, &error),
        }
    }

    fn enqueue(&mut self, request: RequestId, row: Request) {
        self.schedule_wake(row.deadline);
        self.schedule_wake(row.link_wait_until);
        self.requests.insert(request, row);
        self.waiting.insert(request);
        self.dispatch_due = true;
    }

    fn refuse_admission(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        error: &AdmissionError,
    ) {
        let refusal = Refusal {
            code: error.code,
            verdict: Verdict::NotRun,
            retry_at: error.retry_at,
            detail: error.detail.to_owned(),
        };
        self.refuse(ctx, request, refusal);
    }

    /// Sends the final refusal of a request, which must no longer be in the request table.
    pub(super) fn refuse(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        refusal: Refusal,
    ) {
        if let Err(violation) = self.guard.record_refusal(request) {
            return self.report_violation(ctx, &violation);
        }
        match refusal.verdict {
            Verdict::NotRun => self.counters.refused_not_run += 1,
            Verdict::MayHaveRun => self.counters.refused_may_have_run += 1,
            Verdict::Ran => self.counters.refused_ran += 1,
        }
        ctx.push(EntryAction::Refuse { request, refusal });
    }

    fn admit(&mut self, now: Now, arrival: Arrival) -> Result<Request, AdmissionError> {
        let default_retry_at = now.after(RETRY_AFTER_MS);
        if self.draining {
            let detail = "this entry is about to stop";
            return Err(AdmissionError::temporary(RefusalCode::NotReady, default_retry_at, detail));
        }
        let Some(document) = self.document.clone() else {
            let detail = "no configuration has been adopted yet";
            return Err(AdmissionError::temporary(RefusalCode::NotReady, default_retry_at, detail));
        };
        let Some(team) = document.team_by_key(&arrival.key_hash) else {
            return Err(AdmissionError::permanent(
                RefusalCode::UnknownKey,
                "the API key is unknown",
            ));
        };
        let route = find_route(&document, &arrival.target)
            .map_err(|code| AdmissionError::permanent(code, "no route serves this"))?;
        let deadline = deadline(now, route, arrival.deadline);
        if self.mechanisms.deadline_check && deadline.is_past(now) {
            return Err(AdmissionError::permanent(RefusalCode::DeadlinePassed, "it came too late"));
        }
        if let Admission::Exceeded { retry_at } = self.policies.limits.admit(now, &team.id) {
            let detail = "the team's limit is used up";
            return Err(AdmissionError::temporary(RefusalCode::TeamLimit, retry_at, detail));
        }
        let rank = document.tier(team.tier.as_str()).map_or(u8::MAX, |tier: &Tier| tier.rank);
        Ok(make_request(now, arrival, team, rank, route, deadline))
    }
}

/// Returns the caller's deadline, or the route's default, capped at the route's maximum.
fn deadline(now: Now, route: &Route, requested: Option<UnixMs>) -> UnixMs {
    let latest = now.after(route.max_deadline_ms.into());
    let default = now.after(route.default_deadline_ms.into());
    requested.unwrap_or(default).min(latest)
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
        content_digest: content_digest(&arrival),
        prefix_digest: prefix_digest(&arrival),
        deadline,
        head: arrival.head,
        body: arrival.body,
        tries: 0,
        tried: IndexSet::new(),
        verdict: Verdict::NotRun,
        not_before: now.unix_ms,
        link_wait_until: now.after(LINK_WAIT_MS),
        attempt: None,
    }
}
