//! A log of decisions on standard output that never blocks on its reader.

use crate::clock::{boot_now, wall_ms};
use std::fmt::{Display, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Most lines that are queued for the writer thread: about 200 KB at 200 bytes per line.
const MAX_QUEUED_LINES: usize = 1024;

/// Part of the queue that is reserved for failures and state changes, so that a burst of routine
/// lines cannot displace the lines that explain a failure.
const RESERVED_FOR_FAILURES: usize = 256;

/// Writes lines of key=value pairs, one for each decision.
///
/// Lines go through a bounded queue to a writer thread. When the reader of the output is too slow,
/// the queue fills up, and further lines are dropped and counted; requests never wait.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    waiting: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

/// A line that is being built field by field.
#[derive(Debug)]
pub struct Fields(String);

impl Fields {
    /// Adds a field. A value that is empty or has spaces, quotes, control or non-ASCII characters is
    /// quoted and escaped.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Display) -> Self {
        let start = self.0.len() + name.len() + 2;
        let _ = write!(self.0, " {name}={value}");
        let is_plain = |character: char| character.is_ascii_graphic() && character != '"';
        if !self.0[start..].chars().all(is_plain) || self.0.len() == start {
            let quoted = format!("{:?}", &self.0[start..]);
            self.0.truncate(start);
            self.0.push_str(&quoted);
        }
        self
    }

    fn into_line(self) -> String {
        let mut line = self.0;
        line.push('\n');
        line
    }

    /// Adds a field if there is a value.
    #[must_use]
    pub fn with_some(self, name: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }
}

impl DecisionLog {
    /// Starts a log on standard output.
    ///
    /// # Errors
    ///
    /// When the writer thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        Self::start_with(Box::new(std::io::stdout()))
    }

    /// Starts a log on `output`.
    ///
    /// # Errors
    ///
    /// When the writer thread cannot be started.
    pub fn start_with(output: Box<dyn std::io::Write + Send>) -> std::io::Result<Self> {
        let (lines, received) = sync_channel::<String>(MAX_QUEUED_LINES);
        let log = Self { lines, waiting: Arc::default(), dropped: Arc::default() };
        let (waiting, dropped) = (Arc::clone(&log.waiting), Arc::clone(&log.dropped));
        std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || write_all(output, &received, &waiting, &dropped))?;
        Ok(log)
    }

    /// Starts a line about `event`, with the present time.
    #[must_use]
    pub fn fields(event: &str) -> Fields {
        let mut line = String::with_capacity(200);
        let _ = write!(line, "wall_ms={} boot_ms={} event={event}", wall_ms(), boot_now().0);
        Fields(line)
    }

    /// Queues a line about a failure or a change of state, for which a part of the queue is
    /// reserved.
    pub fn note(&self, fields: Fields) {
        self.send(fields, MAX_QUEUED_LINES as u64);
    }

    /// Queues a line about the normal course of a request.
    pub fn note_routine(&self, fields: Fields) {
        self.send(fields, (MAX_QUEUED_LINES - RESERVED_FOR_FAILURES) as u64);
    }

    /// Returns the number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn send(&self, fields: Fields, max_queued: u64) {
        let line = fields.into_line();
        if self.waiting.load(Ordering::Relaxed) >= max_queued {
            self.count_dropped();
            return;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.count_dropped();
        }
    }

    fn count_dropped(&self) {
        count_dropped(&self.dropped);
    }
}

/// Writes queued lines until all handles of the log are dropped, and reports how many lines were
/// dropped before the next line that is written.
///
/// Without that report, a request that is missing from the log would look like one that never
/// reached the process.
fn write_all(
    mut output: Box<dyn std::io::Write + Send>,
    lines: &Receiver<String>,
    waiting: &AtomicU64,
    dropped: &AtomicU64,
) {
    let mut reported = 0;
    for line in lines {
        waiting.fetch_sub(1, Ordering::Relaxed);
        let now_dropped = dropped.load(Ordering::Relaxed);
        if now_dropped > reported {
            let report = DecisionLog::fields("log").with("outcome", "lines-dropped");
            let report =
                report.with("lines", now_dropped - reported).with("lines_total", now_dropped);
            // If this fails, the count is included in the report before a later line.
            if output.write_all(report.into_line().as_bytes()).is_ok() {
                reported = now_dropped;
            }
        }
        // The output is closed, so the lost line is visible in the metrics only.
        if output.write_all(line.as_bytes()).is_err() {
            count_dropped(dropped);
        }
    }
}

fn count_dropped(dropped: &AtomicU64) {
    dropped.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("hickorycross_log_lines_dropped_total").increment(1);
}
