//! Moves streams away from a slow backend server before they break.

use super::active_request::ActiveRequest;
use crate::clock::boot_now;
use hickorycross_core::direct::{BackendServer, RequestKind};

impl ActiveRequest {
    /// Returns whether to resume the stream elsewhere because `server` slows its whole group.
    ///
    /// Only a stream that is certain to be resumed is moved: for a caller, a stream that ends is
    /// worse than a slow one.
    pub(super) fn should_move_stream(&self, server: &BackendServer) -> bool {
        let now = boot_now();
        self.state.backends.borrow().should_move_streams(server, now)
            && self.request.route.kind == RequestKind::ResumableStream
            && self.may_retry()
            && self.has_capacity()
            && self.has_other(server)
    }

    /// Returns whether another backend server than `server` takes the request.
    fn has_other(&self, server: &BackendServer) -> bool {
        let mut excluded_servers = self.excluded_servers();
        excluded_servers.push(server.id.clone());
        let domains = self.allowed_domains();
        let selection = self.selection(&excluded_servers, domains.as_ref());
        self.state.backends.borrow().choose(&selection, boot_now(), 0.0).is_some()
    }
}
