//! Settings of an entry.

use crate::console::OperatorCredential;
use hickorycross_config::FailureDomainId;
use hickorycross_core::InstanceId;
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_runtime::settings::SettingsError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest body that a caller may send, unless the settings say otherwise.
const DEFAULT_BODY_LIMIT_BYTES: u64 = 8 * 1024 * 1024;
/// Requests that may be open at once, unless the settings say otherwise.
const DEFAULT_OPEN_REQUESTS: u32 = 8192;
/// Largest body limit: a body must fit into one frame of a link.
const LARGEST_BODY_LIMIT_BYTES: u64 = 24 * 1024 * 1024;

/// What an entry must know before it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its instance in the platform's list.
    pub instance: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Base address of the platform's services.
    pub platform_url: String,
    /// How links are secured.
    pub link_security: LinkSecurity,
    /// Longest body that a caller may send.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Requests that may be open at once.
    #[serde(default = "default_open_requests")]
    pub open_requests: u32,
    /// Who may sign in to the console; without any, its forms are off.
    #[serde(default)]
    pub operators: Vec<OperatorCredential>,
    /// Log levels, in the form of `RUST_LOG`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
}

fn default_body_limit_bytes() -> u64 {
    DEFAULT_BODY_LIMIT_BYTES
}

fn default_open_requests() -> u32 {
    DEFAULT_OPEN_REQUESTS
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
        if !self.platform_url.starts_with("http://") {
            let found = &self.platform_url;
            faults.push(format!("platform_url: found {found:?}, allowed is http://HOST:PORT"));
        }
        if !(1..=LARGEST_BODY_LIMIT_BYTES).contains(&self.body_limit_bytes) {
            let found = self.body_limit_bytes;
            faults.push(format!(
                "body_limit_bytes: found {found}, allowed is 1 to {LARGEST_BODY_LIMIT_BYTES}"
            ));
        }
        if self.open_requests == 0 {
            faults.push("open_requests: found 0, allowed is 1 or more".to_owned());
        }
        faults.extend(OperatorCredential::faults(&self.operators));
        if faults.is_empty() { Ok(()) } else { Err(SettingsError::Faults { faults }) }
    }
}
