//! Lists the differences between two documents, named by the entities that operators edit.

use crate::document::{Document, SHORT_HASH_DIGITS};
use crate::ids::{BackendServerId, FailureDomainId, ModelGroupId, RouteId, TeamId, TierId};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Name of the list whose items every message cuts to [`SHORT_HASH_DIGITS`] digits.
const KEY_HASHES_FIELD: &str = "key_hashes";

/// A part of a document that a change refers to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entity {
    /// The document itself, for changes such as its title or the order of one of its lists.
    Document,
    /// A failure domain.
    FailureDomain(FailureDomainId),
    /// A priority tier.
    Tier(TierId),
    /// A team.
    Team(TeamId),
    /// A backend server.
    BackendServer(BackendServerId),
    /// A model group.
    ModelGroup(ModelGroupId),
    /// A route.
    Route(RouteId),
    /// The [`Balance`](crate::Balance) settings.
    Balance,
}

impl fmt::Display for Entity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document => f.write_str("document"),
            Self::FailureDomain(id) => write!(f, "failure domain {id}"),
            Self::Tier(id) => write!(f, "tier {id}"),
            Self::Team(id) => write!(f, "team {id}"),
            Self::BackendServer(id) => write!(f, "backend server {id}"),
            Self::ModelGroup(id) => write!(f, "model group {id}"),
            Self::Route(id) => write!(f, "route {id}"),
            Self::Balance => f.write_str("balance"),
        }
    }
}

/// How an entity changed. Key hashes are cut to their first 8 digits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// The entity is in the new document only.
    Added,
    /// The entity is in the old document only.
    Removed,
    /// A field has a different value.
    Field {
        /// Path of the field within the entity, such as `limit.requests_per_s`.
        field: String,
        /// The value in the old document; `None` if the field did not exist.
        old: Option<Value>,
        /// The value in the new document; `None` if the field no longer exists.
        new: Option<Value>,
    },
    /// An item was added to a list.
    ItemAdded {
        /// Path of the list within the entity.
        field: String,
        /// The item, or the first digits of it if it is a key hash.
        item: Value,
    },
    /// An item was removed from a list.
    ItemRemoved {
        /// Path of the list within the entity.
        field: String,
        /// The item, or the first digits of it if it is a key hash.
        item: Value,
    },
    /// The items that both lists contain are in a different order.
    Reordered {
        /// Path of the list within the entity.
        field: String,
    },
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added => f.write_str("added"),
            Self::Removed => f.write_str("removed"),
            Self::Field { field, old, new } => {
                write!(
                    f,
                    "{field} {} -> {}",
                    DisplayValue(old.as_ref()),
                    DisplayValue(new.as_ref())
                )
            }
            Self::ItemAdded { field, item } => {
                write!(f, "{field} added {}", DisplayValue(Some(item)))
            }
            Self::ItemRemoved { field, item } => {
                write!(f, "{field} removed {}", DisplayValue(Some(item)))
            }
            Self::Reordered { field } => write!(f, "{field} reordered"),
        }
    }
}

/// One change between two documents.
///
/// It is displayed as a line such as `team spelling-school-3: limit.requests_per_s 40 -> 80`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The entity that changed.
    pub entity: Entity,
    /// How the entity changed.
    pub edit: Edit,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entity, self.edit)
    }
}

/// Returns every change from one valid document to another.
///
/// The list is empty if and only if the documents are equal. The changes of one entity are in
/// alphabetical order of their fields.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut old_sections = Sections::of(old);
    let mut new_sections = Sections::of(new);
    let mut changes = Vec::new();
    for (list, entity_from_id) in ENTITY_LISTS {
        let old_entries = old_sections.take_list(list);
        let new_entries = new_sections.take_list(list);
        diff_list(list, entity_from_id, &old_entries, &new_entries, &mut changes);
    }
    diff_entity(
        &Entity::Balance,
        &old_sections.take("balance"),
        &new_sections.take("balance"),
        &mut changes,
    );
    diff_entity(
        &Entity::Document,
        &old_sections.into_remaining(),
        &new_sections.into_remaining(),
        &mut changes,
    );
    changes
}

/// Returns the entity that has the given id.
type EntityFromId = fn(&str) -> Entity;

/// The document's lists of entities, each with the function that maps an id to its [`Entity`].
const ENTITY_LISTS: [(&str, EntityFromId); 6] = [
    ("failure_domains", |id| Entity::FailureDomain(id.into())),
    ("tiers", |id| Entity::Tier(id.into())),
    ("teams", |id| Entity::Team(id.into())),
    ("backend_servers", |id| Entity::BackendServer(id.into())),
    ("model_groups", |id| Entity::ModelGroup(id.into())),
    ("routes", |id| Entity::Route(id.into())),
];

/// A document as JSON, from which [`diff`] removes each section that it compares.
///
/// The members that remain are compared as fields of the document itself, so a field that is added
/// to [`Document`] cannot be missed.
struct Sections(Value);

impl Sections {
    fn of(document: &Document) -> Self {
        Self(serde_json::to_value(document).expect("a document has only text keys"))
    }

    fn take(&mut self, field: &str) -> Value {
        let members = self.0.as_object_mut();
        members.and_then(|members| members.remove(field)).unwrap_or_default()
    }

    fn take_list(&mut self, field: &str) -> IndexMap<String, Value> {
        let Value::Array(entries) = self.take(field) else { return IndexMap::new() };
        entries.into_iter().map(|entry| (id_of(&entry), entry)).collect()
    }

    fn into_remaining(self) -> Value {
        self.0
    }
}

fn id_of(entry: &Value) -> String {
    entry.get("id").and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn diff_list(
    list: &str,
    entity_from_id: EntityFromId,
    old: &IndexMap<String, Value>,
    new: &IndexMap<String, Value>,
    changes: &mut Vec<Change>,
) {
    for (id, old_entry) in old {
        let entity = entity_from_id(id);
        match new.get(id) {
            Some(new_entry) => diff_entity(&entity, old_entry, new_entry, changes),
            None => changes.push(Change { entity, edit: Edit::Removed }),
        }
    }
    for id in new.keys().filter(|id| !old.contains_key(*id)) {
        changes.push(Change { entity: entity_from_id(id), edit: Edit::Added });
    }
    if is_reordered(&old.keys().collect(), &new.keys().collect()) {
        let edit = Edit::Reordered { field: list.to_owned() };
        changes.push(Change { entity: Entity::Document, edit });
    }
}

fn diff_entity(entity: &Entity, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let old_fields = fields_of(old);
    let new_fields = fields_of(new);
    let mut names: Vec<&String> = old_fields.keys().chain(new_fields.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let mut edits = Vec::new();
    for name in names {
        let old_field = old_fields.get(name).copied();
        let new_field = new_fields.get(name).copied();
        diff_field(name, old_field, new_field, &mut edits);
    }
    changes.extend(edits.into_iter().map(|edit| Change { entity: entity.clone(), edit }));
}

fn diff_field(field: &str, old: Option<&Value>, new: Option<&Value>, edits: &mut Vec<Edit>) {
    match (old, new) {
        _ if old == new => {}
        (Some(Value::Array(old)), Some(Value::Array(new))) => diff_items(field, old, new, edits),
        _ => {
            let field = field.to_owned();
            edits.push(Edit::Field { field, old: old.cloned(), new: new.cloned() });
        }
    }
}

fn diff_items(field: &str, old: &[Value], new: &[Value], edits: &mut Vec<Edit>) {
    let old_items: IndexSet<&Value> = old.iter().collect();
    let new_items: IndexSet<&Value> = new.iter().collect();
    for item in old_items.difference(&new_items) {
        edits.push(Edit::ItemRemoved {
            field: field.to_owned(),
            item: redact_key_hash(field, item),
        });
    }
    for item in new_items.difference(&old_items) {
        edits.push(Edit::ItemAdded { field: field.to_owned(), item: redact_key_hash(field, item) });
    }
    if is_reordered(&old_items, &new_items) {
        edits.push(Edit::Reordered { field: field.to_owned() });
    }
}

/// Returns whether the items that both lists contain are in a different order.
fn is_reordered<T: std::hash::Hash + Eq>(old: &IndexSet<T>, new: &IndexSet<T>) -> bool {
    !old.intersection(new).eq(new.intersection(old))
}

/// Cuts an item of `key_hashes` to the digits that messages may show; clones any other item.
fn redact_key_hash(field: &str, item: &Value) -> Value {
    match item.as_str() {
        Some(hash) if field == KEY_HASHES_FIELD => {
            let shown: String = hash.chars().take(SHORT_HASH_DIGITS).collect();
            Value::from(shown)
        }
        _ => item.clone(),
    }
}

/// Returns the fields of an entity by their path. Objects are flattened; a list is one field.
fn fields_of(entity: &Value) -> IndexMap<String, &Value> {
    let mut fields = IndexMap::new();
    collect_fields(entity, "", &mut fields);
    fields
}

fn collect_fields<'a>(value: &'a Value, path: &str, fields: &mut IndexMap<String, &'a Value>) {
    let Value::Object(members) = value else {
        fields.insert(path.to_owned(), value);
        return;
    };
    for (key, member) in members {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        collect_fields(member, &path, fields);
    }
}

/// Formats a value for a change line: as JSON, but without quotes around plain identifiers.
struct DisplayValue<'a>(Option<&'a Value>);

impl fmt::Display for DisplayValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("nothing"),
            Some(Value::String(text)) if needs_no_quotes(text) => f.write_str(text),
            Some(value) => write!(f, "{value}"),
        }
    }
}

fn needs_no_quotes(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:/@+~-".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}
