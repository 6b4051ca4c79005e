//! Takes up renewed key files without a restart.

use super::{KeyFiles, LinkKeys, LinkSecurity};
use crate::clock::SteadyClock;
use crate::operators::StatusSource;
use crate::trail::Trail;
use hickorycross_config::Digest;
use hickorycross_core::audit::{AuditRecord, Change};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Pause between two looks at the files.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Between the contents of two files, so that no other split of the bytes gives the same digest.
const FILE_SEPARATOR: &[u8] = b"\0next file\0";

/// Gives new keys to whatever opens and accepts links.
pub trait UseKeys: Send + 'static {
    /// Uses these keys for links that begin from now on; links that are up go on.
    fn use_keys(&self, keys: LinkKeys);
}

/// What a renewal writes to and reads from.
pub struct RenewalContext {
    /// Gets the audit record.
    pub trail: Arc<Trail>,
    /// Knows the document in force.
    pub status_source: Arc<dyn StatusSource>,
    /// Gives the moment of the record.
    pub clock: SteadyClock,
}

/// Looks after key files until it is dropped.
#[derive(Debug)]
pub struct Renewal(Option<AbortHandle>);

impl Drop for Renewal {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// Looks at the key files every few seconds and uses what has changed.
///
/// A certificate that runs out while its renewed file lies ready would cut a process off: one would
/// see all its links fail at once, at the certificate's last moment. A file that cannot be used
/// changes nothing: the keys before stay in use and an error is logged, once for each content.
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
                "renewed keys cannot be used; the ones before stay"
            ),
        }
    }

    fn record(&self, subject: String) {
        let RenewalContext { trail, status_source, clock } = &self.context;
        let change = Change::KeyRenewed { subject };
        trail.write(AuditRecord::new(clock.now().unix_ms, status_source.status().stamp, change));
    }
}

/// Digest of all files; none while one cannot be read.
fn digest(files: &KeyFiles) -> Option<Digest> {
    let mut all = Vec::new();
    for path in files.paths() {
        all.extend(std::fs::read(path).ok()?);
        all.extend_from_slice(FILE_SEPARATOR);
    }
    Some(Digest::of(&all))
}
