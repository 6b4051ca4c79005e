//! What the entry's command line answers: output, places of faults, exit codes.

use googletest::prelude::*;
use hickorycross_config::hash_api_key;
use hickorycross_entry::Settings;
use hickorycross_runtime::settings::Settings as _;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{
  "instance": "entry-1",
  "failure_domain": "navrangpura",
  "caller_address": "127.0.0.1:8080",
  "operator_address": "127.0.0.1:7401",
  "platform_url": "http://127.0.0.1:8500",
  "link_security": "development_unauthenticated"
}"#;

/// A directory that goes with the test.
struct Directory(PathBuf);

impl Directory {
    fn make(name: &str) -> Self {
        let name = format!("hickorycross-entry-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hickorycross-entry"));
    command.args(arguments);
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the entry runs")
}

fn text_of(output: &Output) -> String {
    let bytes = [output.stdout.clone(), output.stderr.clone()].concat();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn expect(arguments: &[&str], code: i32, parts: &[&str]) {
    let output = run(arguments);
    let text = text_of(&output);
    expect_that!(output.status.code(), some(eq(code)), "{arguments:?}: {text}");
    for part in parts {
        expect_that!(text, contains_substring(*part), "{arguments:?}");
    }
}

#[gtest]
fn commands_answer_as_documented() {
    let saraswati = example("saraswati.json").display().to_string();
    let other = example("wodoprzylacze.json").display().to_string();
    let directory = Directory::make("commands");
    let settings = directory.file("settings.json", SETTINGS);
    let broken = directory.file("document.json", r#"{"schema_version": 1}"#);
    expect(&["--help"], 0, &["First steps", "Exit codes", "demo", "completions"]);
    expect(&[], 2, &["Usage"]);
    expect(&["walk"], 2, &["unrecognized"]);
    expect(&["check"], 2, &["--settings", "--document"]);
    expect(&["check", "--settings", &settings], 0, &["the settings can be used"]);
    expect(&["check", "--settings", "no-such-file"], 2, &["cannot read the settings file"]);
    expect(&["check", "--document", &saraswati], 0, &["the document can be used"]);
    expect(&["check", "--document", &broken], 2, &["title", "teams", "routes", "balance"]);
    expect(&["check", "--document", "no-such-file"], 2, &["cannot read the document"]);
    expect(&["diff", &saraswati, &saraswati], 0, &["no change"]);
    expect(&["diff", &saraswati, &other], 0, &["title", "warning: team spelling-school-1"]);
    expect(&["diff", "--json", &saraswati, &other], 0, &["\"changes\"", "\"warnings\""]);
    expect(&["diff", &saraswati], 2, &["NEW"]);
    expect(&["completions", "bash"], 0, &["hickorycross-entry"]);
    expect(&["completions", "sundial"], 2, &["invalid value"]);
    expect(&["status", "http://127.0.0.1:9"], 1, &["cannot read"]);
    expect(&["run", "--settings", &broken], 2, &["instance", "caller_address"]);
}

#[gtest]
fn the_schema_is_the_one_in_the_docs() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/document.schema.json");
    let page = std::fs::read_to_string(page).expect("the page");
    let output = run(&["schema"]);
    expect_that!(String::from_utf8_lossy(&output.stdout), eq(page.as_str()));
}

/// Every fault of a settings file comes at once, with its place.
#[gtest]
fn faults_of_settings_point_into_the_file() {
    struct Case {
        name: &'static str,
        text: String,
        parts: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "types, missing, unknown and repeated fields together",
            text: SETTINGS
                .replace("127.0.0.1:8080", "here")
                .replace("\"instance\": \"entry-1\"", "\"open_requests\": -1, \"colour\": 1")
                .replace("\"platform_url\"", "\"operator_address\": \"127.0.0.1:7\", \"platform_url\""),
            parts: &["instance", "caller_address", "open_requests", "colour", "operator_address", "╭"],
        },
        Case {
            name: "values that do not fit",
            text: SETTINGS.replace("http://", "ftp://").replace(
                "\"instance\"",
                "\"body_limit_bytes\": 0, \"open_requests\": 0, \"log_filter\": \"=?=\", \"instance\"",
            ),
            parts: &["platform_url", "body_limit_bytes", "open_requests", "log_filter", "╭"],
        },
        Case { name: "no JSON", text: SETTINGS.replace(',', ";"), parts: &["not valid", "here"] },
        Case { name: "no object", text: "[]".to_owned(), parts: &["not valid", "object"] },
        Case {
            name: "half of the keys",
            text: SETTINGS.replace(
                "\"development_unauthenticated\"",
                "{\"mutual_tls\": {\"authority_file\": \"a\"}}",
            ),
            parts: &["link_security", "certificate_file"],
        },
    ];
    let directory = Directory::make("faults");
    for case in cases {
        let file = directory.file("settings.json", &case.text);
        let output = run(&["check", "--settings", &file]);
        let text = text_of(&output);
        expect_that!(output.status.code(), some(eq(2)), "{}: {text}", case.name);
        for part in case.parts {
            expect_that!(text, contains_substring(*part), "{}", case.name);
        }
    }
}

/// Flags go before the environment, and the environment before the file.
#[gtest]
fn flags_and_environment_override_the_file() {
    let directory = Directory::make("overrides");
    let file = directory.file("settings.json", SETTINGS);
    let without_instance = SETTINGS.replace("\"instance\": \"entry-1\",", "");
    let partial = directory.file("partial.json", &without_instance);
    expect(&["check", "--settings", &partial], 2, &["instance"]);
    expect(&["check", "--settings", &partial, "--instance", "entry-2"], 0, &[]);
    expect(&["check", "--settings", &file, "--open-requests", "0"], 2, &["open_requests"]);
    expect(&["check", "--settings", &file, "--open-requests", "many"], 2, &["open_requests"]);
    expect(&["check", "--settings", &file, "--link-key-file", "k"], 2, &["link_security"]);
    let with_environment = |flags: &[&str]| {
        let mut check = command(&["check", "--settings", &file]);
        check.args(flags).env("HICKORYCROSS_CALLER_ADDRESS", "nowhere");
        check.output().expect("the entry runs").status.code()
    };
    expect_that!(with_environment(&[]), some(eq(2)));
    expect_that!(with_environment(&["--caller-address", "127.0.0.1:1"]), some(eq(0)));
}

/// The list of fields is the one of the struct, and the page has each.
#[gtest]
fn every_field_is_listed_and_documented() {
    let mut settings: Settings = serde_json::from_str(SETTINGS).expect("settings");
    settings.caller_tls =
        Some(hickorycross_entry::CallerTls { certificate_file: "c".into(), key_file: "k".into() });
    let value = serde_json::to_value(&settings).expect("JSON");
    let of_struct: Vec<_> = value.as_object().expect("an object").keys().cloned().collect();
    let mut of_list: Vec<_> = Settings::FIELDS.iter().map(|field| field.name.to_owned()).collect();
    of_list.sort();
    expect_that!(of_list, eq(&of_struct));
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    for field in of_list {
        expect_that!(page, contains_substring(format!("| `{field}` |")));
    }
}

#[gtest]
fn keys_are_made_and_hashed() {
    let directory = Directory::make("keys");
    let path = directory.0.display().to_string();
    let make = ["keys", "make", "--directory", &path];
    let read = |name: &str| std::fs::read_to_string(directory.0.join(name)).unwrap_or_default();
    expect(&make, 0, &["authority.key.pem", "entry.pem", "agent.key.pem"]);
    let (authority, entry) = (read("authority.pem"), read("entry.pem"));
    expect(&make, 0, &[]);
    expect_that!(read("authority.pem"), eq(&authority));
    expect_that!(read("entry.pem"), not(eq(&entry)));
    std::fs::remove_file(directory.0.join("authority.key.pem")).expect("removed");
    expect(&make, 2, &["holds only one of"]);

    let mut hash = command(&["keys", "hash-key"]);
    let mut hash =
        hash.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("the entry runs");
    hash.stdin.take().expect("its input").write_all(b"example\n").expect("written");
    let output = hash.wait_with_output().expect("it ends");
    let expected = serde_json::to_value(hash_api_key("example")).expect("JSON");
    let printed = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    expect_that!(Some(printed.as_str()), eq(expected.as_str()));
}

// Symptom: changes are missing from an audit trail and nobody notices.
// Sequence: a record is taken out of the trail, or altered, before it is read.
// Cause: sequence and hashes not checked by whoever reads them.
#[gtest]
fn a_broken_audit_trail_is_reported() {
    let record = |sequence: u64, operator: &str| {
        format!(
            r#"{{"sequence":{sequence},"hash":"00","record":{{"at":1000,"actor":{{"operator":"{operator}"}},
            "stamp":{{"revision":1,"digest":0}},
            "change":{{"kind":"sign_in","operator":"{operator}","accepted":true}}}}}}"#
        )
    };
    struct Case {
        trail: String,
        arguments: &'static [&'static str],
        code: i32,
        part: &'static str,
    }
    let gap = format!("[{},{}]", record(4, "meena"), record(6, "ravi"));
    let altered = format!("[{},{}]", record(4, "meena"), record(5, "ravi"));
    let whole = format!("[{}]", record(4, "meena"));
    let cases = [
        Case { trail: gap, arguments: &[], code: 3, part: "expected record 5, found 6" },
        Case { trail: altered.clone(), arguments: &[], code: 3, part: "record 5 was altered" },
        Case { trail: altered, arguments: &["--actor", "meena"], code: 3, part: "record 5" },
        Case {
            trail: whole.clone(),
            arguments: &["--kind", "sign_in"],
            code: 0,
            part: "operator=\"meena\"",
        },
        Case {
            trail: whole,
            arguments: &["--text", "none"],
            code: 0,
            part: "records 1 to 3 are no longer kept",
        },
    ];
    for case in cases {
        let url = serve_once(case.trail);
        let arguments = [&["audit", url.as_str()], case.arguments].concat();
        expect(&arguments, case.code, &[case.part]);
    }
}

/// Answers one request with JSON.
fn serve_once(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("its address"));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close";
        let _ = write!(stream, "{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    });
    url
}
