//! A draft of the document. It lives in the form alone; the server keeps nothing of it.
//!
//! A draft may be faulty, so it is JSON and not a `Document`. It carries the document that it began
//! from, so that a change of the document in force meanwhile can be told from the draft's own.

use super::fields::{Field, KEY_HASHES, Kind};
use super::place::Place;
use super::posted::Fields;
use crate::console_state::ActiveDocument;
use hickorycross_config::{Digest, Document, Fault, SCHEMA_VERSION, Stamp, hash_api_key, parse};
use serde_json::{Map, Value, json};

/// What every key made here begins with, so that a leaked one is recognised.
const KEY_PREFIX: &str = "hck-";

/// A draft.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    /// Stamp of the document that it began from; [`Stamp::NONE`] without one.
    pub(super) base: Stamp,
    /// That document.
    pub(super) base_document: Value,
    /// The draft itself.
    pub(super) document: Value,
}

impl Draft {
    /// A draft with nothing in it, to replace what is in force.
    pub(super) fn empty(in_force: Option<&ActiveDocument>) -> Self {
        let document = json!({
            "schema_version": SCHEMA_VERSION,
            "failure_domains": [], "tiers": [], "teams": [], "backend_servers": [],
            "model_groups": [], "routes": [], "balance": {}
        });
        Self { document, ..Self::of(in_force) }
    }

    /// A draft that equals what is in force.
    pub(super) fn of(in_force: Option<&ActiveDocument>) -> Self {
        let base = in_force.map_or(Stamp::NONE, |one| one.stamp);
        let document = in_force.map_or(Value::Null, |one| json_of(&one.document));
        Self { base, base_document: document.clone(), document }
    }

    /// A draft from a text that an operator pasted; none when it is no JSON object.
    pub(super) fn pasted(in_force: Option<&ActiveDocument>, text: &str) -> Option<Self> {
        let document: Value = serde_json::from_str(text).ok()?;
        document.is_object().then(|| Self { document, ..Self::of(in_force) })
    }

    /// Reads a draft out of a form; none when the form is not one of ours.
    pub(super) fn read(fields: &Fields) -> Option<Self> {
        let digest = u64::from_str_radix(fields.get("base_digest")?, 16).ok()?;
        let revision = fields.get("base_revision")?.parse().ok()?;
        let document: Value = serde_json::from_str(fields.get("draft")?).ok()?;
        let base_document = serde_json::from_str(fields.get("base_document")?).ok()?;
        let base = Stamp { revision, digest: Digest(digest) };
        document.is_object().then_some(Self { base, base_document, document })
    }

    /// Every fault, or the valid document.
    pub(super) fn judge(&self) -> Result<Document, Vec<Fault>> {
        let document = parse(self.document.to_string().as_bytes())?;
        parse(document.canonical_json().as_bytes())
    }

    /// What a page shows: an entry, a list or the whole.
    pub(super) fn at(&self, place: Place) -> &Value {
        let whole = &self.document;
        let part = if place.section.key.is_empty() { whole } else { &whole[place.section.key] };
        place.index.map_or(part, |index| &part[index])
    }

    /// The entries of a list.
    pub(super) fn entries(&self, key: &str) -> &[Value] {
        self.document[key].as_array().map_or(&[], Vec::as_slice)
    }

    /// Takes over what was filled in on a page.
    pub(super) fn fill(&mut self, place: Place, fields: &Fields) {
        let Some(part) = self.part_mut(place) else { return };
        for field in place.section.fields {
            fill_field(part, field, fields);
        }
    }

    /// Adds an empty entry to a list and gives its index.
    pub(super) fn add(&mut self, key: &str) -> usize {
        let list = &mut self.document[key];
        if !list.is_array() {
            *list = json!([]);
        }
        let entries = list.as_array_mut().expect("it was made an array");
        entries.push(json!({}));
        entries.len() - 1
    }

    /// Removes an entry of a list.
    pub(super) fn remove(&mut self, place: Place) {
        let entries = self.document[place.section.key].as_array_mut();
        if let (Some(entries), Some(index)) = (entries, place.index)
            && index < entries.len()
        {
            entries.remove(index);
        }
    }

    /// Makes an API key for a team; the draft gets its hash, the caller of this the key.
    pub(super) fn make_key(&mut self, team: Place) -> Option<String> {
        let key = format!("{KEY_PREFIX}{}", hex::encode(super::credentials::random_bytes()));
        let hashes = self.part_mut(team)?.entry(KEY_HASHES).or_insert_with(|| json!([]));
        hashes.as_array_mut()?.push(json_of(&hash_api_key(&key)));
        Some(key)
    }

    fn part_mut(&mut self, place: Place) -> Option<&mut Map<String, Value>> {
        let mut part = &mut self.document;
        if !place.section.key.is_empty() {
            part = part.get_mut(place.section.key)?;
        }
        if let Some(index) = place.index {
            part = part.get_mut(index)?;
        }
        part.as_object_mut()
    }
}

/// Any of the document's types as JSON.
pub(super) fn json_of<T: serde::Serialize>(part: &T) -> Value {
    serde_json::to_value(part).unwrap_or_default()
}

/// Reads the value at a path of keys.
pub(super) fn value_at<'a>(part: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(part, |part, key| part.get(key))
}

fn fill_field(part: &mut Map<String, Value>, field: &Field, fields: &Fields) {
    let text = fields.get(field.path);
    match field.kind {
        Kind::Variant(variants) => choose_variant(part, field.path, variants, text),
        Kind::Flag => put(part, field.path, Some(Value::Bool(text.is_some()))),
        _ => {
            if let Some(text) = text {
                put(part, field.path, value_of(field.kind, text));
            }
        }
    }
}

/// A number that cannot be read stays a text, so that validation shows it beside its field.
fn value_of(kind: Kind, text: &str) -> Option<Value> {
    let trimmed = text.trim();
    match kind {
        Kind::Lines => {
            let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
            Some(lines.map(Value::from).collect())
        }
        Kind::Number if !trimmed.is_empty() => Some(number_of(trimmed)),
        _ if trimmed.is_empty() => None,
        _ => Some(Value::from(trimmed)),
    }
}

fn number_of(text: &str) -> Value {
    let whole = text.parse::<u64>().map(Value::from);
    let decimal = || text.parse::<f64>().ok().filter(|number| number.is_finite()).map(Value::from);
    whole.ok().or_else(decimal).unwrap_or_else(|| Value::from(text))
}

fn choose_variant(
    part: &mut Map<String, Value>,
    path: &str,
    variants: &[&str],
    chosen: Option<&str>,
) {
    let Some(chosen) = chosen.filter(|chosen| variants.contains(chosen)) else { return };
    if part.get(path).is_none_or(|held| held.get(chosen).is_none()) {
        part.insert(path.to_owned(), json!({ chosen: {} }));
    }
}

/// Sets or removes the value at a path. Fields of a variant that was not chosen are left out.
fn put(part: &mut Map<String, Value>, path: &str, value: Option<Value>) {
    let Some((key, rest)) = path.split_once('.') else {
        match value {
            Some(value) => part.insert(path.to_owned(), value),
            None => part.remove(path),
        };
        return;
    };
    let is_variant = rest.contains('.');
    if !part.get(key).is_some_and(Value::is_object) {
        if is_variant || value.is_none() {
            return;
        }
        part.insert(key.to_owned(), json!({}));
    }
    let Some(inner) = part.get_mut(key).and_then(Value::as_object_mut) else { return };
    if !is_variant || rest.split_once('.').is_some_and(|(variant, _)| inner.contains_key(variant)) {
        put(inner, rest, value);
    }
}
