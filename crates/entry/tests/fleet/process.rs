//! Starts, signals and stops one process of the fleet.

use hickorycross_core::InstanceId;
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// A process with its settings file. Dropping it kills the process and deletes the file.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
}

#[allow(dead_code, reason = "each test file uses the parts that it needs")]
impl Process {
    /// Writes a settings file and starts a program with it.
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

    /// Kills the process with SIGKILL and waits for it to exit.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP, as on a paused machine.
    pub(crate) fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM, which starts a drain.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status, or `None` while the process runs.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
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

/// Returns the path of the entry's program.
pub(crate) fn entry_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hickorycross-entry"))
}

/// Returns the path of the agent's program, which is in the same directory as the entry's. Cargo
/// passes a test only the paths of its own package's programs.
pub(crate) fn agent_program() -> PathBuf {
    entry_program().with_file_name("hickorycross-agent")
}
