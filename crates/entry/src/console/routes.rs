//! The console's addresses.

use super::draft::Draft;
use super::pages::{self, Chrome, Page};
use super::place::{Go, Place};
use super::posted::{COOKIE, OpenForm, Posted, Shared};
use super::rebase;
use super::session::Session;
use super::sign_in::{self, Rejected};
use hickorycross_config::Digest;
use hickorycross_core::audit::Change;
use rocket::http::{ContentType, Cookie, CookieJar, Header, SameSite, Status};
use rocket::response::Redirect;
use rocket::time::Duration;
use rocket::{Catcher, Request, Responder, Route, catch, catchers, get, post, routes, uri};
use std::net::SocketAddr;

pub(super) fn routes() -> Vec<Route> {
    routes![
        index,
        style,
        fleet,
        audit,
        sign_in_page,
        try_sign_in,
        sign_out,
        begin_page,
        begin_closed,
        begin,
        draft,
        document,
        rollout
    ]
}

pub(super) fn catchers() -> Vec<Catcher> {
    catchers![not_signed_in, forged, too_large, not_found, unprocessable]
}

#[get("/")]
fn index() -> Redirect {
    Redirect::to(uri!("/console"))
}

#[get("/console/style.css")]
fn style() -> (ContentType, &'static str) {
    (ContentType::CSS, include_str!("style.css"))
}

#[get("/console")]
fn fleet(console: &Shared, session: Option<Session>) -> Page {
    pages::fleet(&Chrome::new(console, session.as_ref()), console)
}

#[get("/console/audit?<kind>&<text>&<since>")]
fn audit(
    console: &Shared,
    session: Option<Session>,
    kind: Option<&str>,
    text: Option<&str>,
    since: Option<&str>,
) -> Page {
    let filter = pages::AuditFilter {
        kind: kind.filter(|kind| !kind.is_empty()),
        text: text.filter(|text| !text.is_empty()),
        since: since.and_then(pages::read_clock),
    };
    pages::audit(&Chrome::new(console, session.as_ref()), &console.trail, &filter)
}

#[get("/console/sign-in")]
fn sign_in_page(console: &Shared, session: Option<Session>) -> Page {
    pages::sign_in(&Chrome::new(console, session.as_ref()), None)
}

#[post("/console/sign-in", data = "<form>")]
async fn try_sign_in(
    console: &Shared,
    cookies: &CookieJar<'_>,
    remote: SocketAddr,
    form: OpenForm,
) -> Result<Redirect, Page> {
    let name = form.0.get("name").unwrap_or_default();
    let password = form.0.get("password").unwrap_or_default();
    let rejected = match sign_in::sign_in(console, remote.ip(), name, password).await {
        Ok(token) => {
            cookies.add(cookie(token));
            return Ok(Redirect::to(uri!("/console/draft")));
        }
        Err(rejected) => rejected,
    };
    let chrome = Chrome::new(console, None);
    Err(match rejected {
        Rejected::Wrong => pages::sign_in(&chrome, Some("Name and password do not match."))
            .with_status(Status::Unauthorized),
        Rejected::TooMany(not_before) => {
            let wait_s = not_before.since(console.clock.now().unix_ms).div_ceil(1000).max(1);
            let message = format!("Too many attempts. Try again in {wait_s} s.");
            pages::sign_in(&chrome, Some(&message))
                .with_status(Status::TooManyRequests)
                .with_header(Header::new("retry-after", wait_s.to_string()))
        }
    })
}

fn cookie(token: String) -> Cookie<'static> {
    let age = Duration::seconds(i64::try_from(sign_in::COOKIE_S).unwrap_or(0));
    Cookie::build((COOKIE, token))
        .path("/console")
        .http_only(true)
        .same_site(SameSite::Strict)
        .max_age(age)
        .build()
}

#[post("/console/sign-out", data = "<form>")]
fn sign_out(console: &Shared, cookies: &CookieJar<'_>, form: Posted) -> Redirect {
    sign_in::sign_out(console, &form.session);
    cookies.remove(Cookie::build(COOKIE).path("/console"));
    Redirect::to(uri!("/console"))
}

#[get("/console/draft")]
fn begin_page(console: &Shared, session: Session) -> Page {
    let in_force = console.observed.active_document();
    pages::begin(&Chrome::new(console, Some(&session)), in_force.as_ref(), None)
}

#[get("/console/draft", rank = 2)]
fn begin_closed(console: &Shared) -> Page {
    pages::sign_in(&Chrome::new(console, None), None).with_status(Status::Unauthorized)
}

#[post("/console/begin", data = "<form>")]
fn begin(console: &Shared, form: Posted) -> Page {
    let in_force = console.observed.active_document();
    let chrome = Chrome::new(console, Some(&form.session));
    let draft = match form.fields.get("from") {
        Some("in-force") => Some(Draft::of(in_force.as_ref())).filter(|_| in_force.is_some()),
        Some("pasted") => {
            Draft::pasted(in_force.as_ref(), form.fields.get("pasted").unwrap_or_default())
        }
        Some("empty") => Some(Draft::empty(in_force.as_ref())),
        _ => None,
    };
    let first = Place::parse("document");
    match draft.zip(first) {
        Some((draft, place)) => pages::edit(&chrome, &draft, place, None),
        None => pages::begin(&chrome, in_force.as_ref(), Some("That is not a JSON object."))
            .with_status(Status::UnprocessableEntity),
    }
}

#[post("/console/draft", data = "<form>")]
fn draft(console: &Shared, form: Posted) -> Page {
    let chrome = Chrome::new(console, Some(&form.session));
    let in_force = console.observed.active_document();
    let asked = form.fields.get("go").and_then(Go::parse);
    let Some((mut draft, go)) = Draft::read(&form.fields).zip(asked) else {
        return pages::message(&chrome, Status::UnprocessableEntity, NOT_OUR_FORM);
    };
    let here = form.fields.get("here").and_then(Place::parse);
    if let Some(here) = here.filter(|here| here.has_fields()) {
        draft.fill(here, &form.fields);
    }
    match go {
        Go::To(place) => pages::edit(&chrome, &draft, place, None),
        Go::Add(section) => {
            let index = draft.add(section.key);
            pages::edit(&chrome, &draft, Place { section, index: Some(index) }, None)
        }
        Go::Remove(place) => {
            draft.remove(place);
            pages::edit(&chrome, &draft, Place { index: None, ..place }, None)
        }
        Go::MakeKey(place) => {
            let key = draft.make_key(place);
            pages::edit(&chrome, &draft, place, key.as_deref())
        }
        Go::Review => pages::review(&chrome, &draft, in_force.as_ref()),
        Go::Rebase => {
            let theirs = Draft::of(in_force.as_ref());
            draft.document = rebase::merge(&draft.base_document, &draft.document, &theirs.document);
            draft.base = theirs.base;
            draft.base_document = theirs.document;
            pages::review(&chrome, &draft, in_force.as_ref())
        }
        Go::HandOut => hand_out(console, &chrome, &form.session, &draft),
    }
}

const NOT_OUR_FORM: &str = "The form holds no draft. Begin again from the document in force.";

/// Gives the document out, unless it has faults or the document in force is another than the one
/// that the draft began from.
///
/// Were a draft handed out that began from an older revision, publishing it would silently undo
/// what others changed meanwhile; one would see their changes vanish from the fleet.
fn hand_out(console: &Shared, chrome: &Chrome, session: &Session, draft: &Draft) -> Page {
    let in_force = console.observed.active_document();
    let is_current = in_force.as_ref().map_or(0, |one| one.stamp.revision) == draft.base.revision;
    match draft.judge() {
        Ok(document) if is_current => {
            let text = document.canonical_json();
            let digest = Digest::of(text.as_bytes());
            let operator = session.operator.clone();
            console.audit(Change::DraftHandedOut { operator, base: draft.base, digest });
            pages::result(chrome, draft, &text, digest)
        }
        Ok(_) => pages::review(chrome, draft, in_force.as_ref()).with_status(Status::Conflict),
        Err(_) => {
            pages::review(chrome, draft, in_force.as_ref()).with_status(Status::UnprocessableEntity)
        }
    }
}

/// The document as a file, byte for byte what its digest was taken over.
#[derive(Responder)]
#[response(content_type = "application/json")]
struct Download {
    text: String,
    disposition: Header<'static>,
    caching: Header<'static>,
}

#[post("/console/document", data = "<form>")]
fn document(console: &Shared, form: Posted) -> Result<Download, Page> {
    let chrome = Chrome::new(console, Some(&form.session));
    let document = Draft::read(&form.fields).and_then(|draft| draft.judge().ok());
    let Some(document) = document else {
        return Err(pages::message(&chrome, Status::UnprocessableEntity, NOT_OUR_FORM));
    };
    Ok(Download {
        text: document.canonical_json(),
        disposition: Header::new("content-disposition", "attachment; filename=\"document.json\""),
        caching: Header::new("cache-control", "no-store"),
    })
}

#[get("/console/rollout?<digest>")]
fn rollout(console: &Shared, session: Option<Session>, digest: &str) -> Page {
    let chrome = Chrome::new(console, session.as_ref());
    match u64::from_str_radix(digest, 16) {
        Ok(digest) => pages::rollout(&chrome, console, Digest(digest)),
        Err(_) => pages::message(&chrome, Status::UnprocessableEntity, "That is no digest."),
    }
}

fn refused(request: &Request<'_>, status: Status, text: &str) -> Page {
    match request.rocket().state::<std::sync::Arc<super::Console>>() {
        Some(console) => pages::message(&Chrome::new(console, None), status, text),
        None => pages::bare(status, text),
    }
}

#[catch(401)]
fn not_signed_in(request: &Request<'_>) -> Page {
    refused(
        request,
        Status::Unauthorized,
        "You are not signed in, or the session has ended. A draft is not lost: go back, copy it \
         from 'The draft as JSON', sign in, and begin from a pasted document.",
    )
}

#[catch(403)]
fn forged(request: &Request<'_>) -> Page {
    refused(
        request,
        Status::Forbidden,
        "This form was not made for your session. Nothing was done.",
    )
}

#[catch(413)]
fn too_large(request: &Request<'_>) -> Page {
    refused(request, Status::PayloadTooLarge, "The form is too large.")
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> Page {
    refused(request, Status::NotFound, "There is no such page.")
}

#[catch(422)]
fn unprocessable(request: &Request<'_>) -> Page {
    refused(request, Status::UnprocessableEntity, "A field of the address cannot be read.")
}
