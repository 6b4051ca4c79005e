//! Tests of the agent's command line: exit codes, output and checks of settings.

use googletest::prelude::*;
use hickorycross_agent::Settings;
use hickorycross_runtime::settings::Settings as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SETTINGS: &str = r#"{
  "instance": "agent-1",
  "failure_domain": "navrangpura",
  "backend_server": "runner-1",
  "link_address": "127.0.0.1:7400",
  "operator_address": "127.0.0.1:7401",
  "guard_address": "127.0.0.1:7402",
  "backend_url": "http://127.0.0.1:8000",
  "platform_url": "http://127.0.0.1:8500",
  "link_security": "development_unauthenticated"
}"#;

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    exit_code: i32,
    output: &'static str,
}

const CASES: [Case; 8] = [
    Case { name: "help", arguments: &["--help"], exit_code: 0, output: "Exit codes" },
    Case { name: "no command", arguments: &[], exit_code: 2, output: "Usage" },
    Case { name: "unknown command", arguments: &["walk"], exit_code: 2, output: "unrecognized" },
    Case { name: "no settings", arguments: &["run"], exit_code: 2, output: "--settings" },
    Case {
        name: "missing settings file",
        arguments: &["check", "--settings", "no-such-file.json"],
        exit_code: 2,
        output: "cannot read the settings file",
    },
    Case {
        name: "completions",
        arguments: &["completions", "zsh"],
        exit_code: 0,
        output: "#compdef",
    },
    Case {
        name: "status of an unreachable agent",
        arguments: &["status", "http://127.0.0.1:9"],
        exit_code: 1,
        output: "cannot read",
    },
    Case {
        name: "audit of an unreachable agent",
        arguments: &["audit", "http://127.0.0.1:9"],
        exit_code: 1,
        output: "cannot read",
    },
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickorycross-agent"))
        .args(arguments)
        .output()
        .expect("the agent runs")
}

fn text_of(output: Output) -> String {
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[gtest]
fn exit_codes_and_output_are_as_documented() {
    for case in CASES {
        let output = run(case.arguments);
        expect_that!(output.status.code(), some(eq(case.exit_code)), "{}", case.name);
        expect_that!(text_of(output), contains_substring(case.output), "{}", case.name);
    }
}

/// A temporary settings file, removed when dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn create(name: &str, text: &str) -> Self {
        let name = format!("hickorycross-agent-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file");
        Self(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[gtest]
fn check_reports_all_invalid_settings_at_once() {
    let invalid = SETTINGS
        .replace("127.0.0.1:7402", "10.0.0.1:7402")
        .replace("http://", "https://")
        .replace("\"instance\"", "\"health_path\": \"health\", \"instance\"");
    let valid = TemporaryFile::create("valid", SETTINGS);
    let invalid = TemporaryFile::create("invalid", &invalid);
    let output = run(&["check", "--settings", &valid.0.display().to_string()]);
    expect_that!(output.status.code(), some(eq(0)), "{}", text_of(output));
    let output = run(&["check", "--settings", &invalid.0.display().to_string()]);
    expect_that!(output.status.code(), some(eq(2)));
    let text = text_of(output);
    for field in ["guard_address", "backend_url", "platform_url", "health_path"] {
        expect_that!(text, contains_substring(format!("{field}: found")));
    }
}

/// `Settings::FIELDS` lists the same fields as the struct, and docs/SETTINGS.md documents each.
#[gtest]
fn every_field_is_listed_and_documented() {
    let settings: Settings = serde_json::from_str(SETTINGS).expect("settings");
    let value = serde_json::to_value(&settings).expect("JSON");
    let struct_fields: Vec<_> = value.as_object().expect("an object").keys().cloned().collect();
    let mut listed_fields: Vec<_> =
        Settings::FIELDS.iter().map(|field| field.name.to_owned()).collect();
    listed_fields.sort();
    expect_that!(listed_fields, eq(&struct_fields));
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    for field in listed_fields {
        expect_that!(page, contains_substring(format!("| `{field}` |")));
    }
}
