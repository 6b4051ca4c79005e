//! Forms as they come in: from a signed-in operator, from a page of ours, and not too large.

use super::Console;
use super::session::Session;
use indexmap::IndexMap;
use rocket::data::{ByteUnit, FromData, Outcome as DataOutcome};
use rocket::http::{CookieJar, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::{Data, Request, State, async_trait};
use std::sync::Arc;

/// The session cookie.
pub(super) const COOKIE: &str = "hickorycross-console";
/// The field that ties a form to its session.
pub(super) const FORM_TOKEN: &str = "form_token";
/// Largest form: draft and base of up to a megabyte each, percent-encoded.
const MAX_FORM: ByteUnit = ByteUnit::Mebibyte(8);

/// The fields of a form; of a repeated one, the first.
#[derive(Debug, Default)]
pub(crate) struct Fields(IndexMap<String, String>);

impl Fields {
    /// The value of a field.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn parse(body: &[u8]) -> Self {
        let mut fields = IndexMap::new();
        for (name, value) in form_urlencoded::parse(body) {
            fields.entry(name.into_owned()).or_insert_with(|| value.into_owned());
        }
        Self(fields)
    }
}

/// Any form from a page of this console, by whomever it was sent.
pub(crate) struct OpenForm(pub(crate) Fields);

/// A form of a signed-in operator.
pub(crate) struct Posted {
    pub(super) session: Session,
    pub(super) fields: Fields,
}

/// Why a form is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unposted {
    /// Nobody is signed in, or the session has expired.
    NotSignedIn,
    /// It was not made for this session, or comes from another site.
    Forged,
    /// It is too large.
    TooLarge,
}

async fn read(request: &Request<'_>, data: Data<'_>) -> Result<Fields, Unposted> {
    if !is_same_origin(request) {
        return Err(Unposted::Forged);
    }
    let body = data.open(MAX_FORM).into_bytes().await.map_err(|_| Unposted::TooLarge)?;
    if !body.is_complete() {
        return Err(Unposted::TooLarge);
    }
    Ok(Fields::parse(&body))
}

/// A browser names the site of the page that posts a form; programs that are no browser name none.
fn is_same_origin(request: &Request<'_>) -> bool {
    let Some(origin) = request.headers().get_one("origin") else { return true };
    let host = request.headers().get_one("host").unwrap_or_default();
    origin.split_once("://").is_some_and(|(_, authority)| authority == host)
}

#[async_trait]
impl<'r> FromRequest<'r> for Session {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let console = request.rocket().state::<Arc<Console>>();
        let cookie = request.cookies().get(COOKIE);
        match console.zip(cookie).and_then(|(console, cookie)| console.session(cookie.value())) {
            Some(session) => Outcome::Success(session),
            None => Outcome::Forward(Status::Unauthorized),
        }
    }
}

#[async_trait]
impl<'r> FromData<'r> for OpenForm {
    type Error = Unposted;

    async fn from_data(request: &'r Request<'_>, data: Data<'r>) -> DataOutcome<'r, Self> {
        match read(request, data).await {
            Ok(fields) => DataOutcome::Success(Self(fields)),
            Err(error) => DataOutcome::Error((error.status(), error)),
        }
    }
}

#[async_trait]
impl<'r> FromData<'r> for Posted {
    type Error = Unposted;

    async fn from_data(request: &'r Request<'_>, data: Data<'r>) -> DataOutcome<'r, Self> {
        match posted(request, data).await {
            Ok(posted) => DataOutcome::Success(posted),
            Err(error) => DataOutcome::Error((error.status(), error)),
        }
    }
}

async fn posted(request: &Request<'_>, data: Data<'_>) -> Result<Posted, Unposted> {
    let console = request.rocket().state::<Arc<Console>>().ok_or(Unposted::NotSignedIn)?;
    let jar: &CookieJar<'_> = request.cookies();
    let cookie = jar.get(COOKIE).ok_or(Unposted::NotSignedIn)?;
    let session = console.session(cookie.value()).ok_or(Unposted::NotSignedIn)?;
    let fields = read(request, data).await?;
    if !console.is_form_of(&session, fields.get(FORM_TOKEN).unwrap_or_default()) {
        return Err(Unposted::Forged);
    }
    Ok(Posted { session, fields })
}

impl Unposted {
    fn status(self) -> Status {
        match self {
            Self::NotSignedIn => Status::Unauthorized,
            Self::Forged => Status::Forbidden,
            Self::TooLarge => Status::PayloadTooLarge,
        }
    }
}

/// The state that routes read.
pub(super) type Shared = State<Arc<Console>>;
