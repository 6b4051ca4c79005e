//! How many requests an entry keeps open at the backend servers of a group.

use super::BootMs;
use indexmap::IndexMap;

/// Time from a send until the first event from which a group counts as overloaded: a quarter of the least
/// time for which callers wait. Slots are taken all the same, and what is refused can come back; what lies
/// unrun for longer is lost with its caller, or with the machine of its rank.
const SLOW_FIRST_MS: u64 = 500;

/// The same for the pause between two events.
const SLOW_GAP_MS: u64 = 500;

/// Bounds of [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that are always let through, at this entry and for each service.
    pub min_requests: f64,
    /// Part of all slots of a group that one entry's bound may reach, against an even split.
    pub max_share: f64,
    /// Share by which the bound shrinks when an answer paused for too long.
    pub decrease_ratio: f64,
    /// Requests by which the bound grows with each answer that kept its pace.
    pub increase_requests: f64,
    /// Pause after a decrease_ratio in which no further one is made, so that one slow moment counts once.
    pub decrease_interval_ms: u64,
}

/// An adaptive bound on open requests, by service.
///
/// A group's ranks advance together: each further request makes every event of every answer later.
/// Past the pace that callers were promised, one more request makes all of them late instead of one
/// refused. The bound grows by a little while answers keep their pace and shrinks by a share when
/// they do not.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    services: IndexMap<String, Bound>,
}

#[derive(Clone, Copy, Debug)]
struct Bound {
    requests: f64,
    settled_at: BootMs,
}

impl Admission {
    /// Begins without bounds.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, services: IndexMap::new() }
    }

    /// Whether one more request may be sent while `open` are open, `share` would fill this entry's part
    /// of the slots, and the request may take `part` of that.
    pub fn admits(&mut self, service: &str, open: u32, share: f64, part: f64) -> bool {
        let AdmissionSettings { min_requests: least, max_share, .. } = self.settings;
        let most = share * max_share;
        let bound = self.bound(service, most);
        bound.requests = bound.requests.clamp(least, most.max(least));
        f64::from(open) < bound.requests.min((share * part).max(least))
    }

    /// Notes the first event of an answer, `took_ms` after its request was sent.
    pub fn note_first_event(&mut self, service: &str, took_ms: u64, now: BootMs) {
        self.note_pace(service, took_ms <= SLOW_FIRST_MS, now);
    }

    /// Notes a further event of an answer, `gap_ms` after the one before.
    pub fn note_gap(&mut self, service: &str, gap_ms: u64, now: BootMs) {
        self.note_pace(service, gap_ms <= SLOW_GAP_MS, now);
    }

    /// Notes the end of a request that was sent `waited_ms` ago and has not begun.
    ///
    /// Only answers tell of a group's pace otherwise. Of requests that never begin nothing would be heard, and
    /// ever more would be sent to lie in queues until their callers leave.
    pub fn note_not_begun(&mut self, service: &str, waited_ms: u64, now: BootMs) {
        if waited_ms > SLOW_FIRST_MS {
            self.note_pace(service, false, now);
        }
    }

    /// Notes how an answer kept its pace.
    pub fn note_pace(&mut self, service: &str, kept: bool, now: BootMs) {
        let AdmissionSettings { decrease_ratio, increase_requests, decrease_interval_ms, .. } =
            self.settings;
        let Some(bound) = self.services.get_mut(service) else { return };
        if kept {
            bound.requests += increase_requests;
        } else if bound.settled_at <= now {
            bound.requests *= 1.0 - decrease_ratio;
            bound.settled_at = now.after(decrease_interval_ms);
        }
    }

    /// The present bound of a service, in requests.
    #[must_use]
    pub fn limit_requests(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|bound| bound.requests)
    }

    fn bound(&mut self, service: &str, most: f64) -> &mut Bound {
        let fresh = Bound { requests: most, settled_at: BootMs(0) };
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), fresh);
        }
        &mut self.services[service]
    }
}
