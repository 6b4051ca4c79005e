//! HTTP server for the external load balancer, operators and other processes of the fleet.

use crate::clock::boot_now;
use crate::exchange::{self, EXCHANGE_PATH};
use crate::limit_share::{self, LIMIT_SHARE_PATH};
use crate::peer_call;
use crate::state::EntryState;
use crate::warm_up_share::{self, WARM_UP_SHARE_PATH};
use bytes::Bytes;
use hickorycross_runtime::exposition::Exposition;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of the metrics in the Prometheus format.
const METRICS_PATH: &str = "/metrics";
/// Largest request body of a peer.
const MAX_PEER_REQUEST_BYTES: usize = 4096;
/// Pause after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_PAUSE_MS: u64 = 10;
/// Timeout for reading a request head, which also limits how long a connection may stay idle.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// The endpoints that a process serves on its internal addresses.
pub(crate) trait Endpoints {
    /// Responds to one request.
    fn respond(&self, request: Request<Incoming>) -> ResponseFuture<'_>;
}

/// A future response.
pub(crate) type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + 'a>>;

/// Endpoints of an entry: readiness, metrics and requests of other entries.
pub(crate) struct EntryEndpoints {
    pub(crate) state: Rc<EntryState>,
    pub(crate) exposition: Exposition,
}

/// Endpoints of an agent, which serves metrics only.
pub(crate) struct AgentEndpoints(pub(crate) Exposition);

impl Endpoints for EntryEndpoints {
    fn respond(&self, request: Request<Incoming>) -> ResponseFuture<'_> {
        Box::pin(async move {
            let path = request.uri().path();
            if path == self.state.names.ready_path {
                let is_ready = self.state.is_ready(boot_now());
                let status =
                    if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                return plain(status, Bytes::new());
            }
            match (request.method(), path) {
                (&Method::GET, METRICS_PATH) => metrics_response(&self.exposition),
                (&Method::POST, EXCHANGE_PATH) => {
                    answer_peer(&self.state, request, async |state, request| {
                        exchange::respond(state, request).await
                    })
                    .await
                }
                (&Method::POST, LIMIT_SHARE_PATH) => {
                    answer_peer(&self.state, request, async |state, request| {
                        limit_share::handle_request(state, &request)
                    })
                    .await
                }
                (&Method::POST, WARM_UP_SHARE_PATH) => {
                    answer_peer(&self.state, request, async |state, request| {
                        warm_up_share::handle_request(state, &request)
                    })
                    .await
                }
                _ => not_found(),
            }
        })
    }
}

impl Endpoints for AgentEndpoints {
    fn respond(&self, request: Request<Incoming>) -> ResponseFuture<'_> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, METRICS_PATH) => metrics_response(&self.0),
                _ => not_found(),
            }
        })
    }
}

fn metrics_response(exposition: &Exposition) -> Response<Full<Bytes>> {
    plain(StatusCode::OK, exposition.render().into())
}

fn not_found() -> Response<Full<Bytes>> {
    plain(StatusCode::NOT_FOUND, Bytes::from_static(b"no such page\n"))
}

/// Serves requests on one listener forever.
pub(crate) async fn serve(listener: TcpListener, endpoints: Rc<dyn Endpoints>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let endpoints = Rc::clone(&endpoints);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let endpoints = Rc::clone(&endpoints);
                async move { Ok::<_, Infallible>(endpoints.respond(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
                .serve_connection(TokioIo::new(stream), service);
            // A load balancer or peer whose connection breaks retries by itself.
            let _ = connection.await;
        });
    }
}

/// Decodes the request of a peer and responds with the encoded `answer`.
async fn answer_peer<Q: DeserializeOwned, A: Serialize>(
    state: &EntryState,
    request: Request<Incoming>,
    answer: impl AsyncFnOnce(&EntryState, Q) -> A,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_PEER_REQUEST_BYTES).collect().await;
    let question = body.ok().and_then(|body| peer_call::decode::<Q>(&body.to_bytes()).ok());
    let Some(question) = question else {
        return plain(StatusCode::BAD_REQUEST, Bytes::from_static(b"unreadable question\n"));
    };
    match postcard::to_stdvec(&answer(state, question).await) {
        Ok(bytes) => plain(StatusCode::OK, bytes.into()),
        Err(error) => {
            let line = crate::DecisionLog::fields("exchange").with("error", error);
            state.log.note(line.with("outcome", "unanswered"));
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Returns a response with the given status and body.
fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
