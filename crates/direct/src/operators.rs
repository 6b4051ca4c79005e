//! The addresses for the balancer, for operators and for other processes of the fleet.

use crate::clock::boot_now;
use crate::exchange::{self, EXCHANGE_PATH, Question};
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_runtime::exposition::Exposition;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of the metrics, as Prometheus asks for it.
const METRICS_PATH: &str = "/metrics";
/// Longest question of a peer.
const MOST_QUESTION_BYTES: usize = 4096;
/// Time for a request's head, and for which a connection may stay idle.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// Serves one listener for ever.
pub(crate) async fn serve(state: Rc<EntryState>, listener: TcpListener, exposition: Exposition) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let state = Rc::clone(&state);
        let exposition = exposition.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let state = Rc::clone(&state);
                let exposition = exposition.clone();
                async move { Ok::<_, Infallible>(respond(&state, &exposition, request).await) }
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

async fn respond(
    state: &EntryState,
    exposition: &Exposition,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == state.names.ready_path {
        let status = if state.is_ready(boot_now()) { 200 } else { 503 };
        return plain(StatusCode::from_u16(status).unwrap_or_default(), Bytes::new());
    }
    match (request.method(), path) {
        (&Method::GET, METRICS_PATH) => plain(StatusCode::OK, exposition.render().into()),
        (&Method::POST, EXCHANGE_PATH) => answer_peer(state, request).await,
        _ => plain(StatusCode::NOT_FOUND, Bytes::from_static(b"no such page\n")),
    }
}

async fn answer_peer(state: &EntryState, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MOST_QUESTION_BYTES).collect().await;
    let question =
        body.ok().and_then(|body| postcard::from_bytes::<Question>(&body.to_bytes()).ok());
    let Some(question) = question else {
        return plain(StatusCode::BAD_REQUEST, Bytes::from_static(b"unreadable question\n"));
    };
    match postcard::to_stdvec(&exchange::answer(state, &question)) {
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
