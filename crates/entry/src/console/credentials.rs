//! Operators' credentials.

use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2};
use hickorycross_runtime::settings::Fault;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::LazyLock;

/// Longest name of an operator.
const MAX_NAME_BYTES: usize = 64;
/// The field of the settings that holds credentials.
const SETTING: &str = "operators";
/// What a name may be.
const NAME_ALLOWED: &str = "1 to 64 of a-z, 0-9, '.', '_' and '-', each name once";
/// What a hash may be.
const HASH_ALLOWED: &str = "an argon2id PHC string, as hickorycross-entry hash-password writes it";
/// Longest password that is hashed; the form cuts nothing, it refuses.
pub(super) const MAX_PASSWORD_BYTES: usize = 1024;

/// A hash that no password has, verified for unknown names so that they take as long as known ones.
static NOBODY: LazyLock<Option<OperatorCredential>> =
    LazyLock::new(|| OperatorCredential::new("nobody", &hex::encode(random_bytes())).ok());

/// One operator who may sign in to the console.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorCredential {
    /// The name that the audit trail shows.
    pub name: String,
    /// Argon2id hash of the password as a PHC string; `hash-password` writes one.
    pub password_hash: String,
}

/// A password cannot be hashed.
#[derive(Debug, thiserror::Error)]
#[error("the password cannot be hashed: {0}")]
pub struct HashError(String);

impl fmt::Debug for OperatorCredential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorCredential").field("name", &self.name).finish_non_exhaustive()
    }
}

impl OperatorCredential {
    /// Hashes a password with a fresh salt.
    ///
    /// # Errors
    ///
    /// When the password is too long to be hashed.
    pub fn new(name: &str, password: &str) -> Result<Self, HashError> {
        if password.len() > MAX_PASSWORD_BYTES {
            return Err(HashError(format!("it is longer than {MAX_PASSWORD_BYTES} bytes")));
        }
        let failed = |error: argon2::password_hash::Error| HashError(error.to_string());
        let salt = SaltString::encode_b64(&random_bytes()[..16]).map_err(failed)?;
        let hash = Argon2::default().hash_password(password.as_bytes(), &salt).map_err(failed)?;
        Ok(Self { name: name.to_owned(), password_hash: hash.to_string() })
    }

    /// Faults of the credentials in the settings. No hash is quoted: a password may have been put
    /// in its place.
    pub(crate) fn faults(credentials: &[Self]) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (index, credential) in credentials.iter().enumerate() {
            let name = &credential.name;
            if !is_name(name) || credentials[..index].iter().any(|other| other.name == *name) {
                let found = format!("the name {name:?} at [{index}]");
                faults.push(Fault::new(SETTING, &found, NAME_ALLOWED));
            }
            if !is_argon2id(&credential.password_hash) {
                let found = format!("another password_hash at [{index}]");
                faults.push(Fault::new(SETTING, &found, HASH_ALLOWED));
            }
        }
        faults
    }

    fn matches(&self, password: &str) -> bool {
        let Ok(hash) = PasswordHash::new(&self.password_hash) else { return false };
        Argon2::default().verify_password(password.as_bytes(), &hash).is_ok()
    }
}

/// Finds the operator that name and password belong to. Takes tens of milliseconds of a core.
pub(super) fn find(credentials: &[OperatorCredential], name: &str, password: &str) -> bool {
    match credentials.iter().find(|one| one.name == name) {
        Some(credential) => credential.matches(password),
        None => {
            if let Some(nobody) = &*NOBODY {
                nobody.matches(password);
            }
            false
        }
    }
}

/// 32 bytes from the system's random source.
pub(super) fn random_bytes() -> [u8; 32] {
    rand::random()
}

fn is_name(name: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_argon2id(text: &str) -> bool {
    PasswordHash::new(text).is_ok_and(|hash| {
        hash.algorithm == Algorithm::Argon2id.ident() && hash.hash.is_some() && hash.salt.is_some()
    })
}
