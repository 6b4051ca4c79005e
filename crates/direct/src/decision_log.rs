//! One line for each decision, on standard output, without ever waiting for the reader.

use crate::clock::{boot_now, wall_ms};
use std::fmt::{Display, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Lines that may wait for the reader. At 200 bytes a line this is about 200 KB.
const MOST_WAITING: usize = 1024;

/// Of them, lines that only failures and changes of belief may fill.
///
/// A burst of ordinary successes must not push out the lines that explain a failure.
const KEPT_FOR_FAILURES: usize = 256;

/// Writes decisions as lines of key=value pairs.
///
/// Lines go through a bounded buffer to a thread of their own. When the reader does not read, the
/// buffer fills up and lines are dropped and counted; requests never wait.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    waiting: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

/// Builds the fields of one line.
#[derive(Debug)]
pub struct Fields(String);

impl Fields {
    /// Adds one field; a value with spaces, quotes or control characters is quoted and escaped.
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
    /// Begins a log on standard output.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub fn start() -> std::io::Result<Self> {
        Self::start_with(Box::new(std::io::stdout()))
    }

    /// Begins a log on `output`.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub fn start_with(output: Box<dyn std::io::Write + Send>) -> std::io::Result<Self> {
        let (lines, received) = sync_channel::<String>(MOST_WAITING);
        let log = Self { lines, waiting: Arc::default(), dropped: Arc::default() };
        let (waiting, dropped) = (Arc::clone(&log.waiting), Arc::clone(&log.dropped));
        std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || write_all(output, &received, &waiting, &dropped))?;
        Ok(log)
    }

    /// Begins a line about `event`.
    #[must_use]
    pub fn fields(event: &str) -> Fields {
        let mut line = String::with_capacity(200);
        let _ = write!(line, "wall_ms={} boot_ms={} event={event}", wall_ms(), boot_now().0);
        Fields(line)
    }

    /// Writes a line that explains a failure or a change of belief.
    pub fn note(&self, fields: Fields) {
        self.send(fields, MOST_WAITING as u64);
    }

    /// Writes a line about the ordinary course of a request.
    pub fn note_routine(&self, fields: Fields) {
        self.send(fields, (MOST_WAITING - KEPT_FOR_FAILURES) as u64);
    }

    /// Lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn send(&self, fields: Fields, most: u64) {
        let line = fields.into_line();
        if self.waiting.load(Ordering::Relaxed) >= most {
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

/// Writes lines until the log is gone, and says how many were dropped as soon as one can be written.
///
/// Without that word, somebody who looks for a request in the log would take it for one that the
/// process has never seen.
fn write_all(
    mut output: Box<dyn std::io::Write + Send>,
    lines: &Receiver<String>,
    waiting: &AtomicU64,
    dropped: &AtomicU64,
) {
    let mut said = 0;
    for line in lines {
        waiting.fetch_sub(1, Ordering::Relaxed);
        let now_dropped = dropped.load(Ordering::Relaxed);
        if now_dropped > said {
            let told = DecisionLog::fields("log").with("outcome", "lines-dropped");
            let told = told.with("lines", now_dropped - said).with("lines_total", now_dropped);
            // What could not be said is said before a later line.
            if output.write_all(told.into_line().as_bytes()).is_ok() {
                said = now_dropped;
            }
        }
        // Nobody reads the log any more, so that it cannot say why; the metrics address counts it.
        if output.write_all(line.as_bytes()).is_err() {
            count_dropped(dropped);
        }
    }
}

fn count_dropped(dropped: &AtomicU64) {
    dropped.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("hickorycross_log_lines_dropped_total").increment(1);
}
