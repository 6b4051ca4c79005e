//! What the agent's command line answers.

use googletest::prelude::*;
use std::process::{Command, Output};

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    output: &'static str,
}

const CASES: [Case; 4] = [
    Case { name: "help", arguments: &["--help"], code: 0, output: "Exit codes" },
    Case { name: "no command", arguments: &[], code: 2, output: "Usage" },
    Case { name: "unknown command", arguments: &["walk"], code: 2, output: "unrecognized" },
    Case {
        name: "missing settings file",
        arguments: &["check", "--settings", "no-such-file.json"],
        code: 2,
        output: "cannot read the settings file",
    },
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickorycross-agent"))
        .args(arguments)
        .output()
        .expect("the agent runs")
}

#[gtest]
fn answers_are_as_documented() {
    for case in CASES {
        let output = run(case.arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        expect_that!(output.status.code(), some(eq(case.code)), "{}", case.name);
        expect_that!(text, contains_substring(case.output), "{}", case.name);
    }
}
