//! The settings file of an entry: its fields, defaults and checks.

use crate::console::OperatorCredential;
use hickorycross_config::FailureDomainId;
use hickorycross_core::InstanceId;
use hickorycross_runtime::logs;
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_runtime::settings::{self, Fault, Field, Kind};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Default of [`Settings::body_limit_bytes`].
const DEFAULT_BODY_LIMIT_BYTES: u64 = 8 * 1024 * 1024;
/// Default of [`Settings::open_requests`].
const DEFAULT_OPEN_REQUESTS: u32 = 8192;
/// Maximum of [`Settings::body_limit_bytes`]: a body must fit into one frame of a link.
const LARGEST_BODY_LIMIT_BYTES: u64 = 24 * 1024 * 1024;
/// Default of [`Settings::body_timeout_ms`].
const DEFAULT_BODY_TIMEOUT_MS: u64 = 20_000;
/// Maximum of [`Settings::body_timeout_ms`].
const LARGEST_BODY_TIMEOUT_MS: u64 = 600_000;
/// Default of [`Settings::balancer_notice_ms`].
const DEFAULT_BALANCER_NOTICE_MS: u64 = 3_000;
/// Maximum of [`Settings::balancer_notice_ms`].
const LARGEST_BALANCER_NOTICE_MS: u64 = 60_000;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the entry's instance in the platform's list.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainId,
    /// Address on which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Certificate and key for callers' connections; plain HTTP is used without them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_tls: Option<CallerTls>,
    /// Address of the status pages, metrics and console.
    pub operator_address: SocketAddr,
    /// Base URL of the platform's services.
    pub platform_url: String,
    /// How links are secured.
    pub link_security: LinkSecurity,
    /// Largest request body that is accepted.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Time within which a caller has to send its whole body.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Maximum number of open requests; further ones are refused.
    #[serde(default = "default_open_requests")]
    pub open_requests: u32,
    /// Operators who may sign in to the console. If empty, its forms are disabled.
    #[serde(default)]
    pub operators: Vec<OperatorCredential>,
    /// Time from the moment the readiness check fails, when a stop is requested, until new requests
    /// are refused.
    #[serde(default = "default_balancer_notice_ms")]
    pub balancer_notice_ms: u64,
    /// Log levels, in the syntax of `RUST_LOG`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
}

/// Certificate and key for callers' connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// Certificate chain, in PEM.
    pub certificate_file: PathBuf,
    /// Private key, in PEM.
    pub key_file: PathBuf,
}

fn default_body_limit_bytes() -> u64 {
    DEFAULT_BODY_LIMIT_BYTES
}

fn default_body_timeout_ms() -> u64 {
    DEFAULT_BODY_TIMEOUT_MS
}

fn default_open_requests() -> u32 {
    DEFAULT_OPEN_REQUESTS
}

fn default_balancer_notice_ms() -> u64 {
    DEFAULT_BALANCER_NOTICE_MS
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
        Field::required::<SocketAddr>(
            "caller_address",
            Kind::Text,
            "Where callers reach this entry",
            "IP:PORT",
        ),
        Field::optional::<CallerTls>(
            "caller_tls",
            Kind::Structure,
            "Keys towards callers",
            "{certificate_file, key_file}",
        ),
        Field::required::<SocketAddr>(
            "operator_address",
            Kind::Text,
            "Where operators reach this process",
            "IP:PORT",
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
        Field::optional::<u64>(
            "body_limit_bytes",
            Kind::Number,
            "Longest body that a caller may send, in bytes",
            "1 to 25165824",
        ),
        Field::optional::<u64>(
            "body_timeout_ms",
            Kind::Number,
            "Time that a caller has for sending its body, in milliseconds",
            "1 to 600000",
        ),
        Field::optional::<u32>(
            "open_requests",
            Kind::Number,
            "Requests that may be open at once",
            "1 or more",
        ),
        Field::optional::<u64>(
            "balancer_notice_ms",
            Kind::Number,
            "Time from the failing of the readiness check until nothing new is taken, in \
             milliseconds",
            "0 to 60000",
        ),
        Field::optional::<Vec<OperatorCredential>>(
            "operators",
            Kind::Structure,
            "Who may sign in to the console; without any, its forms are off",
            "a list of {name, password_hash}",
        ),
        Field::optional::<String>(
            "log_filter",
            Kind::Text,
            "Log levels, in the form of RUST_LOG",
            "a level, or TARGET=LEVEL pairs with commas between them",
        ),
    ];

    fn faults(&self) -> Vec<Fault> {
        let checks = [
            (
                "platform_url",
                format!("{:?}", self.platform_url),
                self.platform_url.starts_with("http://"),
            ),
            (
                "body_limit_bytes",
                self.body_limit_bytes.to_string(),
                (1..=LARGEST_BODY_LIMIT_BYTES).contains(&self.body_limit_bytes),
            ),
            (
                "body_timeout_ms",
                self.body_timeout_ms.to_string(),
                (1..=LARGEST_BODY_TIMEOUT_MS).contains(&self.body_timeout_ms),
            ),
            ("open_requests", self.open_requests.to_string(), self.open_requests > 0),
            (
                "balancer_notice_ms",
                self.balancer_notice_ms.to_string(),
                self.balancer_notice_ms <= LARGEST_BALANCER_NOTICE_MS,
            ),
            ("log_filter", format!("{:?}", self.log_filter), logs::is_filter(&self.log_filter)),
        ];
        let mut faults = settings::faults_of_checks::<Self, _>(checks);
        faults.extend(OperatorCredential::faults(&self.operators));
        faults
    }
}
