//! Settings of an agent, read from a file, the environment and flags.

use hickorycross_config::{BackendServerId, FailureDomainId};
use hickorycross_core::InstanceId;
use hickorycross_runtime::logs;
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_runtime::settings::{self, Fault, Field, Kind};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The agent's instance in the platform's list.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainId,
    /// The backend server beside which the agent runs, as named in the configuration document.
    pub backend_server: BackendServerId,
    /// Address on which the agent accepts links.
    pub link_address: SocketAddr,
    /// Address of the HTTP server for operators.
    pub operator_address: SocketAddr,
    /// A loopback address that the agent keeps bound while it runs, so that a second agent cannot
    /// start on this instance.
    pub guard_address: SocketAddr,
    /// Base URL of the backend server.
    pub backend_url: String,
    /// Path of the health check, which answers 200 while the backend server is healthy.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Base URL of the platform's services.
    pub platform_url: String,
    /// Security of links: mutual TLS, or none for development.
    pub link_security: LinkSecurity,
    /// Log filter, in the format of `RUST_LOG`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
}

fn default_health_path() -> String {
    "/health".to_owned()
}

fn default_log_filter() -> String {
    "info".to_owned()
}

impl settings::Settings for Settings {
    const FIELDS: &'static [Field] = &[
        Field::required::<InstanceId>(
            "instance",
            Kind::Text,
            "Instance in the platform's list",
            "a text",
        ),
        Field::required::<FailureDomainId>(
            "failure_domain",
            Kind::Text,
            "Failure domain of the instance",
            "the id of a failure domain of the document",
        ),
        Field::required::<BackendServerId>(
            "backend_server",
            Kind::Text,
            "Backend server beside which this agent stands",
            "the id of a backend server of the document",
        ),
        Field::required::<SocketAddr>(
            "link_address",
            Kind::Text,
            "Where this agent accepts links",
            "IP:PORT",
        ),
        Field::required::<SocketAddr>(
            "operator_address",
            Kind::Text,
            "Where operators reach this process",
            "IP:PORT",
        ),
        Field::required::<SocketAddr>(
            "guard_address",
            Kind::Text,
            "Held for the agent's lifetime, so that no second one starts",
            "a loopback address, 127.x.y.z:PORT",
        ),
        Field::required::<String>(
            "backend_url",
            Kind::Text,
            "Base address of the backend server",
            "http://HOST:PORT",
        ),
        Field::optional::<String>(
            "health_path",
            Kind::Text,
            "Path that answers 200 while the backend server is well",
            "a path from /",
        ),
        Field::required::<String>(
            "platform_url",
            Kind::Text,
            "Base address of the platform's services",
            "http://HOST:PORT",
        ),
        Field::required::<LinkSecurity>(
            "link_security",
            Kind::Structure,
            "How links are secured",
            "{mutual_tls: {authority_file, certificate_file, key_file}} or \
             development_unauthenticated",
        ),
        Field::optional::<String>(
            "log_filter",
            Kind::Text,
            "Log levels, in the form of RUST_LOG",
            "a level, or TARGET=LEVEL pairs with commas between them",
        ),
    ];

    fn faults(&self) -> Vec<Fault> {
        let quoted = |text: &str| format!("{text:?}");
        let checks = [
            (
                "guard_address",
                self.guard_address.to_string(),
                self.guard_address.ip().is_loopback(),
            ),
            ("backend_url", quoted(&self.backend_url), self.backend_url.starts_with("http://")),
            ("health_path", quoted(&self.health_path), self.health_path.starts_with('/')),
            ("platform_url", quoted(&self.platform_url), self.platform_url.starts_with("http://")),
            ("log_filter", quoted(&self.log_filter), logs::is_filter(&self.log_filter)),
        ];
        settings::faults_of_checks::<Self, _>(checks)
    }
}
