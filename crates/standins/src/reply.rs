//! Answers of the backend stand-ins.

use futures_util::stream;
use rocket::Request;
use rocket::http::{ContentType, Status};
use rocket::response::{self, Responder, Response, stream::ByteStream};
use serde::Serialize;
use std::io::Cursor;
use tokio::sync::mpsc;

/// Largest request body that the stand-ins read, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 16 << 20;

/// One answer.
#[derive(Debug)]
pub(crate) struct Reply {
    status: Status,
    content_type: ContentType,
    body: Body,
}

#[derive(Debug)]
enum Body {
    Whole(Vec<u8>),
    Pieces { receiver: mpsc::Receiver<Vec<u8>>, byte_count: Option<usize> },
}

impl Reply {
    /// An empty answer.
    pub(crate) fn empty(status: Status) -> Self {
        Self { status, content_type: ContentType::Plain, body: Body::Whole(Vec::new()) }
    }

    /// A JSON answer.
    pub(crate) fn json(status: Status, body: &impl Serialize) -> Self {
        // The bodies are plain structs: they always serialise.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { status, content_type: ContentType::JSON, body: Body::Whole(body) }
    }

    /// An answer in pieces; without `byte_count` its length is not told beforehand.
    pub(crate) fn pieces(
        status: Status,
        content_type: ContentType,
        receiver: mpsc::Receiver<Vec<u8>>,
        byte_count: Option<usize>,
    ) -> Self {
        Self { status, content_type, body: Body::Pieces { receiver, byte_count } }
    }
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut builder = Response::build();
        match self.body {
            Body::Whole(bytes) => {
                builder.sized_body(bytes.len(), Cursor::new(bytes));
            }
            Body::Pieces { receiver, byte_count } => {
                let pieces = stream::unfold(receiver, |mut receiver| async {
                    receiver.recv().await.map(|piece| (piece, receiver))
                });
                builder.merge(ByteStream(pieces).respond_to(request)?);
                if let Some(byte_count) = byte_count {
                    builder.raw_header("content-length", byte_count.to_string());
                }
            }
        }
        builder.status(self.status).header(self.content_type).ok()
    }
}
