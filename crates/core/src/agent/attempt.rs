//! One row of the table of attempts.

use crate::ids::LinkId;
use crate::message::Submit;

/// What an agent keeps of an attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Where its messages go.
    pub(crate) link: LinkId,
    /// How far it has come.
    pub(crate) stage: Stage,
}

/// How far an attempt has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for a slot.
    Queued(Box<Submit>),
    /// The backend server has it.
    Running {
        /// Chunks so far.
        chunk_count: u32,
        /// Bytes so far.
        byte_count: u64,
    },
    /// It has ended.
    Done,
}

impl Attempt {
    pub(crate) fn queued(link: LinkId, submit: Submit) -> Self {
        Self { link, stage: Stage::Queued(Box::new(submit)) }
    }
}
