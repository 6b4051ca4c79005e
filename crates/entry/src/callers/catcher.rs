//! Error responses for requests that Rocket itself refuses.

use super::{CallerHandler, METHODS};
use crate::refusal::{self, Rejection};
use hickorycross_core::Verdict;
use hickorycross_core::entry::{Refusal, RefusalCode};
use rocket::catcher::{Catcher, Handler, Result};
use rocket::http::{Header, Method, Status};
use rocket::{Request, Response, async_trait};

/// Returns a catcher that answers in the same format as all other refusals.
pub(crate) fn catchers(callers: &CallerHandler) -> Vec<Catcher> {
    vec![Catcher::new(None, callers.clone())]
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle<'r>(&self, status: Status, request: &'r Request<'_>) -> Result<'r> {
        Ok(self.catch(status, request))
    }
}

impl CallerHandler {
    fn catch(&self, status: Status, request: &Request<'_>) -> Response<'static> {
        let id = self.next_id();
        let now = self.shared.clock.now();
        if !METHODS.contains(&request.method()) {
            let rejection = rejected(Status::MethodNotAllowed, "the method is not served");
            let mut response = refusal::rejection_response(now, id, &rejection);
            response.set_header(Header::new("allow", METHODS.map(Method::as_str).join(", ")));
            return response;
        }
        if status.class().is_client_error() {
            let detail = "the method, the path or the headers cannot be read";
            return refusal::rejection_response(now, id, &rejected(status, detail));
        }
        let refusal = Refusal {
            code: RefusalCode::Interrupted,
            verdict: Verdict::MayHaveRun,
            retry_at: None,
            detail: "the entry failed".to_owned(),
        };
        refusal::refusal_response(now, id, &refusal)
    }
}

fn rejected(status: Status, detail: &str) -> Rejection {
    Rejection { status, code: RefusalCode::BadRequest, detail: detail.to_owned(), retry_at: None }
}
