//! Sends a backend server's answer to the caller.
//!
//! A caller must be able to detect that an answer was cut off. Rocket ends a chunked body cleanly
//! even if its reader fails, so the end of a chunked body does not prove that it is complete.
//! Answers are therefore sent in one of three ways:
//! - An answer of known length keeps its `content-length`. If it is cut off, the connection closes
//!   before all bytes have been sent.
//! - A stream of server-sent events that is cut off ends with an `error` event and lacks the end
//!   marker of the model API.
//! - Any other answer is buffered until it is complete, and then sent with its length.

use crate::caller_channel::{AnswerPart, AnswerReceiver};
use crate::refusal::{self, REQUEST_HEADER};
use bytes::{Buf, Bytes, BytesMut};
use hickorycross_core::entry::{Refusal, RefusalCode};
use hickorycross_core::message::ResponseHead;
use hickorycross_core::{RequestId, Verdict};
use hickorycross_runtime::clock::SteadyClock;
use rocket::Response;
use rocket::http::{Header, Status};
use std::future::Future;
use std::io::{Cursor, Error, ErrorKind, Result as IoResult};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Longest answer that is buffered.
const BUFFERED_ANSWER_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Largest chunk in which Rocket sends a streamed body.
const BODY_CHUNK_BYTES: usize = 16 * 1024;

/// How an answer is sent, so that the caller can detect that it was cut off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    KnownLength,
    EventStream,
    Buffered,
}

/// Waits for the head of the answer, or for a refusal, and builds the response.
pub(crate) async fn answer_response(
    mut answer: AnswerReceiver,
    clock: SteadyClock,
) -> Response<'static> {
    let request = answer.request();
    match answer.next().await {
        Some(AnswerPart::Head(head)) => match delivery_of(&head) {
            Delivery::Buffered => buffer_answer(head, answer, clock).await,
            delivery => stream_answer(&head, delivery, answer),
        },
        Some(AnswerPart::Refuse(refusal)) => {
            refusal::refusal_response(clock.now(), request, &refusal)
        }
        Some(AnswerPart::Chunk(_) | AnswerPart::Finish) | None => {
            refusal::refusal_response(clock.now(), request, &entry_stopped())
        }
    }
}

fn delivery_of(head: &ResponseHead) -> Delivery {
    let find = |name: &str| head.headers.iter().find(|header| header.name == name);
    if find("content-length").is_some() {
        return Delivery::KnownLength;
    }
    let is_event_stream =
        find("content-type").is_some_and(|header| header.value.starts_with(b"text/event-stream"));
    if is_event_stream { Delivery::EventStream } else { Delivery::Buffered }
}

fn entry_stopped() -> Refusal {
    Refusal {
        code: RefusalCode::Interrupted,
        verdict: Verdict::MayHaveRun,
        retry_at: None,
        detail: "the entry stopped".to_owned(),
    }
}

fn response_with_head(head: &ResponseHead, request: RequestId) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(head.status));
    for header in &head.headers {
        let value = String::from_utf8_lossy(&header.value).into_owned();
        response.adjoin_header(Header::new(header.name.clone(), value));
    }
    response.set_header(Header::new(REQUEST_HEADER, request.to_string()));
    response
}

fn stream_answer(
    head: &ResponseHead,
    delivery: Delivery,
    answer: AnswerReceiver,
) -> Response<'static> {
    let mut response = response_with_head(head, answer.request());
    response.set_streamed_body(StreamedBody::new(answer, delivery));
    response.set_max_chunk_size(BODY_CHUNK_BYTES);
    response
}

async fn buffer_answer(
    head: ResponseHead,
    mut answer: AnswerReceiver,
    clock: SteadyClock,
) -> Response<'static> {
    let request = answer.request();
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Some(AnswerPart::Chunk(bytes))
                if body.len() + bytes.len() <= BUFFERED_ANSWER_LIMIT_BYTES =>
            {
                body.extend_from_slice(&bytes);
            }
            Some(AnswerPart::Finish) => {
                let mut response = response_with_head(&head, request);
                response.set_sized_body(body.len(), Cursor::new(body.freeze()));
                return response;
            }
            Some(AnswerPart::Refuse(refusal)) => {
                return refusal::refusal_response(clock.now(), request, &refusal);
            }
            Some(AnswerPart::Chunk(_) | AnswerPart::Head(_)) => {
                return refusal::refusal_response(clock.now(), request, &buffer_limit_exceeded());
            }
            None => return refusal::refusal_response(clock.now(), request, &entry_stopped()),
        }
    }
}

fn buffer_limit_exceeded() -> Refusal {
    Refusal {
        code: RefusalCode::BadAnswer,
        verdict: Verdict::Ran,
        retry_at: None,
        detail: format!("an answer without length exceeds {BUFFERED_ANSWER_LIMIT_BYTES} bytes"),
    }
}

type PartFuture = Pin<Box<dyn Future<Output = (AnswerReceiver, Option<AnswerPart>)> + Send>>;

/// The body of a streamed answer, read by Rocket as parts arrive from the driver.
struct StreamedBody {
    next: Option<PartFuture>,
    ready: Bytes,
    delivery: Delivery,
    request: RequestId,
}

impl StreamedBody {
    fn new(answer: AnswerReceiver, delivery: Delivery) -> Self {
        let request = answer.request();
        Self { next: Some(receive_part(answer)), ready: Bytes::new(), delivery, request }
    }

    /// Processes the next part. An error ends the body before its announced length.
    fn handle_part(&mut self, answer: AnswerReceiver, part: Option<AnswerPart>) -> IoResult<()> {
        match part {
            Some(AnswerPart::Chunk(bytes)) => {
                self.ready = bytes;
                self.next = Some(receive_part(answer));
            }
            Some(AnswerPart::Head(_)) => self.next = Some(receive_part(answer)),
            Some(AnswerPart::Finish) => {}
            Some(AnswerPart::Refuse(refusal)) => return self.cut_off(&refusal),
            None => return self.cut_off(&entry_stopped()),
        }
        Ok(())
    }

    /// Ends the body of an answer that was cut off, with an `error` event or an I/O error.
    fn cut_off(&mut self, refusal: &Refusal) -> IoResult<()> {
        match self.delivery {
            Delivery::EventStream => {
                let error = refusal::error_json(self.request, refusal);
                self.ready = Bytes::from(format!("\n\nevent: error\ndata: {error}\n\n"));
                Ok(())
            }
            Delivery::KnownLength | Delivery::Buffered => {
                Err(Error::new(ErrorKind::UnexpectedEof, "the answer was cut off"))
            }
        }
    }
}

fn receive_part(mut answer: AnswerReceiver) -> PartFuture {
    Box::pin(async move {
        let part = answer.next().await;
        (answer, part)
    })
}

impl AsyncRead for StreamedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        while self.ready.is_empty() {
            let Some(next) = self.next.as_mut() else {
                return Poll::Ready(Ok(()));
            };
            let Poll::Ready((answer, part)) = next.as_mut().poll(context) else {
                return Poll::Pending;
            };
            self.next = None;
            self.handle_part(answer, part)?;
        }
        let count = self.ready.len().min(buffer.remaining());
        buffer.put_slice(&self.ready[..count]);
        self.ready.advance(count);
        Poll::Ready(Ok(()))
    }
}
