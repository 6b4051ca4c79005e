//! The state of a process that operators and peers can see.

use crate::clock::SteadyClock;
use crate::link::HelloSource;
use crate::operators::{Status, StatusSource};
use hickorycross_core::{Incarnation, InstanceId};
use hickorycross_protocol::{Hello, PeerRole, SUPPORTED_VERSIONS};
use std::sync::{Mutex, PoisonError};

/// The state shared between the driver, which updates it, and the readers of it: the operators'
/// server (as [`StatusSource`]) and the handshake of links (as [`HelloSource`]).
pub struct ProcessView {
    clock: SteadyClock,
    role: PeerRole,
    status: Mutex<Status>,
}

impl ProcessView {
    /// Creates the state of a process that has just started: without a document and not ready.
    #[must_use]
    pub fn new(
        clock: SteadyClock,
        instance: InstanceId,
        incarnation: Incarnation,
        role: PeerRole,
    ) -> Self {
        let program = match role {
            PeerRole::Entry => "hickorycross-entry",
            PeerRole::Agent { .. } => "hickorycross-agent",
        };
        let status = Status {
            program: program.to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            instance,
            incarnation,
            stamp: hickorycross_config::Stamp::NONE,
            refused: None,
            ready: false,
            draining: false,
            wall_offset_ms: 0,
            detail: serde_json::Value::Null,
        };
        Self { clock, role, status: Mutex::new(status) }
    }

    /// Changes the state while holding its lock.
    pub fn update(&self, change: impl FnOnce(&mut Status)) {
        change(&mut self.status.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl StatusSource for ProcessView {
    fn status(&self) -> Status {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        status.wall_offset_ms = self.clock.wall_offset_ms();
        status
    }
}

impl HelloSource for ProcessView {
    fn hello(&self) -> Hello {
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        Hello {
            versions: SUPPORTED_VERSIONS,
            instance: status.instance.clone(),
            incarnation: status.incarnation,
            role: self.role.clone(),
            stamp: status.stamp,
        }
    }
}
