//! What a process shows its operators over HTTP: status, metrics, audit trail, health.

use crate::exposition::Exposition;
use crate::trail::{Entry, Trail};
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
pub trait Inspect: Send + Sync {
    /// Its state now.
    fn status(&self) -> Status;
}

/// What the operators' server reads from.
pub struct Views {
    /// The process.
    pub inspect: Arc<dyn Inspect>,
    /// Its audit trail.
    pub trail: Arc<Trail>,
    /// Its metrics.
    pub exposition: Exposition,
}

/// Mounts the views on a server.
#[must_use]
pub fn mount(rocket: Rocket<Build>, views: Views) -> Rocket<Build> {
    rocket.manage(views).mount("/", routes![status, metrics, audit, live, ready])
}

#[get("/status")]
fn status(views: &State<Views>) -> Json<Status> {
    Json(views.inspect.status())
}

#[get("/metrics")]
fn metrics(views: &State<Views>) -> (ContentType, String) {
    (ContentType::Plain, views.exposition.render())
}

#[get("/audit?<since>")]
fn audit(views: &State<Views>, since: Option<u64>) -> Json<Vec<Entry>> {
    Json(views.trail.since(since.unwrap_or(0)))
}

#[get("/health/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/health/ready")]
fn ready(views: &State<Views>) -> (HttpStatus, &'static str) {
    let status = views.inspect.status();
    if status.ready && !status.draining {
        (HttpStatus::Ok, "ready\n")
    } else {
        (HttpStatus::ServiceUnavailable, "not ready\n")
    }
}
