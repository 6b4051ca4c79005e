//! Signing in to the console and out of it.

use crate::site::{NAME, PASSWORD, Site, operators};
use googletest::prelude::*;
use hickorycross_entry::OperatorCredential;
use hickorycross_runtime::settings::Settings;

/// One attempt and its answer.
struct Attempt {
    name: &'static str,
    password: &'static str,
    status: u16,
}

const ATTEMPTS: [Attempt; 6] = [
    Attempt { name: NAME, password: PASSWORD, status: 303 },
    Attempt { name: NAME, password: "wrong", status: 401 },
    Attempt { name: "nobody", password: PASSWORD, status: 401 },
    Attempt { name: "", password: "", status: 401 },
    Attempt { name: "a password typed as a name", password: "", status: 401 },
    Attempt { name: NAME, password: "wrong again", status: 401 },
];

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn attempts_are_judged_written_down_and_bounded() -> googletest::Result<()> {
    let site = Site::start(None, &operators()).await;
    for attempt in &ATTEMPTS {
        let response = site.try_password(attempt.name, attempt.password).await;
        expect_that!(response.status().as_u16(), eq(attempt.status), "{}", attempt.name);
    }
    // Five wrong ones in a row: the right password has to wait too.
    let response = site.try_password(NAME, PASSWORD).await;
    expect_that!(response.status().as_u16(), eq(429));
    expect_that!(response.headers().contains_key("retry-after"), eq(true));

    let trail = site.page("/console/audit?kind=sign_in").await.html;
    expect_that!(trail.matches("sign in: accepted true").count(), eq(1));
    expect_that!(trail.matches("sign in: accepted false").count(), eq(5));
    expect_that!(trail, contains_substring("operator unknown"));
    expect_that!(trail, not(contains_substring("typed as a name")));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn session_ends_with_sign_out() -> googletest::Result<()> {
    let site = Site::start(None, &operators()).await;
    let mut operator = site.sign_in().await;
    expect_that!(operator.page.html, contains_substring("Sign out asha"));
    operator.send("/console/sign-out", &[]).await;
    operator.open("/console/draft").await;
    expect_that!(operator.page.status.as_u16(), eq(401));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_operators_only_views_work() -> googletest::Result<()> {
    let site = Site::start(None, &[]).await;
    let fleet = site.page("/console").await;
    expect_that!(fleet.status.as_u16(), eq(200));
    expect_that!(fleet.html, contains_substring("no operators in the settings"));
    let response = site.try_password(NAME, PASSWORD).await;
    expect_that!(response.status().as_u16(), eq(401));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pages_and_cookie_are_hardened() -> googletest::Result<()> {
    let site = Site::start(None, &operators()).await;
    let page = site.get("/console").await;
    for (header, value) in [
        ("content-security-policy", "default-src 'none'"),
        ("x-content-type-options", "nosniff"),
        ("x-frame-options", "DENY"),
        ("cache-control", "no-store"),
    ] {
        let found = page.headers().get(header).and_then(|found| found.to_str().ok());
        expect_that!(found, some(starts_with(value)), "{header}");
    }
    let response = site.try_password(NAME, PASSWORD).await;
    let cookie = response.headers()["set-cookie"].to_str().or_fail()?;
    for attribute in ["HttpOnly", "SameSite=Strict", "Path=/console"] {
        expect_that!(cookie, contains_substring(attribute));
    }
    Ok(())
}

/// Credentials in the settings, and how many faults they have.
struct Listed {
    name: &'static str,
    password_hash: &'static str,
    faults: usize,
}

const HASH: &str = "$argon2id$v=19$m=19456,t=2,p=1$c29tZXNhbHRzb21lc2FsdA$\
    MDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDA";

const LISTED: [Listed; 4] = [
    Listed { name: "asha", password_hash: HASH, faults: 0 },
    Listed { name: "Asha", password_hash: HASH, faults: 1 },
    Listed { name: "asha", password_hash: "secret", faults: 1 },
    Listed { name: "", password_hash: "$2b$12$abcdefghijklmnopqrstuu", faults: 2 },
];

#[gtest]
fn settings_name_every_fault_of_credentials() -> googletest::Result<()> {
    for case in &LISTED {
        let (name, password_hash) = (case.name.to_owned(), case.password_hash.to_owned());
        let settings = settings_with(OperatorCredential { name, password_hash });
        let report: Vec<_> = settings.faults().iter().map(ToString::to_string).collect();
        let report = report.join("\n");
        expect_that!(report.matches("at [0]").count(), eq(case.faults), "{report}");
        expect_that!(report, not(contains_substring("secret")));
    }
    Ok(())
}

fn settings_with(operator: OperatorCredential) -> hickorycross_entry::Settings {
    let mut settings: hickorycross_entry::Settings = serde_json::from_value(serde_json::json!({
        "instance": "entry-1",
        "failure_domain": "east",
        "caller_address": "127.0.0.1:7480",
        "operator_address": "127.0.0.1:7401",
        "platform_url": "http://127.0.0.1:1",
        "link_security": "development_unauthenticated"
    }))
    .expect("settings");
    settings.operators.push(operator);
    settings
}
