//! What engines and plain services have in common: knobs, slots, record of calls, paced answers.

use crate::calls::{Call, CallLog, CallState, OpenCall};
use crate::http::Connections;
use crate::slots::{Slot, Slots};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Permille of the latencies as set.
const NORMAL_PERMILLE: u64 = 1_000;
/// Wait before a connection is broken, so that the pieces sent before reach the caller.
const BREAK_DELAY_MS: u64 = 20;

/// How a backend stand-in fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Failure {
    /// Not at all.
    #[default]
    None,
    /// It answers with status 500 without running the request.
    FailFast,
    /// It takes requests and goes no further until the failure is lifted.
    Stall,
    /// It breaks the connection after this many pieces of the answer. Whole answers of an engine
    /// are one piece.
    BreakAfter(u32),
}

/// What can be set on a backend stand-in while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knobs {
    /// Requests that it runs at once; the others wait, by priority.
    pub slots: u32,
    /// Time from the start of a request to the first piece of its answer.
    pub first_piece_ms: u64,
    /// Time between pieces: tokens of an engine, kilobytes of a service.
    pub between_pieces_ms: u64,
    /// Multiplies both times, in thousandths.
    pub latency_permille: u32,
    /// How it fails.
    pub failure: Failure,
    /// Whether `GET /health` answers 200; otherwise 503.
    pub healthy: bool,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            slots: 8,
            first_piece_ms: 0,
            between_pieces_ms: 0,
            latency_permille: 1_000,
            failure: Failure::None,
            healthy: true,
        }
    }
}

/// State of one backend stand-in, besides what it answers.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) calls: CallLog,
    knobs: watch::Sender<Knobs>,
    slots: Slots,
    /// Steps of the group that makes the pieces, if one does.
    steps: Option<watch::Receiver<u64>>,
}

/// One request that has a slot.
#[derive(Debug)]
pub(crate) struct Run {
    call: OpenCall,
    knobs: watch::Receiver<Knobs>,
    steps: Option<watch::Receiver<u64>>,
    /// The step that the last piece took.
    used_step: u64,
    pieces: u32,
    _slot: Slot,
}

/// Why an answer was not given in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The stand-in breaks the connection.
    Broken,
    /// The caller has gone.
    CallerGone,
}

impl Worker {
    pub(crate) fn new(knobs: Knobs) -> Self {
        Self {
            calls: CallLog::default(),
            knobs: watch::Sender::new(knobs),
            slots: Slots::new(knobs.slots),
            steps: None,
        }
    }

    /// Makes every piece of an answer wait for a step besides.
    pub(crate) fn pace_by(&mut self, steps: watch::Receiver<u64>) {
        self.steps = Some(steps);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Knobs> {
        self.knobs.subscribe()
    }

    pub(crate) fn knobs(&self) -> Knobs {
        *self.knobs.borrow()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Knobs)) {
        self.knobs.send_modify(change);
        self.slots.set_total(self.knobs().slots);
    }

    pub(crate) fn running(&self) -> u32 {
        self.slots.taken()
    }

    /// Records a call and waits for its slot; none when it fails at once.
    pub(crate) async fn begin(&self, call: Call) -> Option<Run> {
        let priority = call.priority;
        let call = self.calls.open(call);
        if self.knobs().failure == Failure::FailFast {
            call.end(CallState::Failed);
            return None;
        }
        let slot = self.slots.take(priority).await?;
        call.start();
        let steps = self.steps.clone();
        Some(Run {
            call,
            knobs: self.knobs.subscribe(),
            steps,
            used_step: 0,
            pieces: 0,
            _slot: slot,
        })
    }
}

impl Run {
    /// Waits until the next piece is due.
    pub(crate) async fn next_piece(&mut self) -> Result<(), Ended> {
        // The stand-in ends first only when its handle is dropped.
        let stalled = self.knobs.wait_for(|knobs| knobs.failure != Failure::Stall).await;
        let knobs = *stalled.map_err(|_| Ended::Broken)?;
        if matches!(knobs.failure, Failure::BreakAfter(pieces) if pieces <= self.pieces) {
            return Err(Ended::Broken);
        }
        let wait_ms = if self.pieces == 0 { knobs.first_piece_ms } else { knobs.between_pieces_ms };
        let scaled_ms = wait_ms * u64::from(knobs.latency_permille) / NORMAL_PERMILLE;
        if scaled_ms > 0 {
            tokio::time::sleep(Duration::from_millis(scaled_ms)).await;
        }
        if let Some(steps) = &mut self.steps {
            // Steps that were made before the piece was due do not count for it.
            if scaled_ms > 0 || self.pieces == 0 {
                self.used_step = *steps.borrow();
            }
            let used_step = self.used_step;
            steps.wait_for(|made| *made > used_step).await.map_err(|_| Ended::Broken)?;
            self.used_step += 1;
        }
        self.pieces += 1;
        Ok(())
    }

    /// Notes that the answer was given in full.
    pub(crate) fn finish(self) {
        self.call.end(CallState::Whole);
    }

    /// Breaks the connection, or notes that the caller has gone.
    pub(crate) async fn end(self, ended: Ended, connections: &Connections, remote: SocketAddr) {
        match ended {
            Ended::Broken => {
                self.call.end(CallState::Broken);
                tokio::time::sleep(Duration::from_millis(BREAK_DELAY_MS)).await;
                connections.cut(remote);
            }
            Ended::CallerGone => self.call.end(CallState::CallerGone),
        }
    }

    /// Sends pieces as they become due, in a task of its own.
    pub(crate) fn stream(
        mut self,
        pieces: Vec<Vec<u8>>,
        connections: Connections,
        remote: SocketAddr,
    ) -> mpsc::Receiver<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let result = tokio::select! {
                result = send_all(&mut self, pieces, &sender) => result,
                () = connections.client_gone(remote) => Err(Ended::CallerGone),
            };
            match result {
                Ok(()) => self.finish(),
                // The sender lives until the connection is cut, because an answer whose sender
                // has gone is ended like one that is whole.
                Err(ended) => self.end(ended, &connections, remote).await,
            }
        });
        receiver
    }
}

async fn send_all(
    run: &mut Run,
    pieces: Vec<Vec<u8>>,
    sender: &mpsc::Sender<Vec<u8>>,
) -> Result<(), Ended> {
    for piece in pieces {
        run.next_piece().await?;
        sender.send(piece).await.map_err(|_| Ended::CallerGone)?;
    }
    Ok(())
}
