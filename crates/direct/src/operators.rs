//! The addresses for the balancer, for operators and for other processes of the fleet.

use crate::clock::boot_now;
use crate::exchange::{self, EXCHANGE_PATH};
use crate::limit_share::{self, LIMIT_SHARE_PATH};
use crate::state::EntryState;
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

/// Path of the metrics, as Prometheus asks for it.
const METRICS_PATH: &str = "/metrics";
/// Longest question of a peer.
const MOST_QUESTION_BYTES: usize = 4096;
/// Pause after a failed accept, which usually means that descriptors have run out.
const ACCEPT_PAUSE_MS: u64 = 10;
/// Time for a request's head, and for which a connection may stay idle.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// Answers requests of operators, the balancer and other processes.
pub(crate) trait Pages {
    /// Answers one request.
    fn respond(&self, request: Request<Incoming>) -> Responding<'_>;
}

/// An answer in the making.
pub(crate) type Responding<'a> = Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + 'a>>;

/// The pages of an entry.
pub(crate) struct EntryPages {
    pub(crate) state: Rc<EntryState>,
    pub(crate) exposition: Exposition,
}

/// The pages of an agent, which has only metrics.
pub(crate) struct AgentPages(pub(crate) Exposition);

impl Pages for EntryPages {
    fn respond(&self, request: Request<Incoming>) -> Responding<'_> {
        Box::pin(async move {
            let path = request.uri().path();
            if path == self.state.names.ready_path {
                let is_ready = self.state.is_ready(boot_now());
                let status =
                    if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                return plain(status, Bytes::new());
            }
            match (request.method(), path) {
                (&Method::GET, METRICS_PATH) => metrics_page(&self.exposition),
                (&Method::POST, EXCHANGE_PATH) => {
                    answer_peer(&self.state, request, exchange::handle_request).await
                }
                (&Method::POST, LIMIT_SHARE_PATH) => {
                    answer_peer(&self.state, request, limit_share::handle_request).await
                }
                _ => no_such_page(),
            }
        })
    }
}

impl Pages for AgentPages {
    fn respond(&self, request: Request<Incoming>) -> Responding<'_> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, METRICS_PATH) => metrics_page(&self.0),
                _ => no_such_page(),
            }
        })
    }
}

fn metrics_page(exposition: &Exposition) -> Response<Full<Bytes>> {
    plain(StatusCode::OK, exposition.render().into())
}

fn no_such_page() -> Response<Full<Bytes>> {
    plain(StatusCode::NOT_FOUND, Bytes::from_static(b"no such page\n"))
}

/// Serves one listener for ever.
pub(crate) async fn serve(listener: TcpListener, pages: Rc<dyn Pages>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let pages = Rc::clone(&pages);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let pages = Rc::clone(&pages);
                async move { Ok::<_, Infallible>(pages.respond(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
                .serve_connection(TokioIo::new(stream), service);
            // A balancer or peer that breaks its connection off asks again by itself.
            let _ = connection.await;
        });
    }
}

async fn answer_peer<Q: DeserializeOwned, A: Serialize>(
    state: &EntryState,
    request: Request<Incoming>,
    answer: impl FnOnce(&EntryState, &Q) -> A,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MOST_QUESTION_BYTES).collect().await;
    let question = body.ok().and_then(|body| postcard::from_bytes::<Q>(&body.to_bytes()).ok());
    let Some(question) = question else {
        return plain(StatusCode::BAD_REQUEST, Bytes::from_static(b"unreadable question\n"));
    };
    match postcard::to_stdvec(&answer(state, &question)) {
        Ok(bytes) => plain(StatusCode::OK, bytes.into()),
        Err(error) => {
            let line = crate::DecisionLog::fields("exchange").with("error", error);
            state.log.note(line.with("outcome", "unanswered"));
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
