//! A simulated agent that queues and runs attempts and streams generated responses, according to
//! the protocol.

use super::load;
use bytes::Bytes;
use hickorycross_core::message::{
    AgentState, RefusalReason, ResponseHead, RevokeOutcome, Submit, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Incarnation, LinkId, Verdict};
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Maximum time that an attempt is queued.
const QUEUE_MAX_MS: u64 = 150;

/// Maximum time between two chunks.
const CHUNK_INTERVAL_MAX_MS: u64 = 40;

/// Share of attempts refused because the queue is full.
const QUEUE_FULL_PERMILLE: u32 = 50;

/// Probability that a running attempt fails at a step.
const FAILURE_PERMILLE: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Done,
    Aborted,
}

#[derive(Debug)]
struct Row {
    submit: Submit,
    stage: Stage,
    next_step_ms: u64,
    produced: u32,
    link: LinkId,
}

/// One incarnation of an agent.
#[derive(Debug)]
pub(crate) struct FakeAgent {
    pub(crate) incarnation: Incarnation,
    rows: IndexMap<AttemptId, Row>,
    tombstones: IndexSet<AttemptId>,
}

/// Returns the number of chunks in the response of an attempt.
pub(crate) fn chunk_count_of(attempt: AttemptId) -> u32 {
    let mixed = attempt.request.sequence * 7 + u64::from(attempt.ordinal) * 3;
    u32::try_from(mixed % 23).unwrap_or(0)
}

/// Returns the content of a chunk, which differs between attempts.
pub(crate) fn chunk_content(attempt: AttemptId, index: u32) -> Bytes {
    Bytes::from(format!("{}.{}.{index};", attempt.request.sequence, attempt.ordinal))
}

/// Returns the complete response of an attempt.
pub(crate) fn full_response(attempt: AttemptId) -> Vec<u8> {
    (0..chunk_count_of(attempt)).flat_map(|index| chunk_content(attempt, index).to_vec()).collect()
}

impl FakeAgent {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, rows: IndexMap::new(), tombstones: IndexSet::new() }
    }

    /// Handles a message and returns the replies.
    pub(crate) fn receive(
        &mut self,
        now_ms: u64,
        random: &mut ChaCha8Rng,
        link: LinkId,
        message: ToAgent,
    ) -> Vec<ToEntry> {
        match message {
            ToAgent::Submit(submit) => vec![self.submit(now_ms, random, link, *submit)],
            ToAgent::Attach { attempt, agent, next_chunk } => {
                self.attach(now_ms, link, attempt, agent, next_chunk)
            }
            ToAgent::Revoke { attempt, agent, next_chunk, .. } => {
                self.revoke(now_ms, link, attempt, agent, next_chunk)
            }
            ToAgent::Cancel { attempt } => {
                self.cancel(attempt);
                vec![]
            }
            ToAgent::Heartbeat { nonce, stamp } => {
                let load = load(now_ms, AgentState::Serving);
                vec![ToEntry::HeartbeatAck { nonce, stamp, load }]
            }
            ToAgent::Received { .. } | ToAgent::Demand(_) | ToAgent::HolderReport(_) => vec![],
        }
    }

    fn submit(
        &mut self,
        now_ms: u64,
        random: &mut ChaCha8Rng,
        link: LinkId,
        submit: Submit,
    ) -> ToEntry {
        let attempt = submit.attempt;
        let load = load(now_ms, AgentState::Serving);
        if submit.agent != self.incarnation {
            let reason = RefusalReason::WrongIncarnation;
            return ToEntry::Refused { attempt, reason, retry_at: None, load };
        }
        if self.tombstones.contains(&attempt) {
            let reason = RefusalReason::Revoked;
            return ToEntry::Refused { attempt, reason, retry_at: None, load };
        }
        if let Some(row) = self.rows.get_mut(&attempt) {
            row.link = link;
            return ToEntry::Accepted { attempt, load };
        }
        if random.random_range(0..1_000) < QUEUE_FULL_PERMILLE {
            self.tombstones.insert(attempt);
            let reason = RefusalReason::QueueFull;
            return ToEntry::Refused { attempt, reason, retry_at: None, load };
        }
        let next_step_ms = now_ms + random.random_range(0..QUEUE_MAX_MS);
        let row = Row { submit, stage: Stage::Queued, next_step_ms, produced: 0, link };
        self.rows.insert(attempt, row);
        ToEntry::Accepted { attempt, load }
    }

    fn attach(
        &mut self,
        now_ms: u64,
        link: LinkId,
        attempt: AttemptId,
        agent: Incarnation,
        next_chunk: u32,
    ) -> Vec<ToEntry> {
        let known = agent == self.incarnation && self.rows.contains_key(&attempt);
        if !known {
            let detail = "unknown attempt".to_owned();
            return vec![ToEntry::Failed { attempt, verdict: Verdict::MayHaveRun, detail }];
        }
        self.resend(now_ms, link, attempt, next_chunk)
    }

    fn revoke(
        &mut self,
        now_ms: u64,
        link: LinkId,
        attempt: AttemptId,
        agent: Incarnation,
        next_chunk: u32,
    ) -> Vec<ToEntry> {
        if agent != self.incarnation {
            return vec![ToEntry::Revoked { attempt, outcome: RevokeOutcome::UnknownIncarnation }];
        }
        let started = self.rows.get(&attempt).is_some_and(|row| row.stage != Stage::Queued);
        if !started {
            self.rows.swap_remove(&attempt);
            self.tombstones.insert(attempt);
            return vec![ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned }];
        }
        let mut replies = vec![ToEntry::Revoked { attempt, outcome: RevokeOutcome::Attached }];
        replies.extend(self.resend(now_ms, link, attempt, next_chunk));
        replies
    }

    fn resend(
        &mut self,
        now_ms: u64,
        link: LinkId,
        attempt: AttemptId,
        next_chunk: u32,
    ) -> Vec<ToEntry> {
        let Some(row) = self.rows.get_mut(&attempt) else { return vec![] };
        row.link = link;
        let mut replies = Vec::new();
        if next_chunk == 0 && matches!(row.stage, Stage::Running | Stage::Done) {
            replies.push(head(attempt));
        }
        for index in next_chunk..row.produced {
            replies.push(ToEntry::Chunk { attempt, index, bytes: chunk_content(attempt, index) });
        }
        match row.stage {
            Stage::Done => replies.push(end(now_ms, attempt)),
            Stage::Aborted => replies.push(failed(attempt)),
            Stage::Queued | Stage::Running => {}
        }
        replies
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(row) = self.rows.get_mut(&attempt) {
            row.stage = Stage::Aborted;
        } else {
            self.tombstones.insert(attempt);
        }
    }

    /// Runs the due steps of all attempts. Returns the attempts that started, and the messages to
    /// be sent with their links.
    pub(crate) fn step(
        &mut self,
        now_ms: u64,
        random: &mut ChaCha8Rng,
    ) -> (Vec<AttemptId>, Vec<(LinkId, ToEntry)>) {
        let (mut started, mut sent) = (Vec::new(), Vec::new());
        for (attempt, row) in &mut self.rows {
            if row.next_step_ms > now_ms {
                continue;
            }
            row.next_step_ms = now_ms + random.random_range(1..CHUNK_INTERVAL_MAX_MS);
            let link = row.link;
            match row.stage {
                Stage::Queued if row.submit.deadline.0 <= now_ms => row.stage = Stage::Aborted,
                Stage::Queued => {
                    row.stage = Stage::Running;
                    started.push(*attempt);
                    sent.push((link, head(*attempt)));
                }
                Stage::Running if random.random_range(0..1_000) < FAILURE_PERMILLE => {
                    row.stage = Stage::Aborted;
                    sent.push((link, failed(*attempt)));
                }
                Stage::Running if row.produced < chunk_count_of(*attempt) => {
                    let (index, bytes) = (row.produced, chunk_content(*attempt, row.produced));
                    row.produced += 1;
                    sent.push((link, ToEntry::Chunk { attempt: *attempt, index, bytes }));
                }
                Stage::Running => {
                    row.stage = Stage::Done;
                    sent.push((link, end(now_ms, *attempt)));
                }
                Stage::Done | Stage::Aborted => {}
            }
        }
        (started, sent)
    }
}

fn head(attempt: AttemptId) -> ToEntry {
    ToEntry::Head { attempt, head: ResponseHead { status: 200, headers: vec![] } }
}

fn end(now_ms: u64, attempt: AttemptId) -> ToEntry {
    let load = load(now_ms, AgentState::Serving);
    let byte_count = full_response(attempt).len() as u64;
    ToEntry::End { attempt, chunk_count: chunk_count_of(attempt), byte_count, load }
}

fn failed(attempt: AttemptId) -> ToEntry {
    ToEntry::Failed { attempt, verdict: Verdict::Ran, detail: "it failed".to_owned() }
}
