//! Tests the decision log with a reader that is slow, stopped or gone.

use hickorycross_direct::DecisionLog;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Length of the log's queue, and the part of it that is reserved for failures.
const MAX_QUEUED_LINES: usize = 1_024;
const RESERVED_FOR_FAILURES: usize = 256;
/// Many times the length of the queue.
const LINES: usize = 20_000;
/// Much longer than it takes to queue or drop all lines, much shorter than one wait for the reader.
const NON_BLOCKING_LIMIT: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(20);

/// A pipe whose reader reads one line for each permit.
struct Pipe {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let broken_pipe = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        self.permits.recv().map_err(|_| broken_pipe())?;
        let line = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(line).map_err(|_| broken_pipe())?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log_into_pipe() -> (DecisionLog, Sender<()>, Receiver<String>) {
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let log = DecisionLog::start_with(Box::new(Pipe { permits, written })).expect("the log starts");
    (log, permit, lines)
}

/// Guards against an entry that blocks because the reader of its log has stopped: if a line were
/// written by the thread that takes the decision, that thread would wait once the pipe is full.
#[test]
fn a_stopped_reader_does_not_block_the_log() {
    let (log, permit, lines) = log_into_pipe();
    let started_at = Instant::now();
    for number in 0..LINES {
        log.note_routine(DecisionLog::fields("final").with("request", number));
    }
    assert!(started_at.elapsed() < NON_BLOCKING_LIMIT, "{:?}", started_at.elapsed());
    let routine_dropped = log.dropped();
    let min_dropped = (LINES - MAX_QUEUED_LINES + RESERVED_FOR_FAILURES - 1) as u64;
    assert!(routine_dropped >= min_dropped, "{routine_dropped} dropped");

    let failures = RESERVED_FOR_FAILURES;
    (0..failures).for_each(|number| log.note(DecisionLog::fields("refuse").with("n", number)));
    assert_eq!(log.dropped(), routine_dropped, "a part of the queue is reserved for failures");

    let kept = LINES - routine_dropped as usize + failures;
    let read = read_kept(&permit, &lines, kept);
    let count_of = |event: &str| read.iter().filter(|line| line.contains(event)).count();
    assert_eq!(count_of(" event=refuse "), failures);
    assert_eq!(count_of(" event=final "), kept - failures);
    assert_drops_reported(&read, routine_dropped);
}

/// Guards against lost counts when more lines are dropped while the writer thread waits for the
/// reader with a report of dropped lines. It must report the later ones before its next line. The
/// number of reports depends on when the thread runs; the sum of their counts does not.
#[test]
fn lines_dropped_after_a_report_of_dropped_lines_are_reported_too() {
    let (log, permit, lines) = log_into_pipe();
    let fill = || {
        (0..LINES).for_each(|n| log.note_routine(DecisionLog::fields("final").with("n", n)));
    };
    fill();
    let first_dropped = log.dropped();
    assert!(first_dropped > 0);
    // The first line and the first report of dropped lines.
    let before: Vec<String> = (0..2).map(|_| read_one(&permit, &lines)).collect();
    assert!(before.iter().any(|line| line.contains(" event=log ")), "{before:?}");
    fill();
    let all_dropped = log.dropped();
    assert!(all_dropped > first_dropped);
    let kept = 2 * LINES - all_dropped as usize;
    let read = read_kept(&permit, &lines, kept - 1);
    let all_lines: Vec<String> = before.into_iter().chain(read).collect();
    assert_drops_reported(&all_lines, all_dropped);
}

fn read_one(permit: &Sender<()>, lines: &Receiver<String>) -> String {
    permit.send(()).expect("the writer thread runs");
    lines.recv_timeout(TIMEOUT).expect("a line is written in time")
}

/// Reads until all `kept` lines have arrived. Returns them with the reports of dropped lines
/// between them.
fn read_kept(permit: &Sender<()>, lines: &Receiver<String>, kept: usize) -> Vec<String> {
    let mut read = Vec::new();
    while read.iter().filter(|line: &&String| !line.contains(" event=log ")).count() < kept {
        read.push(read_one(permit, lines));
    }
    read
}

/// Asserts that each dropped line was reported once, and that the last report has their total.
fn assert_drops_reported(read: &[String], dropped: u64) {
    let field = |line: &str, name: &str| -> u64 {
        let (_, rest) = line.split_once(name).expect(name);
        rest.split_whitespace().next().and_then(|it| it.parse().ok()).expect(name)
    };
    let reports: Vec<&String> = read.iter().filter(|line| line.contains(" event=log ")).collect();
    assert!(reports.iter().all(|line| line.contains(" outcome=lines-dropped ")), "{reports:?}");
    assert!(reports.iter().all(|line| field(line, " lines=") > 0), "{reports:?}");
    assert_eq!(
        reports.iter().map(|line| field(line, " lines=")).sum::<u64>(),
        dropped,
        "{reports:?}"
    );
    assert_eq!(field(reports.last().expect("a report"), " lines_total="), dropped, "{reports:?}");
}

/// Guards against lost lines that are not counted: when the reader of the output goes away, every
/// write fails, and the writer thread must not ignore that error.
#[test]
fn lines_for_a_reader_that_is_gone_are_counted() {
    let (log, permit, lines) = log_into_pipe();
    drop((permit, lines));
    log.note(DecisionLog::fields("start"));
    let until = Instant::now() + TIMEOUT;
    while log.dropped() == 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(log.dropped(), 1);
}
