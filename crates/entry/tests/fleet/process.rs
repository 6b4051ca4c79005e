//! One real process of the fleet.

use hickorycross_core::InstanceId;
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// A process and its settings file; both go when this is dropped.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
}

#[allow(dead_code, reason = "each test file uses the parts that it needs")]
impl Process {
    /// Starts a program with settings.
    pub(crate) fn spawn<T: Serialize>(program: &Path, name: &InstanceId, settings: &T) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let file = format!("hickorycross-{}-{number}-{name}.json", std::process::id());
        let file = std::env::temp_dir().join(file);
        let text = serde_json::to_string_pretty(settings).expect("settings in JSON");
        std::fs::write(&file, text).expect("a settings file");
        let child = Command::new(program)
            .arg("run")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        Self { child, settings: file }
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it as a paused machine would.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to drain.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// How it ended; none while it runs.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("a signal");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The entry's program.
pub(crate) fn entry_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hickorycross-entry"))
}

/// The agent's program. Cargo names only a package's own programs to its tests; the agent's stands
/// beside the entry's.
pub(crate) fn agent_program() -> PathBuf {
    entry_program().with_file_name("hickorycross-agent")
}
