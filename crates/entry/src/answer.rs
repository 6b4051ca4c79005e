//! A backend server's answer on its way to the caller.
//!
//! An answer that is cut off must never look whole. Rocket ends a body cleanly even when its
//! reader fails, so that the end of a chunked body proves nothing. Three forms remain in which a
//! caller can tell:
//! - an answer whose length is known keeps its `content-length`: fewer bytes break the connection;
//! - a stream of server-sent events that is cut off closes with an `error` event, and without the
//!   end marker of the model API;
//! - any other answer is gathered until it is whole, and then sent with its length.

use crate::inbox::{Part, Parts};
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

/// Longest answer that is gathered.
const GATHER_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Rocket hands the body on in pieces of at most this size.
const PIECE_BYTES: usize = 16 * 1024;

/// How an answer's end is made plain to the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Form {
    Length,
    Events,
    Gathered,
}

/// Waits for the answer's beginning and makes the response.
pub(crate) async fn respond(mut parts: Parts, clock: SteadyClock) -> Response<'static> {
    let request = parts.request();
    match parts.next().await {
        Some(Part::Begin(head)) => match form(&head) {
            Form::Gathered => gather(head, parts, clock).await,
            form => stream(&head, form, parts),
        },
        Some(Part::Refuse(refusal)) => refusal::respond(clock.now(), request, &refusal),
        Some(Part::Chunk(_) | Part::Finish) | None => {
            refusal::respond(clock.now(), request, &stopped())
        }
    }
}

fn form(head: &ResponseHead) -> Form {
    let find = |name: &str| head.headers.iter().find(|header| header.name == name);
    if find("content-length").is_some() {
        return Form::Length;
    }
    let is_events =
        find("content-type").is_some_and(|header| header.value.starts_with(b"text/event-stream"));
    if is_events { Form::Events } else { Form::Gathered }
}

fn stopped() -> Refusal {
    Refusal {
        code: RefusalCode::Interrupted,
        verdict: Verdict::MayHaveRun,
        retry_at: None,
        detail: "the entry stopped".to_owned(),
    }
}

fn response_of(head: &ResponseHead, request: RequestId) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(head.status));
    for header in &head.headers {
        let value = String::from_utf8_lossy(&header.value).into_owned();
        response.adjoin_header(Header::new(header.name.clone(), value));
    }
    response.set_header(Header::new(REQUEST_HEADER, request.to_string()));
    response
}

fn stream(head: &ResponseHead, form: Form, parts: Parts) -> Response<'static> {
    let mut response = response_of(head, parts.request());
    response.set_streamed_body(Body::new(parts, form));
    response.set_max_chunk_size(PIECE_BYTES);
    response
}

async fn gather(head: ResponseHead, mut parts: Parts, clock: SteadyClock) -> Response<'static> {
    let request = parts.request();
    let mut body = BytesMut::new();
    loop {
        match parts.next().await {
            Some(Part::Chunk(bytes)) if body.len() + bytes.len() <= GATHER_LIMIT_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Some(Part::Finish) => {
                let mut response = response_of(&head, request);
                response.set_sized_body(body.len(), Cursor::new(body.freeze()));
                return response;
            }
            Some(Part::Refuse(refusal)) => {
                return refusal::respond(clock.now(), request, &refusal);
            }
            Some(Part::Chunk(_) | Part::Begin(_)) => {
                return refusal::respond(clock.now(), request, &too_long());
            }
            None => return refusal::respond(clock.now(), request, &stopped()),
        }
    }
}

fn too_long() -> Refusal {
    Refusal {
        code: RefusalCode::BadAnswer,
        verdict: Verdict::Ran,
        retry_at: None,
        detail: format!("an answer without length exceeds {GATHER_LIMIT_BYTES} bytes"),
    }
}

type NextPart = Pin<Box<dyn Future<Output = (Parts, Option<Part>)> + Send>>;

/// The body of a streamed answer.
struct Body {
    next: Option<NextPart>,
    ready: Bytes,
    form: Form,
    request: RequestId,
}

impl Body {
    fn new(parts: Parts, form: Form) -> Self {
        let request = parts.request();
        Self { next: Some(wait(parts)), ready: Bytes::new(), form, request }
    }

    /// Takes one part in; an error ends the body short of its length.
    fn take(&mut self, parts: Parts, part: Option<Part>) -> IoResult<()> {
        match part {
            Some(Part::Chunk(bytes)) => {
                self.ready = bytes;
                self.next = Some(wait(parts));
            }
            Some(Part::Begin(_)) => self.next = Some(wait(parts)),
            Some(Part::Finish) => {}
            Some(Part::Refuse(refusal)) => return self.cut(&refusal),
            None => return self.cut(&stopped()),
        }
        Ok(())
    }

    fn cut(&mut self, refusal: &Refusal) -> IoResult<()> {
        match self.form {
            Form::Events => {
                let error = refusal::json(self.request, refusal);
                self.ready = Bytes::from(format!("\n\nevent: error\ndata: {error}\n\n"));
                Ok(())
            }
            Form::Length | Form::Gathered => {
                Err(Error::new(ErrorKind::UnexpectedEof, "the answer was cut off"))
            }
        }
    }
}

fn wait(mut parts: Parts) -> NextPart {
    Box::pin(async move {
        let part = parts.next().await;
        (parts, part)
    })
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        while self.ready.is_empty() {
            let Some(next) = self.next.as_mut() else {
                return Poll::Ready(Ok(()));
            };
            let Poll::Ready((parts, part)) = next.as_mut().poll(context) else {
                return Poll::Pending;
            };
            self.next = None;
            self.take(parts, part)?;
        }
        let count = self.ready.len().min(buffer.remaining());
        buffer.put_slice(&self.ready[..count]);
        self.ready.advance(count);
        Poll::Ready(Ok(()))
    }
}
