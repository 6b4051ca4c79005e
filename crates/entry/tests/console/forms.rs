//! The console's forms over HTTP, from nothing to a document in force.

use crate::site::{Site, operators};
use googletest::prelude::*;
use hickorycross_config::{Digest, Document, Stamp, hash_api_key, parse};
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../../examples/saraswati.json");

/// A page that is filled in.
struct Filled {
    here: &'static str,
    fields: &'static [(&'static str, &'static str)],
}

/// A small site, page by page. Each page of a list is reached by adding an entry to it.
const WALK: [Filled; 8] = [
    Filled { here: "document", fields: &[("title", "One classroom")] },
    Filled { here: "failure_domains/0", fields: &[("id", "east"), ("region", "gujarat")] },
    Filled {
        here: "tiers/0",
        fields: &[
            ("id", "class"),
            ("rank", "0"),
            ("first_chunk_target_ms", "600"),
            ("floor_permille", "100"),
        ],
    },
    Filled {
        here: "teams/0",
        fields: &[
            ("id", "school"),
            ("tier", "class"),
            ("limit.requests_per_s", "20"),
            ("limit.burst_requests", "40"),
        ],
    },
    Filled {
        here: "backend_servers/0",
        fields: &[
            ("id", "engine-1"),
            ("failure_domain", "east"),
            ("kind", "engine"),
            ("slots", "8"),
            ("queue_slots", "16"),
            ("checks_fencing", "yes"),
        ],
    },
    Filled {
        here: "model_groups/0",
        fields: &[
            ("id", "lines"),
            ("models", "gujarati-line\r\ngujarati-word\r\n"),
            ("weights_version", "v1"),
            ("backend_servers", "engine-1"),
            ("ranks_per_server", "4"),
            ("layers", "2"),
            ("experts_per_layer", "8"),
            ("expert_bytes", "1000000"),
            ("expert_slots_per_rank", "3"),
        ],
    },
    Filled {
        here: "routes/0",
        fields: &[
            ("id", "correct"),
            ("target", "model"),
            ("target.model.groups", "lines"),
            ("idempotent", "yes"),
            ("default_deadline_ms", "5000"),
            ("max_deadline_ms", "20000"),
            ("key_horizon_ms", "60000"),
            ("retry_budget_permille", "50"),
        ],
    },
    Filled {
        here: "balance",
        fields: &[
            ("skew_weight", "3"),
            ("rebalance_cost_weight", "1.5"),
            ("weight_store_bytes_per_s", "1000000000"),
        ],
    },
];

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn forms_lead_from_nothing_to_a_document_in_force() -> googletest::Result<()> {
    let site = Site::start(None, &operators()).await;
    let mut operator = site.sign_in().await;
    operator.send("/console/begin", &[("from", "empty")]).await;
    let mut key = String::new();
    for page in WALK {
        if let Some((list, _)) = page.here.split_once('/') {
            operator.press(&format!("add {list}"), "document", &[]).await;
        }
        let save = format!("to {}", page.here);
        // The target's fields show, and are taken, once the target has been chosen.
        operator.press(&save, page.here, page.fields).await;
        operator.press(&save, page.here, page.fields).await;
        if page.here == "teams/0" {
            operator.press("make-key teams/0", page.here, page.fields).await;
            key = operator.page.html.split("<code class=\"key\">").nth(1).or_fail()?.into();
            key.truncate(key.find('<').or_fail()?);
            operator.press("to teams/0", "document", &[]).await;
            expect_that!(operator.page.html, not(contains_substring(&*key)));
        }
    }
    operator.press("review", "document", &[]).await;
    expect_that!(operator.page.html, contains_substring("team school: added"));
    operator.press("hand-out", "", &[]).await;
    expect_that!(operator.page.status.as_u16(), eq(200));

    let file = operator.press_raw("/console/document", "", "", &[]).await.text().await.or_fail()?;
    let document = parse(file.as_bytes()).map_err(|faults| format!("{faults:?}")).or_fail()?;
    expect_that!(document.team_by_key(&hash_api_key(&key)), some(anything()));
    expect_that!(document.balance.rebalance_cost_weight, eq(1.5));
    expect_that!(document.model_groups[0].models.len(), eq(2));
    let digest = Digest::of(file.as_bytes());
    expect_that!(operator.page.html, contains_substring(digest.to_string()));

    let rollout = format!("/console/rollout?digest={digest}");
    expect_that!(site.page(&rollout).await.html, contains_substring("Not in force here."));
    site.platform.publish(&file).or_fail()?;
    site.wait_for_revision(1).await;
    expect_that!(site.page(&rollout).await.html, contains_substring("In force here"));
    let trail = site.page("/console/audit?kind=draft_handed_out").await.html;
    expect_that!(trail, contains_substring("operator asha"));
    expect_that!(trail, contains_substring(digest.to_string()));
    Ok(())
}

/// A value that is not allowed, and what stands beside its field.
struct Faulty {
    here: &'static str,
    field: &'static str,
    value: &'static str,
    beside: &'static str,
}

const FAULTY: [Faulty; 14] = [
    Faulty { here: "document", field: "title", value: "", beside: "1 to 200 characters" },
    Faulty { here: "failure_domains/0", field: "id", value: "East Side", beside: "beginning with" },
    Faulty { here: "failure_domains/1", field: "id", value: "navrangpura", beside: "Found" },
    Faulty { here: "tiers/0", field: "rank", value: "256", beside: "0 to 255" },
    Faulty { here: "tiers/1", field: "rank", value: "0", beside: "Found 0" },
    Faulty { here: "tiers/1", field: "floor_permille", value: "1000", beside: "0 to 999" },
    Faulty { here: "teams/2", field: "tier", value: "gold", beside: "an id of tiers" },
    Faulty { here: "teams/0", field: "limit.requests_per_s", value: "many", beside: "\"many\"" },
    Faulty { here: "teams/0", field: "limit.burst_requests", value: "", beside: "Found nothing" },
    Faulty { here: "teams/0", field: "key_hashes", value: "my-key", beside: "64 hexadecimal" },
    Faulty { here: "backend_servers/0", field: "slots", value: "-4", beside: "1 to 65536" },
    Faulty { here: "backend_servers/0", field: "failure_domain", value: "moon", beside: "moon" },
    Faulty { here: "routes/0", field: "max_deadline_ms", value: "1", beside: "10 to 3600000" },
    Faulty { here: "balance", field: "skew_weight", value: "101", beside: "0 to 100" },
];

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn faults_stand_beside_their_fields_and_all_together() -> googletest::Result<()> {
    let site = Site::start(Some(EXAMPLE), &operators()).await;
    let mut operator = site.sign_in().await;
    for case in &FAULTY {
        operator.open("/console/draft").await;
        operator.send("/console/begin", &[("from", "in-force")]).await;
        let go = format!("to {}", case.here);
        operator.press(&go, case.here, &[(case.field, case.value)]).await;
        let beside = operator.page.field(case.field);
        expect_that!(beside, contains_substring(case.beside), "{} {}", case.here, case.value);
        operator.press("hand-out", "", &[]).await;
        expect_that!(operator.page.status.as_u16(), eq(422), "{} {}", case.here, case.value);
    }
    operator.open("/console/draft").await;
    operator.send("/console/begin", &[("from", "in-force")]).await;
    for case in FAULTY.iter().filter(|case| !case.here.ends_with('1')) {
        operator.press("review", case.here, &[(case.field, case.value)]).await;
    }
    for path in ["title", "failure_domains[0].id", "teams[0].limit.requests_per_s", "balance"] {
        expect_that!(operator.page.html, contains_substring(format!("<code>{path}")));
    }
    Ok(())
}

fn with(change: impl FnOnce(&mut Value)) -> String {
    let mut document: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    change(&mut document);
    document.to_string()
}

/// Symptom: a limit that one operator raised is back at its old value after another operator
/// published something unrelated.
///
/// Events: the draft begins from revision 1; revision 2 raises a limit; the draft is handed out
/// and published.
///
/// Cause: a draft holds the whole document, with everything that it did not change as it was.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn draft_on_an_old_revision_shows_the_conflict() -> googletest::Result<()> {
    let site = Site::start(Some(EXAMPLE), &operators()).await;
    let mut operator = site.sign_in().await;
    operator.send("/console/begin", &[("from", "in-force")]).await;
    operator.press("review", "document", &[("title", "Renamed")]).await;
    expect_that!(operator.page.html, contains_substring("Changes: 1"));

    let newer = with(|document| {
        document["teams"][3]["limit"]["requests_per_s"] = json!(80);
        document["title"] = json!("Renamed elsewhere");
    });
    site.platform.publish(&newer).or_fail()?;
    site.wait_for_revision(2).await;
    operator.press("hand-out", "", &[]).await;
    expect_that!(operator.page.status.as_u16(), eq(409));
    expect_that!(operator.page.html, contains_substring("requests_per_s 40 -&gt; 80"));
    expect_that!(operator.page.html, contains_substring("changed on both sides"));

    operator.press("rebase", "", &[]).await;
    expect_that!(operator.page.html, contains_substring("Changes: 1"));
    operator.press("hand-out", "", &[]).await;
    expect_that!(operator.page.status.as_u16(), eq(200));
    expect_that!(operator.page.hidden("base_revision"), eq("2"));
    let merged: Document = serde_json::from_str(&operator.page.draft()).or_fail()?;
    expect_that!(merged.title, eq("Renamed"));
    expect_that!(merged.teams[3].limit.requests_per_s, eq(80));
    Ok(())
}

/// What a form must look like to be taken.
struct Sent {
    name: &'static str,
    cookie: bool,
    token: bool,
    origin: Option<&'static str>,
    status: u16,
}

const SENT: [Sent; 4] = [
    Sent { name: "a page of another site", cookie: true, token: false, origin: None, status: 403 },
    Sent {
        name: "another site that knows a token",
        cookie: true,
        token: true,
        origin: Some("http://elsewhere.example"),
        status: 403,
    },
    Sent { name: "nobody", cookie: false, token: true, origin: None, status: 401 },
    Sent { name: "the operator", cookie: true, token: true, origin: None, status: 200 },
];

/// Symptom: a draft is handed out that no operator made.
///
/// Events: an operator is signed in and opens a page of another site, which posts a form to the
/// console by script.
///
/// Cause: the browser adds the cookie to whatever it sends to the console.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn forged_forms_are_refused() -> googletest::Result<()> {
    let site = Site::start(Some(EXAMPLE), &operators()).await;
    let operator = site.sign_in().await;
    let token = operator.page.hidden("form_token");
    for sent in &SENT {
        let mut headers = Vec::new();
        if sent.cookie {
            headers.push(("cookie", &*operator.cookie));
        }
        headers.extend(sent.origin.map(|origin| ("origin", origin)));
        let mut fields = vec![("from", "in-force")];
        if sent.token {
            fields.push(("form_token", &*token));
        }
        let response = site.post("/console/begin", &headers, &fields).await;
        expect_that!(response.status().as_u16(), eq(sent.status), "{}", sent.name);
    }
    let response = site.get("/console/draft").await;
    expect_that!(response.status().as_u16(), eq(401));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn document_in_force_is_the_one_that_was_published() -> googletest::Result<()> {
    let site = Site::start(Some(EXAMPLE), &operators()).await;
    let stamp = Stamp { revision: 1, digest: Digest::of(EXAMPLE.as_bytes()) };
    let fleet = site.page("/console").await.html;
    expect_that!(fleet, contains_substring(stamp.digest.to_string()));
    expect_that!(fleet, contains_substring("No reports."));
    Ok(())
}
