//! When a leader polls which member.

use hickorycross_core::direct::BootMs;
use std::net::IpAddr;

/// Time in which all members are polled once while nothing is under way.
const POLL_MS: u64 = 100;

/// The same for each member, in a large group. A status with the choices of 8 layers of 252 experts has
/// about 1 KB; so many of them take half of the smallest link in use (8 Mbit/s).
const POLL_PER_MEMBER_MS: u64 = 2;

/// Time in which all members are polled once during a change, when the end of copies counts.
const BUSY_POLL_MS: u64 = 60;

/// The same for each member; such a status has less than 100 bytes.
const BUSY_POLL_PER_MEMBER_MS: u64 = 1;

/// Rounds of polls during a change of which one asks a large group for its choices of experts. The
/// other half of the link is full of maps meanwhile, and a full link loses some of them.
const BUSY_ROUNDS_PER_COUNTS: u64 = 4;

/// Polls members by turns, spread over time: statuses that all come at once would fill the link of a
/// small machine, and a full link loses datagrams.
#[derive(Default)]
pub(crate) struct Polls {
    next: usize,
    rounds: u64,
    polled_until: BootMs,
}

impl Polls {
    /// Whether the choices of experts are asked for. In a large group they are too long for the short
    /// rounds of a change; without any, the first estimate after it would be of the time before.
    pub(crate) fn wants_counts(&self, is_busy: bool, machines: usize) -> bool {
        let is_small = machines as u64 * POLL_PER_MEMBER_MS <= POLL_MS;
        !is_busy || is_small || self.rounds.is_multiple_of(BUSY_ROUNDS_PER_COUNTS)
    }

    /// Machines to be polled now.
    pub(crate) fn due(&mut self, now: BootMs, machines: Vec<IpAddr>, is_busy: bool) -> Vec<IpAddr> {
        let count = machines.len() as u64;
        let (round_ms, per_member_ms) = if is_busy {
            (BUSY_POLL_MS, BUSY_POLL_PER_MEMBER_MS)
        } else {
            (POLL_MS, POLL_PER_MEMBER_MS)
        };
        let round_ms = round_ms.max(count * per_member_ms);
        let passed_ms = now.since(self.polled_until);
        let due = (passed_ms * count / round_ms).min(count);
        if due == 0 {
            return Vec::new();
        }
        // What is less than a member's share of the round is left for the next look.
        self.polled_until = now.before(passed_ms.min(round_ms) - due * round_ms / count);
        let begin = self.next;
        self.rounds += (begin as u64 + due) / count;
        self.next = (begin + due as usize) % machines.len();
        (0..due as usize).map(|index| machines[(begin + index) % machines.len()]).collect()
    }
}
