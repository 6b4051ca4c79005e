//! Loads renewed key files without a restart.

use super::{KeyFiles, LinkKeys, LinkSecurity};
use crate::clock::SteadyClock;
use crate::operators::StatusSource;
use crate::trail::Trail;
use hickorycross_config::Digest;
use hickorycross_core::audit::{AuditRecord, Change};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Interval at which the files are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Hashed after the content of each file, so that the same bytes have another digest if they are
/// divided differently among the files.
const FILE_SEPARATOR: &[u8] = b"\0next file\0";

/// A user of link keys that can replace them while the process runs.
pub trait UseKeys: Send + 'static {
    /// Uses these keys for links that are opened from now on; open links are not affected.
    fn use_keys(&self, keys: LinkKeys);
}

/// The parts of the process that are needed to audit a renewal.
pub struct RenewalContext {
    /// Receives the audit records.
    pub trail: Arc<Trail>,
    /// Provides the stamp of the document in force.
    pub status_source: Arc<dyn StatusSource>,
    /// Provides the time of the records.
    pub clock: SteadyClock,
}

/// A handle to the task that watches key files; dropping it stops the task.
#[derive(Debug)]
pub struct Renewal(Option<AbortHandle>);

impl Drop for Renewal {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// Spawns a task that checks the key files every few seconds and loads changed ones.
///
/// Without it, a process whose certificate files were renewed would still lose all its links when
/// the certificate loaded at start expires. If the files cannot be used, the current keys stay in
/// use and an error is logged once for each content. Without mutual TLS, no task is spawned.
#[must_use]
pub fn watch(
    security: &LinkSecurity,
    target: Box<dyn UseKeys>,
    context: RenewalContext,
) -> Renewal {
    let LinkSecurity::MutualTls(files) = security else {
        return Renewal(None);
    };
    let watcher = FileWatcher { last_digest: digest(files), files: files.clone(), target, context };
    Renewal(Some(tokio::spawn(watcher.run()).abort_handle()))
}

struct FileWatcher {
    files: KeyFiles,
    last_digest: Option<Digest>,
    target: Box<dyn UseKeys>,
    context: RenewalContext,
}

impl FileWatcher {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let current = digest(&self.files);
            if current != self.last_digest {
                self.last_digest = current;
                self.reload();
            }
        }
    }

    fn reload(&self) {
        let subject = self.files.certificate_file.display().to_string();
        match LinkKeys::load(&LinkSecurity::MutualTls(self.files.clone())) {
            Ok(keys) => {
                self.target.use_keys(keys);
                self.record(subject);
            }
            Err(error) => log::error!(
                target: "security",
                certificate_file = subject.as_str(),
                cause = error.to_string().as_str();
                "cannot use the renewed keys; the current keys stay in use"
            ),
        }
    }

    fn record(&self, subject: String) {
        let RenewalContext { trail, status_source, clock } = &self.context;
        let change = Change::KeyRenewed { subject };
        trail.write(AuditRecord::new(clock.now().unix_ms, status_source.status().stamp, change));
    }
}

/// Returns the digest of all files, or none if one of them cannot be read.
fn digest(files: &KeyFiles) -> Option<Digest> {
    let mut all = Vec::new();
    for path in files.paths() {
        all.extend(std::fs::read(path).ok()?);
        all.extend_from_slice(FILE_SEPARATOR);
    }
    Some(Digest::of(&all))
}
