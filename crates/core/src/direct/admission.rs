//! An adaptive bound on the requests that an entry keeps open at the backend servers of a pool.
//!
//! The bound follows additive increase, multiplicative decrease, driven by the time until first
//! events and the gaps between events.

use super::BootMs;
use indexmap::IndexMap;

/// Time to the first event above which a group counts as overloaded: a quarter of the shortest time
/// for which callers wait.
///
/// All slots stay in use at this bound, and callers can retry what is refused. A request that waits
/// in a backend server's queue for longer is lost when its caller gives up or the instance of its
/// rank fails.
pub(super) const SLOW_FIRST_EVENT_MS: u64 = 500;

/// Gap between two events of a stream above which a group counts as overloaded.
const SLOW_GAP_MS: u64 = 500;

/// Settings of [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Open requests that are always admitted, at this entry and for each pool.
    pub min_requests: f64,
    /// Upper limit of the bound, as a multiple of this entry's even share of the slots of a group.
    pub max_share: f64,
    /// Share by which the bound decreases when an event came too late.
    pub decrease_ratio: f64,
    /// Requests by which the bound increases with each event that came in time.
    pub increase_requests: f64,
    /// Shortest time between two decreases, so that one slow pass counts once.
    pub decrease_interval_ms: u64,
}

/// An adaptive bound on open requests, by pool.
///
/// All ranks of a group run each pass together, so each further request delays every event of every
/// stream. Once events are slower than callers were promised, one more request makes all streams
/// late, which is worse than one refusal. The bound increases by a constant while events come in
/// time and decreases by a share when they do not.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    services: IndexMap<String, Bound>,
}

#[derive(Clone, Copy, Debug)]
struct Bound {
    requests: f64,
    next_decrease_at: BootMs,
}

impl Admission {
    /// Creates a controller that has seen no pool yet; the first bound of a pool is its upper
    /// limit.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, services: IndexMap::new() }
    }

    /// Returns whether one more request may be sent.
    ///
    /// `open` is the number of this entry's open requests, `share` the number that fills its even
    /// share of the slots, and `part` the fraction of that share which this kind of request may
    /// take.
    pub fn admits(&mut self, service: &str, open: u32, share: f64, part: f64) -> bool {
        let AdmissionSettings { min_requests: floor, max_share, .. } = self.settings;
        let max_requests = share * max_share;
        let bound = self.bound(service, max_requests);
        bound.requests = bound.requests.clamp(floor, max_requests.max(floor));
        f64::from(open) < bound.requests.min((share * part).max(floor))
    }

    /// Records the first event of a stream, `took_ms` after its request was sent.
    pub fn note_first_event(&mut self, service: &str, took_ms: u64, now: BootMs) {
        self.note_timeliness(service, took_ms <= SLOW_FIRST_EVENT_MS, now);
    }

    /// Records a further event of a stream, `gap_ms` after the previous one.
    pub fn note_gap(&mut self, service: &str, gap_ms: u64, now: BootMs) {
        self.note_timeliness(service, gap_ms <= SLOW_GAP_MS, now);
    }

    /// Records the end of a request that was sent `waited_ms` ago and got no event.
    ///
    /// The other inputs are events. Without this one, requests that never begin would not lower the
    /// bound, and more and more would be queued at backend servers until their callers give up.
    pub fn note_not_begun(&mut self, service: &str, waited_ms: u64, now: BootMs) {
        if waited_ms > SLOW_FIRST_EVENT_MS {
            self.note_timeliness(service, false, now);
        }
    }

    /// Increases the bound of a pool by `factor`, since this entry's share has grown by it. By the
    /// constant increase alone, the bound would follow late.
    pub fn note_share_grown(&mut self, service: &str, factor: f64) {
        if let Some(bound) = self.services.get_mut(service) {
            bound.requests *= factor;
        }
    }

    /// Adjusts the bound of a pool after an event that came in time or too late.
    pub fn note_timeliness(&mut self, service: &str, in_time: bool, now: BootMs) {
        let AdmissionSettings { decrease_ratio, increase_requests, decrease_interval_ms, .. } =
            self.settings;
        let Some(bound) = self.services.get_mut(service) else { return };
        if in_time {
            bound.requests += increase_requests;
        } else if bound.next_decrease_at <= now {
            bound.requests *= 1.0 - decrease_ratio;
            bound.next_decrease_at = now.after(decrease_interval_ms);
        }
    }

    /// Returns the current bound of a pool in requests, or nothing before its first request.
    #[must_use]
    pub fn limit_requests(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|bound| bound.requests)
    }

    /// Forgets the pools for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|pool, _| is_kept(pool));
    }

    fn bound(&mut self, service: &str, max_requests: f64) -> &mut Bound {
        let fresh = Bound { requests: max_requests, next_decrease_at: BootMs(0) };
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), fresh);
        }
        &mut self.services[service]
    }
}
