//! Reads from the operators' HTTP endpoints of a running process.

use super::Failure;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a JSON value from an endpoint, blocking until it has arrived.
pub(super) fn get<T: DeserializeOwned>(base_url: &str, path: &str) -> Result<T, Failure> {
    let url = format!("{}{path}", base_url.trim_end_matches('/'));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|error| {
            Failure::Failed(miette::miette!("cannot start the async runtime: {error}"))
        })?;
    runtime.block_on(read(&url)).map_err(|error| {
        Failure::Failed(miette::miette!(
            help = "name the operators' address of a running process, such as http://10.0.0.7:7401",
            "cannot read {url}: {}",
            with_causes(&error)
        ))
    })
}

async fn read<T: DeserializeOwned>(url: &str) -> Result<T, reqwest::Error> {
    let client = reqwest::Client::builder().no_proxy().timeout(READ_TIMEOUT).build()?;
    client.get(url).send().await?.error_for_status()?.json().await
}

fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
