//! A decision log whose reader is slow, stuck or gone.

use hickorycross_direct::DecisionLog;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Lines that may wait, and those of them that only failures may fill.
const MOST_WAITING: usize = 1_024;
const KEPT_FOR_FAILURES: usize = 256;
/// Many times what may wait.
const LINES: usize = 20_000;
/// Far above what so many lines take, and far below what a single wait for the reader would.
const NEVER_WAITS: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(20);

/// A pipe whose reader reads one line for each permission.
struct Pipe {
    permitted: Receiver<()>,
    written: Sender<String>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let gone = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        self.permitted.recv().map_err(|_| gone())?;
        let line = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(line).map_err(|_| gone())?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn pipe() -> (DecisionLog, Sender<()>, Receiver<String>) {
    let (permit, permitted) = channel();
    let (written, lines) = channel();
    let log = DecisionLog::start_with(Box::new(Pipe { permitted, written })).expect("a thread");
    (log, permit, lines)
}

// Symptom: an entry stands still, although nothing is wrong with it but the reader of its log.
// Sequence: the reader of standard output stops reading; the pipe is full; requests go on.
// Cause: a line written where the decision is made, which waits for the reader.
#[test]
fn a_reader_that_does_not_read_holds_nothing_up() {
    let (log, permit, lines) = pipe();
    let begun_at = Instant::now();
    for number in 0..LINES {
        log.note_ordinary(DecisionLog::fields("final").with("request", number));
    }
    assert!(begun_at.elapsed() < NEVER_WAITS, "{:?}", begun_at.elapsed());
    let ordinary_dropped = log.dropped();
    let least = (LINES - MOST_WAITING + KEPT_FOR_FAILURES - 1) as u64;
    assert!(ordinary_dropped >= least, "{ordinary_dropped} dropped");

    let failures = KEPT_FOR_FAILURES;
    (0..failures).for_each(|number| log.note(DecisionLog::fields("refuse").with("n", number)));
    assert_eq!(log.dropped(), ordinary_dropped, "failures have room of their own");

    let kept = LINES - ordinary_dropped as usize + failures;
    (0..=kept).for_each(|_| permit.send(()).expect("the log goes on"));
    let read: Vec<String> =
        (0..=kept).map(|_| lines.recv_timeout(PATIENCE).expect("a line")).collect();
    let of = |event: &str| read.iter().filter(|line| line.contains(event)).count();
    assert_eq!(of(" event=refuse "), failures);
    assert_eq!(of(" event=log "), 1, "it says that lines are missing");
    let told = format!("outcome=lines-dropped lines={ordinary_dropped} ");
    assert!(read.iter().any(|line| line.contains(&told)), "{told}");
}

// Symptom: the count of dropped lines is zero, and the log is empty.
// Sequence: the reader of standard output goes away; lines are written to nobody.
// Cause: an error of the write that was passed over.
#[test]
fn lines_for_a_reader_that_is_gone_are_counted() {
    let (log, permit, lines) = pipe();
    drop((permit, lines));
    log.note(DecisionLog::fields("start"));
    let until = Instant::now() + PATIENCE;
    while log.dropped() == 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(log.dropped(), 1);
}
