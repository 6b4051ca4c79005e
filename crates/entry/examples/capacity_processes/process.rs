//! Real processes: their start, and what the kernel says of them.

use hickorycross_core::InstanceId;
use miette::IntoDiagnostic;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The kernel counts processor time in hundredths of a second.
const TICK_S: f64 = 0.01;
const KIB: f64 = 1024.0;
/// Fields of `/proc/PID/stat` after the program's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// A process and its settings file; both go when this is dropped.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_s: f64,
    pub(crate) resident_bytes: f64,
    pub(crate) peak_resident_bytes: f64,
}

impl Process {
    pub(crate) fn spawn<T: Serialize>(
        program: &Path,
        name: &InstanceId,
        settings: &T,
    ) -> miette::Result<Self> {
        let file = format!("hickorycross-capacity-{}-{name}.json", std::process::id());
        let file = std::env::temp_dir().join(file);
        let text = serde_json::to_string_pretty(settings).into_diagnostic()?;
        std::fs::write(&file, text).into_diagnostic()?;
        let child = Command::new(program)
            .arg("run")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .into_diagnostic()?;
        Ok(Self { child, settings: file })
    }

    pub(crate) fn usage(&self) -> Usage {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = std::fs::read_to_string(proc.join("stat")).unwrap_or_default();
        let status = std::fs::read_to_string(proc.join("status")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |field: usize| {
            fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or(f64::NAN)
        };
        Usage {
            cpu_s: (ticks(USER_FIELD) + ticks(SYSTEM_FIELD)) * TICK_S,
            resident_bytes: kib_line(&status, "VmRSS:") * KIB,
            peak_resident_bytes: kib_line(&status, "VmHWM:") * KIB,
        }
    }
}

fn kib_line(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A program of this build: examples stand in a directory beside the programs.
pub(crate) fn program(name: &str) -> miette::Result<PathBuf> {
    let own = std::env::current_exe().into_diagnostic()?;
    let directory = own.parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let program = directory.join(name);
    if program.exists() {
        return Ok(program);
    }
    Err(miette::miette!("build the programs first: {} is missing", program.display()))
}
