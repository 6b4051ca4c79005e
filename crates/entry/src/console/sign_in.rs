//! Signing in and out.

use super::Console;
use super::credentials::{self, MAX_PASSWORD_BYTES};
use super::session::{SESSION_MS, Session};
use hickorycross_core::UnixMs;
use hickorycross_core::audit::Change;
use std::net::IpAddr;
use std::sync::Arc;

/// Stands in the trail for a name that no operator has: people type passwords into name fields.
const UNKNOWN_OPERATOR: &str = "unknown";
/// How long a browser keeps the cookie; the deadline within it is what counts.
pub(super) const COOKIE_S: u64 = SESSION_MS / 1000;

/// Why nobody was signed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejected {
    /// Name and password do not belong together.
    Wrong,
    /// Too many attempts; none is judged before this moment.
    TooMany(UnixMs),
}

/// Judges an attempt and gives the cookie's value.
pub(super) async fn sign_in(
    console: &Arc<Console>,
    address: IpAddr,
    name: &str,
    password: &str,
) -> Result<String, Rejected> {
    let now = console.clock.now();
    if let Err(not_before) = console.throttle.admit(now, address) {
        log::warn!(target: "console", address = address.to_string().as_str(); "sign-in throttled");
        return Err(Rejected::TooMany(not_before));
    }
    let accepted = verify(console, name, password).await;
    let known = console.operators.iter().any(|one| one.name == name);
    let operator = if known { name } else { UNKNOWN_OPERATOR }.to_owned();
    console.audit(Change::SignIn { operator, accepted });
    if !accepted {
        return Err(Rejected::Wrong);
    }
    console.throttle.clear(address);
    Ok(console.tokens.issue(console.clock.now(), name))
}

/// Ends a session.
pub(super) fn sign_out(console: &Console, session: &Session) {
    console.tokens.end(console.clock.now(), session);
}

async fn verify(console: &Arc<Console>, name: &str, password: &str) -> bool {
    if password.len() > MAX_PASSWORD_BYTES {
        return false;
    }
    let Ok(_permit) = console.hashing.acquire().await else { return false };
    let (console, name, password) = (Arc::clone(console), name.to_owned(), password.to_owned());
    let judged = tokio::task::spawn_blocking(move || {
        credentials::find(&console.operators, &name, &password)
    });
    judged.await.unwrap_or(false)
}
