//! A JSON parser that reports every repeated key of an object.
//!
//! Common parsers silently keep the last of several members with the same key. An operator who
//! pastes a second `limit` below the first could read one while the fleet applies the other, so a
//! repeated key is a fault.

use crate::fault::Fault;
use crate::json_path::JsonPath;
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Parses a JSON value and adds a fault for each repeated key.
///
/// # Errors
///
/// Returns the parser's error if the bytes are not one JSON value.
pub(crate) fn parse_value(
    bytes: &[u8],
    faults: &mut Vec<Fault>,
) -> Result<Value, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = ValueSeed { path: JsonPath::Root, faults }.deserialize(&mut reader)?;
    reader.end()?;
    Ok(value)
}

/// Deserialises the value at a path and collects the faults of its members.
struct ValueSeed<'p, 'f> {
    path: JsonPath<'p>,
    faults: &'f mut Vec<Fault>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_, '_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_, '_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        loop {
            let path = self.path.element(entries.len());
            match list.next_element_seed(ValueSeed { path, faults: &mut *self.faults })? {
                Some(entry) => entries.push(entry),
                None => return Ok(Value::Array(entries)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = self.path.member(&key);
            let member = map.next_value_seed(ValueSeed { path, faults: &mut *self.faults })?;
            if members.contains_key(&key) {
                self.faults.push(Fault::new(&path, "a repeated key", "each key once"));
            }
            members.insert(key, member);
        }
        Ok(Value::Object(members))
    }
}
