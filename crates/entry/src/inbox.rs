//! Between the HTTP side and the driver of the core.

use crate::request_log::RequestLog;
use bytes::Bytes;
use hickorycross_core::RequestId;
use hickorycross_core::entry::{Arrival, Refusal};
use hickorycross_core::message::ResponseHead;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// A piece of an answer, from the driver to the HTTP side.
#[derive(Debug)]
pub(crate) enum Part {
    /// Status and headers.
    Begin(ResponseHead),
    /// Bytes of the body.
    Chunk(Bytes),
    /// The answer is whole.
    Finish,
    /// The request ended without a whole answer.
    Refuse(Refusal),
}

/// From the HTTP side to the driver.
#[derive(Debug)]
pub(crate) enum Inbound {
    /// A request came; its answer goes to the sender.
    Arrived { arrival: Box<Arrival>, parts: UnboundedSender<Part> },
    /// The caller went away before its answer was whole.
    CallerGone { request: RequestId },
}

/// The parts of one answer as they come. Dropped before the last part, it tells the driver that
/// nobody waits any more.
#[derive(Debug)]
pub(crate) struct Parts {
    request: RequestId,
    parts: UnboundedReceiver<Part>,
    driver: UnboundedSender<Inbound>,
    ended: bool,
    log: RequestLog,
    /// Held until the answer is out, so that the bound on open requests counts streams too.
    _permit: OwnedSemaphorePermit,
}

impl Parts {
    pub(crate) fn new(
        request: RequestId,
        parts: UnboundedReceiver<Part>,
        driver: UnboundedSender<Inbound>,
        permit: OwnedSemaphorePermit,
        log: RequestLog,
    ) -> Self {
        Self { request, parts, driver, ended: false, log, _permit: permit }
    }

    /// The request that is being answered.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// The next part; none when the driver has gone.
    pub(crate) async fn next(&mut self) -> Option<Part> {
        let part = self.parts.recv().await;
        self.log.saw(part.as_ref());
        self.ended = matches!(part, None | Some(Part::Finish | Part::Refuse(_)));
        part
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.driver.send(Inbound::CallerGone { request: self.request });
        }
    }
}
