//! The operators' console: forms that make one validated document, views of the fleet, the trail.
//!
//! Pages are plain HTML without scripts or outside assets. Views are open to whoever reaches the
//! operators' address, as the status page is; forms need a sign-in. A draft lives in its form:
//! the process keeps nothing of it, and publishing is up to the operator and the platform.

mod command;
mod credentials;
mod draft;
mod fields;
mod pages;
mod place;
mod posted;
mod rebase;
mod routes;
mod session;
mod sign_in;
mod throttle;

use crate::console_state::ConsoleState;
use hickorycross_core::audit::{AuditRecord, Change};
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::operators::StatusSource;
use hickorycross_runtime::trail::Trail;
use hickorycross_runtime::view::ProcessView;
use rocket::{Build, Rocket};
use session::{Session, Tokens};
use std::sync::Arc;
use throttle::Throttle;

pub(crate) use command::{command, hash_password};
pub use credentials::OperatorCredential;

/// What the pages read from and who may fill in forms.
pub(crate) struct Console {
    operators: Vec<OperatorCredential>,
    clock: SteadyClock,
    view: Arc<ProcessView>,
    trail: Arc<Trail>,
    observed: Arc<ConsoleState>,
    tokens: Tokens,
    throttle: Throttle,
    /// Hashing a password takes a core and 19 MiB: one at a time.
    hashing: tokio::sync::Semaphore,
}

impl Console {
    pub(crate) fn new(
        operators: &[OperatorCredential],
        clock: SteadyClock,
        view: Arc<ProcessView>,
        trail: Arc<Trail>,
        observed: Arc<ConsoleState>,
    ) -> Self {
        if operators.is_empty() {
            log::info!(target: "console", forms = "off", reason = "no operators in the settings"; "console");
        }
        Self {
            operators: operators.to_vec(),
            clock,
            view,
            trail,
            observed,
            tokens: Tokens::new(),
            throttle: Throttle::default(),
            hashing: tokio::sync::Semaphore::new(1),
        }
    }

    /// Whether anyone may sign in.
    fn is_on(&self) -> bool {
        !self.operators.is_empty()
    }

    fn session(&self, token: &str) -> Option<Session> {
        self.tokens.check(self.clock.now(), token)
    }

    fn is_form_of(&self, session: &Session, form_token: &str) -> bool {
        self.tokens.is_form_of(session, form_token)
    }

    fn audit(&self, change: Change) {
        let stamp = self.view.status().stamp;
        self.trail.write(AuditRecord::new(self.clock.now().unix_ms, stamp, change));
    }
}

/// Mounts the console on the operators' server.
#[must_use]
pub(crate) fn mount(rocket: Rocket<Build>, console: Console) -> Rocket<Build> {
    rocket
        .manage(Arc::new(console))
        .mount("/", routes::routes())
        .register("/console", routes::catchers())
}
