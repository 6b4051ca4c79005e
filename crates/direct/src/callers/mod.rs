//! Serves callers' connections: reads requests, checks them against the catalog and sends refusals.

mod connection;
mod head;
mod refusal;

pub(crate) use connection::accept;
pub(crate) use head::CallerRequest;
pub(crate) use refusal::{AnswerBody, BodyAborted, Refusal, full_body};
