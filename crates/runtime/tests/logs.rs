//! Tests of the log layout.

use googletest::prelude::*;
use hickorycross_runtime::logs::SingleLineLayout;
use logforth::layout::Layout;
use logforth::record::{Level, Record};

/// Guards against forged log lines: a caller sends a path or a header with a line feed, and the
/// value is logged without escapes, so that the rest of it looks like a line of the process.
#[gtest]
fn line_breaks_in_values_are_escaped() {
    let values = [
        "plain",
        "a\nlevel=ERROR",
        "a\nfeed",
        "a\r\nb",
        "a\u{2028}b\u{2029}c\u{85}d",
        "\u{1b}[31mred",
        "a \"quoted\" b=c",
    ];
    for value in values {
        let key_values = [(logforth::kv::Key::new("path"), logforth::kv::Value::str(value))];
        let builder = Record::builder().level(Level::Info).target("request");
        let line = SingleLineLayout::new()
            .format(
                &builder.payload(format_args!("{value}")).key_values(key_values.as_slice()).build(),
                &[],
            )
            .expect("a line");
        let line = String::from_utf8(line).expect("UTF-8");
        expect_that!(line.chars().any(char::is_control), eq(false), "{value:?}: {line:?}");
        expect_that!(line.lines().count(), eq(1), "{value:?}");
        expect_that!(line.contains(['\u{2028}', '\u{2029}']), eq(false), "{value:?}");
        expect_that!(line, contains_substring(" path="));
    }
}
