//! Forwards an accepted caller request to backend servers until it has a final answer.
//!
//! - `active_request` chooses a backend server for each attempt and sends the request there.
//! - `retry` decides whether a request is sent again, and with which refusal it ends otherwise.
//! - `answer` reads a complete answer and forwards it.
//! - `admission` delays or refuses a request while its group is unavailable or has no capacity.
//! - `announcement` reads what a backend server announces about itself in its answers.
//! - `backoff` keeps requests from backend servers that all asked for a backoff.
//! - `room` decides whether there is room for the request at the backend servers of its pool.
//! - `attempt` sends the request once and classifies the head of the response.
//! - `head_fields` tells which fields of a response are forwarded, and whether it answers the request.
//! - `response_wait` waits for a response and tells a lost connection from a stalled group.
//! - `stream` forwards events and resumes a broken stream at another backend server.
//! - `event_buffer` reads a stream ahead of its caller within a bounded buffer.
//! - `migration` moves a stream away from a rank that slows its group.
//! - `residency` keeps the request inside its allowed regions.
//! - `crash` detects backend servers that end while they have the request.
//! - `suspect_parts` refuses prompts with a part that crashes backend servers.
//! - `limit` applies the request rates that backend servers announce.
//! - `pool_choice` chooses the pool of backend servers for a request.
//! - `warm_up` limits the requests that are sent to cold backend servers.
//! - `pool` is the connection pool; it is unrelated to the pools of backend servers.
//! - `work` weighs the expected work of the request.
//! - `telemetry` writes log lines and metrics about the request.

mod active_request;
mod admission;
mod announcement;
mod answer;
mod attempt;
mod backoff;
mod crash;
mod event_buffer;
mod head_fields;
mod limit;
mod migration;
mod pool;
mod pool_choice;
mod residency;
mod response_wait;
mod retry;
mod room;
mod stream;
mod suspect_parts;
mod telemetry;
mod warm_up;
mod work;

pub(crate) use active_request::forward;
pub(crate) use crash::SuspectedCrashes;
pub(crate) use pool::Pool;
pub(crate) use residency::log_refused_lists;
