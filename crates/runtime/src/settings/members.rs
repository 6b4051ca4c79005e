//! The members of a JSON object, with their places in the text.

use miette::SourceSpan;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// One member; a repeated name gives several.
pub(super) struct Member<'t> {
    pub(super) name: String,
    pub(super) raw: &'t RawValue,
}

/// Reads the members of the object that a text holds.
pub(super) fn members(text: &str) -> Result<Vec<Member<'_>>, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let found = reader.deserialize_map(Members)?;
    reader.end()?;
    Ok(found)
}

/// The place of a member's value. The value borrows from the text, so that its address tells.
pub(super) fn span_of(text: &str, member: &Member<'_>) -> SourceSpan {
    let value = member.raw.get();
    let start = (value.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    SourceSpan::new(start.into(), value.len())
}

struct Members;

impl<'de> Visitor<'de> for Members {
    type Value = Vec<Member<'de>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut found = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            found.push(Member { name, raw: map.next_value()? });
        }
        Ok(found)
    }
}
