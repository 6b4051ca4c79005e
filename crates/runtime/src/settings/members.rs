//! Parsing of a JSON object into its members, with their positions in the text.

use miette::SourceSpan;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// A member of the object. A name that occurs repeatedly has several members.
pub(super) struct Member<'t> {
    pub(super) name: String,
    pub(super) raw: &'t RawValue,
}

/// Parses a text that contains a JSON object, and returns its members.
pub(super) fn members(text: &str) -> Result<Vec<Member<'_>>, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let found = reader.deserialize_map(MembersVisitor)?;
    reader.end()?;
    Ok(found)
}

/// Returns the position of a member's value in the text. The value borrows from the text, so the
/// position is the difference of their addresses.
pub(super) fn span_of(text: &str, member: &Member<'_>) -> SourceSpan {
    let value = member.raw.get();
    let start = (value.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    SourceSpan::new(start.into(), value.len())
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
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
