//! An entry with a console around a platform stand-in, and an operator who fills in its forms.

use hickorycross_config::FailureDomainId;
use hickorycross_core::InstanceId;
use hickorycross_entry::{Entry, OperatorCredential, Settings};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_standins::PlatformStandIn;
use reqwest::{Client, Response, StatusCode, redirect::Policy};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub(crate) const NAME: &str = "asha";
pub(crate) const PASSWORD: &str = "correct horse battery staple";
const TRIES: u32 = 600;
const PAUSE: Duration = Duration::from_millis(50);

static NEXT: AtomicU8 = AtomicU8::new(1);

/// An entry and the platform that it reads.
pub(crate) struct Site {
    pub(crate) platform: PlatformStandIn,
    pub(crate) base_url: String,
    client: Client,
    _entry: Entry,
}

/// A page as it came back.
pub(crate) struct Page {
    pub(crate) status: StatusCode,
    pub(crate) html: String,
}

/// One sign-in, with the fields that its forms carry.
pub(crate) struct Operator<'a> {
    site: &'a Site,
    pub(crate) cookie: String,
    pub(crate) page: Page,
}

impl Site {
    /// Starts an entry; with `operators`, its forms are on.
    pub(crate) async fn start(document: Option<&str>, operators: &[OperatorCredential]) -> Self {
        let platform = PlatformStandIn::start().await.expect("a platform");
        if let Some(document) = document {
            platform.publish(document).expect("a published document");
        }
        let address = own_address();
        let settings = Settings {
            instance: InstanceId::new("entry-1"),
            failure_domain: FailureDomainId::new("navrangpura"),
            caller_address: SocketAddr::new(address.into(), 7480),
            operator_address: SocketAddr::new(address.into(), 7401),
            platform_url: format!("http://{}", platform.address()),
            link_security: LinkSecurity::DevelopmentUnauthenticated,
            caller_tls: None,
            body_limit_bytes: 1024 * 1024,
            body_timeout_ms: 20_000,
            balancer_notice_ms: 0,
            open_requests: 64,
            operators: operators.to_vec(),
            log_filter: "off".to_owned(),
        };
        let entry = Entry::start(&settings, Exposition::detached()).await.expect("an entry");
        let client =
            Client::builder().no_proxy().redirect(Policy::none()).build().expect("a client");
        let base_url = format!("http://{}", settings.operator_address);
        let site = Self { platform, base_url, client, _entry: entry };
        if document.is_some() {
            site.wait_for_revision(1).await;
        }
        site
    }

    /// Waits until the entry has adopted a revision.
    pub(crate) async fn wait_for_revision(&self, revision: u64) {
        for _ in 0..TRIES {
            let status: serde_json::Value = self.get("/status").await.json().await.expect("JSON");
            if status["stamp"]["revision"] == revision {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("revision {revision} was not adopted");
    }

    pub(crate) async fn get(&self, path: &str) -> Response {
        self.client.get(format!("{}{path}", self.base_url)).send().await.expect("an answer")
    }

    pub(crate) async fn page(&self, path: &str) -> Page {
        Page::of(self.get(path).await).await
    }

    /// Posts a form as it stands.
    pub(crate) async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        fields: &[(&str, &str)],
    ) -> Response {
        let body = form_urlencoded::Serializer::new(String::new()).extend_pairs(fields).finish();
        let mut request = self.client.post(format!("{}{path}", self.base_url)).body(body);
        request = request.header("content-type", "application/x-www-form-urlencoded");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send().await.expect("an answer")
    }

    /// Tries a password.
    pub(crate) async fn try_password(&self, name: &str, password: &str) -> Response {
        self.post("/console/sign-in", &[], &[("name", name), ("password", password)]).await
    }

    /// Signs the operator in and opens the page on which a draft begins.
    pub(crate) async fn sign_in(&self) -> Operator<'_> {
        let response = self.try_password(NAME, PASSWORD).await;
        let cookie = response.headers()["set-cookie"].to_str().expect("text").to_owned();
        let cookie = cookie.split(';').next().expect("a cookie").to_owned();
        let mut operator =
            Operator { site: self, cookie, page: Page { status: StatusCode::OK, html: "".into() } };
        operator.open("/console/draft").await;
        operator
    }
}

impl Page {
    async fn of(response: Response) -> Self {
        let status = response.status();
        Self { status, html: response.text().await.expect("text") }
    }

    /// The value of a hidden field.
    pub(crate) fn hidden(&self, name: &str) -> String {
        let start = format!("name=\"{name}\" value=\"");
        let rest = self.html.split_once(&start).map(|(_, rest)| rest).unwrap_or_default();
        unescape(rest.split('"').next().unwrap_or_default())
    }

    /// The draft that the page carries.
    pub(crate) fn draft(&self) -> String {
        match self.html.split_once("name=\"draft\" rows") {
            Some((_, rest)) => {
                let text = rest.split_once('>').map_or("", |(_, rest)| rest);
                unescape(text.split("</textarea>").next().unwrap_or_default())
            }
            None => self.hidden("draft"),
        }
    }

    /// The part of the page around one field, up to the next.
    pub(crate) fn field(&self, path: &str) -> String {
        let start = format!("id=\"{path}\"");
        let rest = self.html.split_once(&start).map(|(_, rest)| rest).unwrap_or_default();
        unescape(rest.split("<div class=\"field").next().unwrap_or_default())
    }
}

impl Operator<'_> {
    pub(crate) async fn open(&mut self, path: &str) {
        let request = self.site.client.get(format!("{}{path}", self.site.base_url));
        let response = request.header("cookie", &self.cookie).send().await.expect("an answer");
        self.page = Page::of(response).await;
    }

    /// Sends a form with the session's token and cookie.
    pub(crate) async fn send(&mut self, path: &str, fields: &[(&str, &str)]) {
        let response = self.send_raw(path, fields).await;
        self.page = Page::of(response).await;
    }

    pub(crate) async fn send_raw(&self, path: &str, fields: &[(&str, &str)]) -> Response {
        let token = self.page.hidden("form_token");
        let mut all = vec![("form_token", &*token)];
        all.extend_from_slice(fields);
        self.site.post(path, &[("cookie", &self.cookie)], &all).await
    }

    /// Presses a button of a draft's page after filling in fields of the page `here`.
    pub(crate) async fn press(&mut self, go: &str, here: &str, fields: &[(&str, &str)]) {
        let response = self.press_raw("/console/draft", go, here, fields).await;
        self.page = Page::of(response).await;
    }

    pub(crate) async fn press_raw(
        &self,
        path: &str,
        go: &str,
        here: &str,
        fields: &[(&str, &str)],
    ) -> Response {
        let carried = ["base_revision", "base_digest", "base_document"];
        let carried = carried.map(|name| (name, self.page.hidden(name)));
        let draft = self.page.draft();
        let mut all = vec![("go", go), ("here", here), ("draft", &*draft)];
        all.extend(carried.iter().map(|(name, value)| (*name, &**value)));
        all.extend_from_slice(fields);
        self.send_raw(path, &all).await
    }
}

/// The operator whom the tests sign in.
pub(crate) fn operators() -> Vec<OperatorCredential> {
    vec![OperatorCredential::new(NAME, PASSWORD).expect("a hash")]
}

fn unescape(text: &str) -> String {
    text.replace("&quot;", "\"").replace("&lt;", "<").replace("&gt;", ">").replace("&amp;", "&")
}

/// A loopback address that no other test uses at the same time.
fn own_address() -> Ipv4Addr {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let own = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 128 | third, fourth, own)
}
