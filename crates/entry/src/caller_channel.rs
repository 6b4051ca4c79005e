//! Messages between the HTTP side and the driver.
//!
//! The HTTP side sends a [`CallerEvent`] for each request. The driver sends the answer as a
//! sequence of [`AnswerPart`]s, which the HTTP side reads from an [`AnswerReceiver`].

use crate::request_log::RequestLog;
use bytes::Bytes;
use hickorycross_core::RequestId;
use hickorycross_core::entry::{Arrival, Refusal};
use hickorycross_core::message::ResponseHead;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// A part of an answer, sent by the driver to the HTTP side.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Status and headers.
    Head(ResponseHead),
    /// Bytes of the body.
    Chunk(Bytes),
    /// The answer is complete.
    Finish,
    /// The request ended without a complete answer.
    Refuse(Refusal),
}

/// An event that the HTTP side reports to the driver.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// A request arrived. The parts of its answer are to be sent to `parts`.
    Arrived { arrival: Box<Arrival>, parts: UnboundedSender<AnswerPart> },
    /// The caller disconnected before its answer was complete.
    CallerGone { request: RequestId },
}

/// Receives the parts of one answer.
///
/// If it is dropped before the last part, the caller has disconnected, and it reports
/// [`CallerEvent::CallerGone`] to the driver.
#[derive(Debug)]
pub(crate) struct AnswerReceiver {
    request: RequestId,
    parts: UnboundedReceiver<AnswerPart>,
    driver: UnboundedSender<CallerEvent>,
    ended: bool,
    log: RequestLog,
    /// Held until the answer has been sent, so that streams count towards the limit on open
    /// requests.
    _permit: OwnedSemaphorePermit,
}

impl AnswerReceiver {
    pub(crate) fn new(
        request: RequestId,
        parts: UnboundedReceiver<AnswerPart>,
        driver: UnboundedSender<CallerEvent>,
        permit: OwnedSemaphorePermit,
        log: RequestLog,
    ) -> Self {
        Self { request, parts, driver, ended: false, log, _permit: permit }
    }

    /// Returns the id of the request that is being answered.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// Waits for the next part. Returns `None` if the driver has stopped.
    pub(crate) async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.recv().await;
        self.log.record_part(part.as_ref());
        self.ended = matches!(part, None | Some(AnswerPart::Finish | AnswerPart::Refuse(_)));
        part
    }
}

impl Drop for AnswerReceiver {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.driver.send(CallerEvent::CallerGone { request: self.request });
        }
    }
}
