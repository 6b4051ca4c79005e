//! `hash-password`: makes the hash that the settings hold.

use super::credentials::OperatorCredential;
use clap::Command;
use miette::IntoDiagnostic;
use std::io::BufRead;

/// The command.
pub(crate) fn command() -> Command {
    Command::new("hash-password")
        .about("Read a password from standard input and print its hash for the settings")
        .after_help("Example: hickorycross-entry hash-password < password.txt")
}

/// Reads one line and prints its hash.
///
/// # Errors
///
/// When nothing can be read or the password cannot be hashed.
pub(crate) fn hash_password() -> miette::Result<()> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).into_diagnostic()?;
    let password = line.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err(miette::miette!("standard input holds no password"));
    }
    let credential = OperatorCredential::new("operator", password).into_diagnostic()?;
    println!("{}", credential.password_hash);
    Ok(())
}
