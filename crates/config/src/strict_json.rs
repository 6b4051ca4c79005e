//! Reads JSON and reports every repeated key.
//!
//! Plain parsers keep the last of two members of one name. An operator who pastes a second
//! `limit` below the first would see one and run the other, so a repeated key is a fault.

use crate::fault::Fault;
use crate::path::Path;
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Reads a JSON value and adds a fault for each repeated key.
///
/// # Errors
///
/// The parser's error where the bytes are not JSON.
pub(crate) fn read(bytes: &[u8], faults: &mut Vec<Fault>) -> Result<Value, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = Seed { path: Path::Root, faults }.deserialize(&mut reader)?;
    reader.end()?;
    Ok(value)
}

struct Seed<'p, 'f> {
    path: Path<'p>,
    faults: &'f mut Vec<Fault>,
}

impl<'de> DeserializeSeed<'de> for Seed<'_, '_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_, '_> {
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
            let path = self.path.entry(entries.len());
            match list.next_element_seed(Seed { path, faults: &mut *self.faults })? {
                Some(entry) => entries.push(entry),
                None => return Ok(Value::Array(entries)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = self.path.member(&key);
            let member = map.next_value_seed(Seed { path, faults: &mut *self.faults })?;
            if members.contains_key(&key) {
                self.faults.push(Fault::new(&path, "a repeated key", "each key once"));
            }
            members.insert(key, member);
        }
        Ok(Value::Object(members))
    }
}
