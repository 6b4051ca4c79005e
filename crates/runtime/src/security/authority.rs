//! A fleet's own authority, and the certificates that it signs.
//!
//! The authority needs no service: its key signs where an operator runs the command, and only the
//! certificates travel to the instances.

use super::{AGENT_NAME, ENTRY_NAME};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// File with the authority's certificate.
pub const AUTHORITY_FILE: &str = "authority.pem";
/// File with the authority's private key; it stays with the operator.
pub const AUTHORITY_KEY_FILE: &str = "authority.key.pem";
/// Days for which a certificate holds, unless told otherwise.
pub const DEFAULT_VALID_DAYS: u16 = 90;
/// Days for which the authority holds: ten years.
const AUTHORITY_VALID_DAYS: u16 = 3650;
/// A certificate holds from the day before on, because clocks differ.
const DAYS_BACK: i64 = 1;
/// Private keys are readable by their owner alone.
const KEY_MODE: u32 = 0o600;
/// Certificates are readable by everyone.
const CERTIFICATE_MODE: u32 = 0o644;
/// Name of the authority in its certificate.
const AUTHORITY_NAME: &str = "hickorycross authority";

/// What a certificate is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

impl Holder {
    /// The name in its certificate.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => ENTRY_NAME,
            Self::Agent => AGENT_NAME,
        }
    }

    /// File with its certificate.
    #[must_use]
    pub const fn certificate_file(self) -> &'static str {
        match self {
            Self::Entry => "entry.pem",
            Self::Agent => "agent.pem",
        }
    }

    /// File with its private key.
    #[must_use]
    pub const fn key_file(self) -> &'static str {
        match self {
            Self::Entry => "entry.key.pem",
            Self::Agent => "agent.key.pem",
        }
    }

    /// Entries open links and accept none; agents do both.
    fn usages(self) -> Vec<ExtendedKeyUsagePurpose> {
        match self {
            Self::Entry => vec![ExtendedKeyUsagePurpose::ClientAuth],
            Self::Agent => {
                vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth]
            }
        }
    }
}

/// Why certificates cannot be made.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum AuthorityError {
    /// A file cannot be read or written.
    #[error("{path}: {cause}")]
    File {
        /// Its path.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The certificate library refuses.
    #[error("cannot make a certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// Only one half of the authority is there.
    #[error("{directory} holds only one of {AUTHORITY_FILE} and {AUTHORITY_KEY_FILE}")]
    #[diagnostic(help("restore the missing file, or choose another directory"))]
    Incomplete {
        /// The directory.
        directory: String,
    },
    /// The dates do not fit into a calendar.
    #[error("the validity does not fit into a calendar: {0}")]
    Date(#[from] jiff::Error),
}

/// A directory with an authority.
pub struct Authority {
    directory: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Takes the authority of a directory, or makes a new one there.
    ///
    /// # Errors
    ///
    /// When a file cannot be read or written.
    pub fn open_or_create(directory: &Path) -> Result<Self, AuthorityError> {
        std::fs::create_dir_all(directory).map_err(|cause| file_error(directory, cause))?;
        let certificate = directory.join(AUTHORITY_FILE);
        let key = directory.join(AUTHORITY_KEY_FILE);
        let key_pair = match (certificate.exists(), key.exists()) {
            (true, true) => read_key(&key)?,
            (false, false) => KeyPair::generate()?,
            _ => {
                return Err(AuthorityError::Incomplete {
                    directory: directory.display().to_string(),
                });
            }
        };
        // The certificate is signed anew with the same key and name, so that what the authority
        // signed before stays valid.
        let issuer = CertifiedIssuer::self_signed(authority_params()?, key_pair)?;
        if !key.exists() {
            replace(&key, &issuer.key().serialize_pem(), KEY_MODE)?;
            replace(&certificate, &issuer.pem(), CERTIFICATE_MODE)?;
        }
        Ok(Self { directory: directory.to_owned(), issuer })
    }

    /// Makes a key and a certificate and writes both; files of the same names are replaced.
    ///
    /// # Errors
    ///
    /// When a file cannot be written.
    pub fn issue(&self, holder: Holder, valid_days: u16) -> Result<(), AuthorityError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![holder.name().to_owned()])?;
        params.distinguished_name = named(holder.name());
        params.extended_key_usages = holder.usages();
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, valid_days)?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let in_directory = |name: &str| self.directory.join(name);
        replace(&in_directory(holder.key_file()), &key.serialize_pem(), KEY_MODE)?;
        replace(&in_directory(holder.certificate_file()), &certificate.pem(), CERTIFICATE_MODE)
    }
}

fn authority_params() -> Result<CertificateParams, AuthorityError> {
    let mut params = CertificateParams::default();
    params.distinguished_name = named(AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    set_validity(&mut params, AUTHORITY_VALID_DAYS)?;
    Ok(params)
}

fn named(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn set_validity(params: &mut CertificateParams, days: u16) -> Result<(), AuthorityError> {
    let today = jiff::Zoned::now().with_time_zone(jiff::tz::TimeZone::UTC).date();
    let first = today.checked_sub(jiff::Span::new().days(DAYS_BACK))?;
    let last = today.checked_add(jiff::Span::new().days(i64::from(days)))?;
    let (year, month, day) = parts(first);
    params.not_before = rcgen::date_time_ymd(year, month, day);
    let (year, month, day) = parts(last);
    params.not_after = rcgen::date_time_ymd(year, month, day);
    Ok(())
}

/// Year, month and day.
fn parts(date: jiff::civil::Date) -> (i32, u8, u8) {
    (date.year().into(), date.month().unsigned_abs(), date.day().unsigned_abs())
}

fn read_key(path: &Path) -> Result<KeyPair, AuthorityError> {
    let text = std::fs::read_to_string(path).map_err(|cause| file_error(path, cause))?;
    Ok(KeyPair::from_pem(&text)?)
}

/// Writes a file beside the old one and renames it. A running process that looked between two
/// writes to one file would read half a key, and log an error for nothing.
fn replace(path: &Path, text: &str, mode: u32) -> Result<(), AuthorityError> {
    let beside = path.with_extension("new");
    let write = || {
        let _ = std::fs::remove_file(&beside);
        let mut file =
            std::fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&beside, path)
    };
    write().map_err(|cause| file_error(path, cause))
}

fn file_error(path: &Path, cause: std::io::Error) -> AuthorityError {
    AuthorityError::File { path: path.display().to_string(), cause }
}
