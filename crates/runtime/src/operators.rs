//! The operators' HTTP endpoints of a process: status, metrics, audit trail and health checks.

use crate::exposition::Exposition;
use crate::trail::{Trail, TrailEntry};
use hickorycross_config::Stamp;
use hickorycross_core::{Incarnation, InstanceId};
use rocket::http::{ContentType, Status as HttpStatus};
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, routes};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a process at one moment, as `/status` returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// `hickorycross-entry` or `hickorycross-agent`.
    pub program: String,
    /// Version of the program.
    pub version: String,
    /// The instance of the process.
    pub instance: InstanceId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Stamp of the document in force.
    pub stamp: Stamp,
    /// Stamp of the latest newer document that did not validate.
    pub refused: Option<Stamp>,
    /// Whether the process is ready to take requests.
    pub ready: bool,
    /// Whether the process finishes its requests and takes no new ones.
    pub draining: bool,
    /// Milliseconds by which the wall clock is ahead of the clock used for deadlines.
    pub wall_offset_ms: i64,
    /// Further state whose content depends on the program.
    pub detail: serde_json::Value,
}

/// Provides the state of a process.
pub trait StatusSource: Send + Sync {
    /// Returns the state at this moment.
    fn status(&self) -> Status;
}

/// The sources of the operators' pages.
pub struct PageSources {
    /// The state of the process.
    pub status_source: Arc<dyn StatusSource>,
    /// The audit trail of the process.
    pub trail: Arc<Trail>,
    /// The metrics of the process.
    pub exposition: Exposition,
}

/// Mounts the operators' endpoints on a server.
#[must_use]
pub fn mount(rocket: Rocket<Build>, sources: PageSources) -> Rocket<Build> {
    rocket.manage(sources).mount("/", routes![status, metrics, audit, live, ready])
}

#[get("/status")]
fn status(sources: &State<PageSources>) -> Json<Status> {
    Json(sources.status_source.status())
}

#[get("/metrics")]
fn metrics(sources: &State<PageSources>) -> (ContentType, String) {
    (ContentType::Plain, sources.exposition.render())
}

#[get("/audit?<since>")]
fn audit(sources: &State<PageSources>, since: Option<u64>) -> Json<Vec<TrailEntry>> {
    Json(sources.trail.since(since.unwrap_or(0)))
}

#[get("/health/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/health/ready")]
fn ready(sources: &State<PageSources>) -> (HttpStatus, &'static str) {
    let status = sources.status_source.status();
    if status.ready && !status.draining {
        (HttpStatus::Ok, "ready\n")
    } else {
        (HttpStatus::ServiceUnavailable, "not ready\n")
    }
}
