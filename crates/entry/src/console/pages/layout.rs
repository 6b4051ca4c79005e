//! What all pages have in common: frame, navigation, security headers.

use crate::console::Console;
use crate::console::posted::FORM_TOKEN;
use crate::console::session::Session;
use hickorycross_config::Stamp;
use hickorycross_core::UnixMs;
use hickorycross_runtime::operators::StatusSource;
use maud::{DOCTYPE, Markup, html};
use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder};
use rocket::{Request, Response};
use std::io::Cursor;

/// No script, no outside asset, no frame, no form towards another site.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'self'; \
     form-action 'self'; frame-ancestors 'none'; base-uri 'none'";
/// Sent with every page. Pages hold drafts and fresh keys: no cache may keep them.
const HEADERS: [(&str, &str); 6] = [
    ("content-security-policy", CONTENT_SECURITY_POLICY),
    ("x-content-type-options", "nosniff"),
    ("x-frame-options", "DENY"),
    ("referrer-policy", "same-origin"),
    ("cross-origin-opener-policy", "same-origin"),
    ("cache-control", "no-store"),
];

/// A page with its status.
#[derive(Debug)]
pub(crate) struct Page {
    status: Status,
    body: String,
    headers: Vec<Header<'static>>,
}

impl Page {
    pub(crate) fn with_status(mut self, status: Status) -> Self {
        self.status = status;
        self
    }

    pub(crate) fn with_header(mut self, header: Header<'static>) -> Self {
        self.headers.push(header);
        self
    }
}

impl<'r> Responder<'r, 'static> for Page {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        response.status(self.status).header(ContentType::HTML);
        for (name, value) in HEADERS {
            response.raw_header(name, value);
        }
        for header in self.headers {
            response.header(header);
        }
        response.sized_body(self.body.len(), Cursor::new(self.body)).ok()
    }
}

/// What the frame of a page shows.
pub(crate) struct Chrome {
    instance: String,
    stamp: Stamp,
    at: UnixMs,
    is_on: bool,
    session: Option<Session>,
}

impl Chrome {
    pub(crate) fn new(console: &Console, session: Option<&Session>) -> Self {
        let status = console.view.status();
        Self {
            instance: status.instance.to_string(),
            stamp: status.stamp,
            at: console.clock.now().unix_ms,
            is_on: console.is_on(),
            session: session.cloned(),
        }
    }

    /// Whether anyone may sign in.
    pub(super) fn is_on(&self) -> bool {
        self.is_on
    }

    /// The moment at which the page was made.
    pub(super) fn at(&self) -> UnixMs {
        self.at
    }

    /// The hidden field that ties a form to the session.
    pub(super) fn form_token(&self) -> Markup {
        let token = self.session.as_ref().map_or("", Session::form_token);
        html! { input type="hidden" name=(FORM_TOKEN) value=(token); }
    }

    /// A whole page.
    pub(super) fn page(&self, title: &str, body: &Markup) -> Page {
        let markup = html! {
            (DOCTYPE)
            html lang="en" {
                (head(title))
                body {
                    a.skip href="#main" { "To the content" }
                    header { (self.navigation()) }
                    main #main { h1 { (title) } (body) }
                    footer {
                        "Instance " (self.instance) ". Document in force here: " (Shown(self.stamp))
                        ". Page made at " (clock(self.at)) "."
                    }
                }
            }
        };
        Page { status: Status::Ok, body: markup.into_string(), headers: Vec::new() }
    }

    fn navigation(&self) -> Markup {
        html! {
            nav aria-label="Console" {
                strong { "hickorycross" }
                a href="/console" { "Fleet" }
                a href="/console/audit" { "Audit trail" }
                @if let Some(session) = &self.session {
                    a href="/console/draft" { "Draft" }
                    form.inline method="post" action="/console/sign-out" {
                        (self.form_token())
                        button { "Sign out " (session.operator) }
                    }
                } @else if self.is_on {
                    a href="/console/sign-in" { "Sign in" }
                } @else {
                    span.quiet { "Forms are off: no operators in the settings" }
                }
            }
        }
    }
}

fn head(title: &str) -> Markup {
    html! {
        head {
            meta charset="utf-8";
            meta name="viewport" content="width=device-width, initial-scale=1";
            title { (title) " - hickorycross" }
            link rel="stylesheet" href="/console/style.css";
        }
    }
}

/// A page with one paragraph.
pub(crate) fn message(chrome: &Chrome, status: Status, text: &str) -> Page {
    let title = status.reason().unwrap_or("Message");
    chrome.page(title, &html! { p role="alert" { (text) } }).with_status(status)
}

/// A page for a server without a console.
pub(crate) fn bare(status: Status, text: &str) -> Page {
    let markup = html! { (DOCTYPE) html lang="en" { (head("Message")) body { p { (text) } } } };
    Page { status, body: markup.into_string(), headers: Vec::new() }
}

/// A stamp in people's terms.
pub(super) struct Shown(pub(super) Stamp);

impl maud::Render for Shown {
    fn render(&self) -> Markup {
        let Self(stamp) = self;
        html! {
            @if *stamp == Stamp::NONE { "none" }
            @else { "revision " (stamp.revision) " (" code { (stamp.digest) } ")" }
        }
    }
}

/// How long ago a moment was, in whole units.
pub(super) fn age(now: UnixMs, at: UnixMs) -> String {
    /// Milliseconds of each unit.
    const UNITS: [(u64, &str); 3] = [(3_600_000, "h"), (60_000, "min"), (1_000, "s")];
    let age_ms = now.since(at);
    let unit = UNITS.iter().find(|(unit_ms, _)| age_ms >= 2 * unit_ms);
    unit.map_or_else(
        || format!("{age_ms} ms ago"),
        |(unit_ms, name)| format!("{} {name} ago", age_ms / unit_ms),
    )
}

/// A moment in UTC, to the second.
pub(super) fn clock(at: UnixMs) -> String {
    let at_ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    jiff::Timestamp::from_millisecond(at_ms)
        .map_or_else(|_| at.to_string(), |at| at.strftime("%Y-%m-%dT%H:%M:%SZ").to_string())
}

/// Reads a moment as [`clock`] writes it.
pub(crate) fn read_clock(text: &str) -> Option<UnixMs> {
    let at: jiff::Timestamp = text.trim().parse().ok()?;
    u64::try_from(at.as_millisecond()).ok().map(UnixMs)
}
