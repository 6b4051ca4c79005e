//! Serves callers' connections: reads requests, checks them against the catalog and sends refusals.

mod collect;
mod connection;
mod head;
mod refusal;
mod timed_writes;

pub(crate) use collect::{BufferUse, CollectError, collect_body};
pub(crate) use connection::accept;
pub(crate) use head::CallerRequest;
pub(crate) use refusal::{AnswerBody, BodyAborted, Refusal, full_body};
