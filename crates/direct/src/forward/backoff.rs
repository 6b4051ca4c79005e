//! Keeps requests from backend servers that asked for a backoff when no other one is left.
//!
//! A request whose caller has got nothing yet is refused at once and told when the first backoff
//! ends. A stream that broke off waits instead, if its caller does: it cannot be refused any more.

use super::active_request::ActiveRequest;
use crate::callers::Refusal;
use crate::clock::boot_now;
use hickorycross_core::direct::{BootMs, Selection, backoff_resume_at, backoff_retry_after_ms};
use rand::RngExt;
use std::time::Duration;

impl ActiveRequest {
    /// Returns once a backend server of the service takes requests from this entry, or fails with
    /// the refusal if the request must not wait for that.
    pub(super) async fn wait_for_backoff(&self) -> Result<(), Refusal> {
        let mut resume_at = BootMs(0);
        while let Some(over_at) = self.backoff_over_at(&self.tried) {
            if resume_at < over_at {
                resume_at = self.resume_at(over_at)?;
                self.log_wait(resume_at.since(boot_now()), "backoff");
            }
            let left = Duration::from_millis(resume_at.since(boot_now()).max(1));
            let changed = self.state.capacity_changed.notified();
            // Whether notified or timed out, the loop evaluates all conditions again.
            let _ = tokio::time::timeout(left, changed).await;
            self.check_before_send()?;
        }
        Ok(())
    }

    /// Returns when the first backoff ends, if all backend servers that accept work, that the
    /// request may be sent to and that are not in `tried` asked for one.
    pub(super) fn backoff_over_at(&self, tried: &[String]) -> Option<BootMs> {
        let domains = self.allowed_domains();
        let selection = Selection::new(&self.service, tried).in_domains(domains.as_ref());
        self.state.backends.borrow().backoff_over_at(&selection, boot_now())
    }

    /// Returns the refusal of a request that no backend server takes before `over_at`.
    pub(super) fn backoff_refusal(&self, over_at: BootMs) -> Refusal {
        let over_in_ms = over_at.since(boot_now());
        Refusal::Backoff { retry_after_ms: backoff_retry_after_ms(over_in_ms, self.draw()) }
    }

    /// Returns when a stream that broke off is sent again, or the refusal for any other request and
    /// for a stream whose caller will have left by then.
    fn resume_at(&self, over_at: BootMs) -> Result<BootMs, Refusal> {
        let resume_at = backoff_resume_at(over_at, self.draw());
        if self.has_event && resume_at <= self.caller_patience_until() {
            Ok(resume_at)
        } else {
            Err(self.final_refusal())
        }
    }

    /// Returns a random number from 0 up to 1.
    fn draw(&self) -> f64 {
        self.state.random.borrow_mut().random()
    }
}
