//! Signed session tokens and the tokens of forms.
//!
//! A session is a signed text in a cookie; its expiry stands in it as a deadline. The key is drawn
//! when the process starts, so that a session is good for one process and ends with it.

use super::credentials::random_bytes;
use hickorycross_core::{Now, UnixMs};
use hmac::{Hmac, Mac};
use indexmap::IndexMap;
use sha2::Sha256;
use std::sync::{Mutex, PoisonError};

/// A session ends so long after sign-in.
pub(super) const SESSION_MS: u64 = 8 * 60 * 60 * 1000;

/// A session that was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    /// Who signed in.
    pub(crate) operator: String,
    expires: UnixMs,
    nonce: String,
    form_token: String,
}

impl Session {
    /// What every form of the session carries.
    pub(crate) fn form_token(&self) -> &str {
        &self.form_token
    }
}

/// Makes and checks tokens.
pub(super) struct Tokens {
    key: [u8; 32],
    /// Sessions that were signed out before they expired.
    ended: Mutex<IndexMap<String, UnixMs>>,
}

impl Tokens {
    pub(super) fn new() -> Self {
        Self { key: random_bytes(), ended: Mutex::default() }
    }

    /// The cookie's value for an operator who has just signed in.
    pub(super) fn issue(&self, now: Now, operator: &str) -> String {
        let expires = now.after(SESSION_MS);
        let nonce = hex::encode(random_bytes());
        let content = format!("{expires}.{nonce}.{operator}");
        format!("{}.{content}", hex::encode(self.sign("session", &content)))
    }

    /// Checks a cookie's value.
    pub(super) fn check(&self, now: Now, token: &str) -> Option<Session> {
        let (signature, content) = token.split_once('.')?;
        if !self.is_signed("session", content, signature) {
            return None;
        }
        let mut fields = content.splitn(3, '.');
        let expires = UnixMs(fields.next()?.parse().ok()?);
        let nonce = fields.next()?.to_owned();
        let operator = fields.next()?.to_owned();
        if expires.is_past(now) || self.lock().contains_key(&nonce) {
            return None;
        }
        let form_token = hex::encode(self.sign("form", &nonce));
        Some(Session { operator, expires, nonce, form_token })
    }

    /// Whether a form was made for this session.
    ///
    /// A page of another site can make a browser post a form of its own with the operator's
    /// cookie; one would see drafts in the trail that nobody made. It cannot know this token.
    pub(super) fn is_form_of(&self, session: &Session, form_token: &str) -> bool {
        self.is_signed("form", &session.nonce, form_token)
    }

    /// Ends a session before its expiry.
    pub(super) fn end(&self, now: Now, session: &Session) {
        let mut ended = self.lock();
        ended.retain(|_, expires| !expires.is_past(now));
        ended.insert(session.nonce.clone(), session.expires);
    }

    fn sign(&self, purpose: &str, content: &str) -> [u8; 32] {
        self.mac(purpose, content).finalize().into_bytes().into()
    }

    fn is_signed(&self, purpose: &str, content: &str, signature: &str) -> bool {
        let Ok(signature) = hex::decode(signature) else { return false };
        self.mac(purpose, content).verify_slice(&signature).is_ok()
    }

    fn mac(&self, purpose: &str, content: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length will do");
        mac.update(purpose.as_bytes());
        mac.update(b"/");
        mac.update(content.as_bytes());
        mac
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<String, UnixMs>> {
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
