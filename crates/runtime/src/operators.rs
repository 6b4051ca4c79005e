//! What a process shows its operators over HTTP: status, metrics, audit trail, health.

use crate::exposition::Exposition;
use crate::trail::{Trail, TrailEntry};
use hickorycross_config::Stamp;
use hickorycross_core::{Incarnation, InstanceId};
use rocket::http::{ContentType, Status as HttpStatus};
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, routes};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a process at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// `hickorycross-entry` or `hickorycross-agent`.
    pub program: String,
    /// Release.
    pub version: String,
    /// Its instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The document in force.
    pub stamp: Stamp,
    /// A newer document that did not validate.
    pub refused: Option<Stamp>,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it finishes what it has and takes nothing new.
    pub draining: bool,
    /// How far the wall clock is ahead of the clock that deadlines are judged by.
    pub wall_offset_ms: i64,
    /// What is particular to the program.
    pub detail: serde_json::Value,
}

/// Shows a process.
pub trait StatusSource: Send + Sync {
    /// Its state now.
    fn status(&self) -> Status;
}

/// What the operators' server reads from.
pub struct PageSources {
    /// The process.
    pub status_source: Arc<dyn StatusSource>,
    /// Its audit trail.
    pub trail: Arc<Trail>,
    /// Its metrics.
    pub exposition: Exposition,
}

/// Mounts the sources on a server.
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
