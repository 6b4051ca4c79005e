//! Wording of a value found, short enough for one line and without secrets.

use serde_json::Value;

/// Longest part of a text that a message quotes, in characters.
const MAX_SHOWN_CHARS: usize = 64;

/// Words a value; a secret one, or one of an unknown field, by its kind alone.
pub(crate) fn found(value: &Value, secret: bool) -> String {
    match value {
        Value::String(text) if secret => format!("a text of {} characters", text.chars().count()),
        Value::String(text) => found_text(text),
        Value::Number(_) if secret => "a number".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
        Value::Null | Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// Words a text, quoted and shortened.
pub(crate) fn found_text(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return Value::from(text).to_string();
    }
    let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{} and more", Value::from(shown))
}
