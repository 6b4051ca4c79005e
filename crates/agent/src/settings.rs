//! Settings of an agent.

use hickorycross_config::{BackendServerId, FailureDomainId};
use hickorycross_core::InstanceId;
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_runtime::settings::SettingsError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an agent must know before it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its instance in the platform's list.
    pub instance: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// The backend server of the document beside which it stands.
    pub backend_server: BackendServerId,
    /// Where it accepts links.
    pub link_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// A loopback address that is held for the agent's lifetime, so that a second agent on this
    /// instance does not start.
    pub guard_address: SocketAddr,
    /// Base address of the backend server.
    pub backend_url: String,
    /// Path that answers 200 while the backend server is well.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Base address of the platform's services.
    pub platform_url: String,
    /// How links are secured.
    pub link_security: LinkSecurity,
    /// Log levels, in the form of `RUST_LOG`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
}

fn default_health_path() -> String {
    "/health".to_owned()
}

fn default_log_filter() -> String {
    "info".to_owned()
}

impl Settings {
    /// Checks that the values fit together.
    ///
    /// # Errors
    ///
    /// Every fault found.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut faults = Vec::new();
        if !self.guard_address.ip().is_loopback() {
            faults.push(format!(
                "guard_address: found {}, allowed is a loopback address",
                self.guard_address
            ));
        }
        for (field, url) in
            [("backend_url", &self.backend_url), ("platform_url", &self.platform_url)]
        {
            if !url.starts_with("http://") {
                faults.push(format!("{field}: found {url:?}, allowed is http://HOST:PORT"));
            }
        }
        if !self.health_path.starts_with('/') {
            let found = &self.health_path;
            faults.push(format!("health_path: found {found:?}, allowed is a path from /"));
        }
        if faults.is_empty() { Ok(()) } else { Err(SettingsError::Faults { faults }) }
    }
}
