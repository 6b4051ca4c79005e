//! The certificate authority of a fleet, and the certificates that it issues.
//!
//! The authority is a directory with a certificate and a key, not a service. Its key signs on the
//! machine on which an operator runs the command and is not copied to the instances; these need
//! their own key, their certificate, and the certificate of the authority.

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
/// File with the authority's private key, which must not leave the operator's machine.
pub const AUTHORITY_KEY_FILE: &str = "authority.key.pem";
/// Default validity of an issued certificate, in days.
pub const DEFAULT_VALID_DAYS: u16 = 90;
/// Validity of the authority's certificate, in days: ten years.
const AUTHORITY_VALID_DAYS: u16 = 3650;
/// Days before the day of issue from which a certificate is valid, because clocks of instances
/// differ.
const BACKDATED_DAYS: i64 = 1;
/// File mode of private keys, which only their owner can read.
const KEY_MODE: u32 = 0o600;
/// File mode of certificates, which everyone can read.
const CERTIFICATE_MODE: u32 = 0o644;
/// Common name in the authority's certificate.
const AUTHORITY_NAME: &str = "hickorycross authority";

/// The kind of process that a certificate is issued to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

impl Holder {
    /// Returns the name in the certificate.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => ENTRY_NAME,
            Self::Agent => AGENT_NAME,
        }
    }

    /// Returns the name of the file with the certificate.
    #[must_use]
    pub const fn certificate_file(self) -> &'static str {
        match self {
            Self::Entry => "entry.pem",
            Self::Agent => "agent.pem",
        }
    }

    /// Returns the name of the file with the private key.
    #[must_use]
    pub const fn key_file(self) -> &'static str {
        match self {
            Self::Entry => "entry.key.pem",
            Self::Agent => "agent.key.pem",
        }
    }

    /// Returns the key usages in the certificate. Entries only open links; agents open and accept
    /// them.
    fn usages(self) -> Vec<ExtendedKeyUsagePurpose> {
        match self {
            Self::Entry => vec![ExtendedKeyUsagePurpose::ClientAuth],
            Self::Agent => {
                vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth]
            }
        }
    }
}

/// The reason why an authority cannot be opened or a certificate cannot be issued.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum AuthorityError {
    /// A file cannot be read or written.
    #[error("{path}: {cause}")]
    File {
        /// Its path.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The certificate library returned an error.
    #[error("cannot create a certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The directory contains only the certificate or only the key of an authority.
    #[error("{directory} holds only one of {AUTHORITY_FILE} and {AUTHORITY_KEY_FILE}")]
    #[diagnostic(help("restore the missing file, or choose another directory"))]
    Incomplete {
        /// The directory.
        directory: String,
    },
    /// The dates of validity are outside the calendar's range.
    #[error("the validity is outside the range of the calendar: {0}")]
    Date(#[from] jiff::Error),
}

/// A certificate authority whose files are in one directory.
pub struct Authority {
    directory: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Opens the authority in a directory, or creates one there if the directory has none.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or written, or if one of the authority's two files is missing.
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
        // An existing authority's certificate is rebuilt in memory with the same key and name, so
        // that certificates it issued earlier stay valid.
        let issuer = CertifiedIssuer::self_signed(authority_params()?, key_pair)?;
        if !key.exists() {
            replace(&key, &issuer.key().serialize_pem(), KEY_MODE)?;
            replace(&certificate, &issuer.pem(), CERTIFICATE_MODE)?;
        }
        Ok(Self { directory: directory.to_owned(), issuer })
    }

    /// Creates a key and a certificate and writes both to the directory, replacing earlier ones.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or `valid_days` is outside the calendar's range.
    pub fn issue(&self, holder: Holder, valid_days: u16) -> Result<(), AuthorityError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![holder.name().to_owned()])?;
        params.distinguished_name = distinguished_name(holder.name());
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
    params.distinguished_name = distinguished_name(AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    set_validity(&mut params, AUTHORITY_VALID_DAYS)?;
    Ok(params)
}

fn distinguished_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn set_validity(params: &mut CertificateParams, days: u16) -> Result<(), AuthorityError> {
    let today = jiff::Zoned::now().with_time_zone(jiff::tz::TimeZone::UTC).date();
    let first = today.checked_sub(jiff::Span::new().days(BACKDATED_DAYS))?;
    let last = today.checked_add(jiff::Span::new().days(i64::from(days)))?;
    let (year, month, day) = parts(first);
    params.not_before = rcgen::date_time_ymd(year, month, day);
    let (year, month, day) = parts(last);
    params.not_after = rcgen::date_time_ymd(year, month, day);
    Ok(())
}

/// Splits a date into year, month and day.
fn parts(date: jiff::civil::Date) -> (i32, u8, u8) {
    (date.year().into(), date.month().unsigned_abs(), date.day().unsigned_abs())
}

fn read_key(path: &Path) -> Result<KeyPair, AuthorityError> {
    let text = std::fs::read_to_string(path).map_err(|cause| file_error(path, cause))?;
    Ok(KeyPair::from_pem(&text)?)
}

/// Replaces a file atomically: writes a temporary file next to it and renames that.
///
/// With writes to the file itself, a running process that checks its key files in between would
/// read an incomplete key and log an error without cause.
fn replace(path: &Path, text: &str, mode: u32) -> Result<(), AuthorityError> {
    let temporary = path.with_extension("new");
    let write = || {
        let _ = std::fs::remove_file(&temporary);
        let mut file =
            std::fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&temporary, path)
    };
    write().map_err(|cause| file_error(path, cause))
}

fn file_error(path: &Path, cause: std::io::Error) -> AuthorityError {
    AuthorityError::File { path: path.display().to_string(), cause }
}
