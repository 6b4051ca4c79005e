//! Callers' connections and the answers that this entry gives by itself.

mod connection;
mod head;
mod refusal;

pub(crate) use connection::accept;
pub(crate) use head::CallerRequest;
pub(crate) use refusal::{AnswerBody, BodyBreak, Refusal, whole};
