//! Context in which one event is handled.

use crate::audit::{AuditRecord, Change};
use crate::entry::interface::EntryAction;
use crate::ids::LinkId;
use crate::message::ToAgent;
use crate::time::Now;
use hickorycross_config::Stamp;

/// Time of an event, stamp of the document in force, and the actions that the event causes.
pub(super) struct EventContext<'a> {
    pub(super) now: Now,
    pub(super) stamp: Stamp,
    pub(super) actions: &'a mut Vec<EntryAction>,
}

impl EventContext<'_> {
    pub(super) fn push(&mut self, action: EntryAction) {
        self.actions.push(action);
    }

    pub(super) fn send(&mut self, link: LinkId, message: ToAgent) {
        self.push(EntryAction::Send { link, message });
    }

    pub(super) fn audit(&mut self, change: Change) {
        let record = AuditRecord::new(self.now.unix_ms, self.stamp, change);
        self.push(EntryAction::Audit(record));
    }
}
