//! Answers to what Rocket itself refuses.

use super::{Callers, METHODS};
use crate::refusal::{self, Rejected};
use hickorycross_core::Verdict;
use hickorycross_core::entry::{Refusal, RefusalCode};
use rocket::catcher::{Catcher, Handler, Result};
use rocket::http::{Header, Method, Status};
use rocket::{Request, Response, async_trait};

/// Answers in the form of every other refusal.
pub(crate) fn catchers(callers: &Callers) -> Vec<Catcher> {
    vec![Catcher::new(None, callers.clone())]
}

#[async_trait]
impl Handler for Callers {
    async fn handle<'r>(&self, status: Status, request: &'r Request<'_>) -> Result<'r> {
        Ok(self.catch(status, request))
    }
}

impl Callers {
    fn catch(&self, status: Status, request: &Request<'_>) -> Response<'static> {
        let id = self.next_id();
        let now = self.shared.clock.now();
        if !METHODS.contains(&request.method()) {
            let rejected = rejected(Status::MethodNotAllowed, "the method is not served");
            let mut response = refusal::reject(now, id, &rejected);
            response.set_header(Header::new("allow", METHODS.map(Method::as_str).join(", ")));
            return response;
        }
        if status.class().is_client_error() {
            let detail = "the method, the path or the headers cannot be read";
            return refusal::reject(now, id, &rejected(status, detail));
        }
        let refusal = Refusal {
            code: RefusalCode::Interrupted,
            verdict: Verdict::MayHaveRun,
            retry_at: None,
            detail: "the entry failed".to_owned(),
        };
        refusal::respond(now, id, &refusal)
    }
}

fn rejected(status: Status, detail: &str) -> Rejected {
    Rejected { status, code: RefusalCode::BadRequest, detail: detail.to_owned(), retry_at: None }
}
