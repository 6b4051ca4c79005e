//! HTTP client for the backend server, which is reached over loopback.
//!
//! Each request runs in a task of its own that sends the response to the driver as
//! [`AgentEvent`]s: the head, each chunk of the body, then the end or a failure.

use bytes::Bytes;
use futures_util::StreamExt;
use hickorycross_core::agent::AgentEvent;
use hickorycross_core::message::{Header, RequestHead, ResponseHead};
use hickorycross_core::{AttemptId, UnixMs, Verdict};
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::response_head::check_response;
use reqwest::redirect::Policy;
use reqwest::{Method, RequestBuilder, Response};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Header with the attempt's identifier, for correlating the backend server's logs with ours.
const ATTEMPT_HEADER: &str = "x-hickorycross-attempt";
/// Header with the rank of the tier, 0 being the highest, for engines that support priorities.
const PRIORITY_HEADER: &str = "x-hickorycross-priority";
/// Timeout for connecting over loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a health check, including the connection.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Headers that belong to one connection and are not forwarded in either direction.
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

/// A request to be sent to the backend server.
pub(crate) struct BackendRequest {
    pub(crate) attempt: AttemptId,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// The request is not sent after this time.
    pub(crate) deadline: UnixMs,
    /// Rank of the tier, 0 being the highest.
    pub(crate) priority: u8,
}

/// Sends requests and health checks to the backend server beside this agent.
#[derive(Clone)]
pub(crate) struct BackendClient {
    client: reqwest::Client,
    base_url: String,
    health_url: String,
    clock: SteadyClock,
}

impl BackendClient {
    /// Creates a client that neither follows redirects nor retries.
    ///
    /// Redirects are returned to the caller, who decides whether to follow them. A retry by the
    /// HTTP library could execute a non-idempotent request twice.
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

    /// Returns whether the backend server answers its health check with a success status.
    pub(crate) async fn is_healthy(&self) -> bool {
        let answer = self.client.get(&self.health_url).timeout(HEALTH_TIMEOUT).send().await;
        answer.is_ok_and(|it| check_response(&it).is_ok() && it.status().is_success())
    }

    /// Sends a request and reports its response, or its failure, to `events`.
    pub(crate) async fn run(self, request: BackendRequest, events: UnboundedSender<AgentEvent>) {
        let attempt = request.attempt;
        if let Err((verdict, detail)) = self.stream_response(request, &events).await {
            let _ = events.send(AgentEvent::BackendFailed { attempt, verdict, detail });
        }
    }

    /// Streams the response to `events`.
    ///
    /// A failure is returned with its verdict on whether the backend server has run the request.
    async fn stream_response(
        &self,
        request: BackendRequest,
        events: &UnboundedSender<AgentEvent>,
    ) -> Result<(), (Verdict, String)> {
        let attempt = request.attempt;
        let http_request = self.build_request(&request)?;
        // The process may have been suspended since the core decided to start the request. An
        // expired request must not start: its caller has already been told that it did not run.
        if request.deadline.is_past(self.clock.now()) {
            return Err((Verdict::NotRun, "the deadline passed before the start".to_owned()));
        }
        let response = http_request.send().await.map_err(|error| send_failure(&error))?;
        check_response(&response).map_err(|error| (Verdict::MayHaveRun, error.to_string()))?;
        let head = response_head(&response);
        let _ = events.send(AgentEvent::BackendHead { attempt, head });
        let mut chunks = response.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            let bytes = chunk.map_err(|error| (Verdict::Ran, error.to_string()))?;
            let _ = events.send(AgentEvent::BackendChunk { attempt, bytes });
        }
        let _ = events.send(AgentEvent::BackendEnd { attempt });
        Ok(())
    }

    fn build_request(&self, request: &BackendRequest) -> Result<RequestBuilder, (Verdict, String)> {
        let method = Method::from_bytes(request.head.method.as_bytes())
            .map_err(|error| (Verdict::NotRun, error.to_string()))?;
        let url = format!("{}{}", self.base_url, request.head.path);
        let mut builder = self.client.request(method, url);
        for header in request.head.headers.iter().filter(|header| is_end_to_end(&header.name)) {
            builder = builder.header(&header.name, header.value.as_slice());
        }
        Ok(builder
            .header(ATTEMPT_HEADER, request.attempt.to_string())
            .header(PRIORITY_HEADER, request.priority.to_string())
            .body(request.body.clone()))
    }
}

/// Classifies a failure to send a request.
///
/// `NotRun` requires that no connection was made: only then is it certain that the backend server
/// received nothing.
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
