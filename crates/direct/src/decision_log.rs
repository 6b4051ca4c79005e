//! One line for each decision, on standard output, without ever waiting for the reader.

use crate::clock::{boot_now, wall_ms};
use std::fmt::{Display, Write as _};
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

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
    pub fn start_with(mut output: Box<dyn std::io::Write + Send>) -> std::io::Result<Self> {
        let (lines, received) = sync_channel::<String>(MOST_WAITING);
        let waiting = Arc::new(AtomicU64::new(0));
        let drained = Arc::clone(&waiting);
        std::thread::Builder::new().name("decision-log".to_owned()).spawn(move || {
            for line in received {
                drained.fetch_sub(1, Ordering::Relaxed);
                // Nobody can be told that the log's own reader is gone; the count of dropped lines
                // shows it on the metrics address.
                let _ = output.write_all(line.as_bytes());
            }
        })?;
        Ok(Self { lines, waiting, dropped: Arc::new(AtomicU64::new(0)) })
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
    pub fn note_ordinary(&self, fields: Fields) {
        self.send(fields, (MOST_WAITING - KEPT_FOR_FAILURES) as u64);
    }

    /// Lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn send(&self, fields: Fields, most: u64) {
        let mut line = fields.0;
        line.push('\n');
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
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("hickorycross_log_lines_dropped_total").increment(1);
    }
}
