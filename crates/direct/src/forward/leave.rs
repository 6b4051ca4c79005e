//! Whether a stream goes on at another backend server before it has to.

use super::life::Life;
use crate::clock::boot_now;
use hickorycross_core::direct::{BackendServer, RequestKind};

impl Life {
    /// Whether the stream is to leave `server`, which holds its whole group up.
    ///
    /// Only one that certainly goes on elsewhere does: a caller whose stream ends here has lost more
    /// than one whose stream is slow.
    pub(super) fn is_to_leave(&self, server: &BackendServer) -> bool {
        let now = boot_now();
        self.state.backends.borrow().should_move_streams(server, now)
            && self.request.route.kind == RequestKind::ResumableStream
            && self.may_send_again()
            && self.has_room()
    }
}
