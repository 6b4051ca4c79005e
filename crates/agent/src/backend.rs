//! Requests to the backend server, over loopback.

use bytes::Bytes;
use futures_util::StreamExt;
use hickorycross_core::agent::AgentEvent;
use hickorycross_core::message::{Header, RequestHead, ResponseHead};
use hickorycross_core::{AttemptId, UnixMs, Verdict};
use hickorycross_runtime::clock::SteadyClock;
use reqwest::redirect::Policy;
use reqwest::{Method, RequestBuilder, Response};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Carries the attempt's identifier, so that a backend server's log can be joined with ours.
const ATTEMPT_HEADER: &str = "x-hickorycross-attempt";
/// Carries the rank of the tier, 0 first, for engines that honour priorities.
const PRIORITY_HEADER: &str = "x-hickorycross-priority";
/// A connection over loopback that takes longer has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A health check that takes longer has failed.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Connection-level headers of either direction, which are not passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One request for the backend server.
pub(crate) struct Run {
    pub(crate) attempt: AttemptId,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) deadline: UnixMs,
    pub(crate) priority: u8,
}

/// The backend server beside this agent.
#[derive(Clone)]
pub(crate) struct Backend {
    client: reqwest::Client,
    base_url: String,
    health_url: String,
    clock: SteadyClock,
}

impl Backend {
    /// Redirects are the caller's business, and a repeat by the HTTP library could run a request
    /// twice that must run once.
    pub(crate) fn new(
        base_url: &str,
        health_path: &str,
        clock: SteadyClock,
    ) -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        let base_url = base_url.trim_end_matches('/').to_owned();
        let health_url = format!("{base_url}{health_path}");
        Ok(Self { client, base_url, health_url, clock })
    }

    /// Whether the backend server answers its health check.
    pub(crate) async fn is_healthy(&self) -> bool {
        let answer = self.client.get(&self.health_url).timeout(HEALTH_TIMEOUT).send().await;
        answer.is_ok_and(|response| response.status().is_success())
    }

    /// Runs a request and reports every piece of its answer.
    pub(crate) async fn run(self, run: Run, events: UnboundedSender<AgentEvent>) {
        let attempt = run.attempt;
        if let Err((verdict, detail)) = self.run_reporting(run, &events).await {
            let _ = events.send(AgentEvent::BackendFailed { attempt, verdict, detail });
        }
    }

    async fn run_reporting(
        &self,
        run: Run,
        events: &UnboundedSender<AgentEvent>,
    ) -> Result<(), (Verdict, String)> {
        let attempt = run.attempt;
        let request = self.request(&run)?;
        // The process may have been frozen between the core's decision and this line; work that
        // expired meanwhile must not begin, since its caller has been told that it did not run.
        if run.deadline.is_past(self.clock.now()) {
            return Err((Verdict::NotRun, "the deadline passed before the start".to_owned()));
        }
        let response = request.send().await.map_err(|error| send_failure(&error))?;
        let head = response_head(&response);
        let _ = events.send(AgentEvent::BackendHead { attempt, head });
        let mut pieces = response.bytes_stream();
        while let Some(piece) = pieces.next().await {
            let bytes = piece.map_err(|error| (Verdict::Ran, error.to_string()))?;
            let _ = events.send(AgentEvent::BackendChunk { attempt, bytes });
        }
        let _ = events.send(AgentEvent::BackendEnd { attempt });
        Ok(())
    }

    fn request(&self, run: &Run) -> Result<RequestBuilder, (Verdict, String)> {
        let method = Method::from_bytes(run.head.method.as_bytes())
            .map_err(|error| (Verdict::NotRun, error.to_string()))?;
        let url = format!("{}{}", self.base_url, run.head.path);
        let mut request = self.client.request(method, url);
        for header in run.head.headers.iter().filter(|header| is_end_to_end(&header.name)) {
            request = request.header(&header.name, header.value.as_slice());
        }
        Ok(request
            .header(ATTEMPT_HEADER, run.attempt.to_string())
            .header(PRIORITY_HEADER, run.priority.to_string())
            .body(run.body.clone()))
    }
}

/// Only a connection that was never made proves that the backend server saw nothing.
fn send_failure(error: &reqwest::Error) -> (Verdict, String) {
    let verdict = if error.is_connect() || error.is_builder() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    (verdict, error.to_string())
}

fn response_head(response: &Response) -> ResponseHead {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    ResponseHead { status: response.status().as_u16(), headers }
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}
