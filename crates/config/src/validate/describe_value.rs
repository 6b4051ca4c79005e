//! Descriptions of JSON values for fault messages: short enough for one line, without secrets.

use serde_json::Value;

/// Most characters of a text that a message quotes.
const MAX_SHOWN_CHARS: usize = 64;

/// Describes a value. If it is secret, texts and numbers are described by their type only (texts
/// also by their length); lists and objects always are.
pub(crate) fn describe_value(value: &Value, is_secret: bool) -> String {
    match value {
        Value::String(text) if is_secret => {
            format!("a text of {} characters", text.chars().count())
        }
        Value::String(text) => describe_text(text),
        Value::Number(_) if is_secret => "a number".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
        Value::Null | Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// Quotes a text, cut to [`MAX_SHOWN_CHARS`].
pub(crate) fn describe_text(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return Value::from(text).to_string();
    }
    let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{} and more", Value::from(shown))
}
