//! What differs between two documents, in operators' terms.

use crate::document::{Document, SHORT_HASH_DIGITS};
use crate::ids::{BackendServerId, FailureDomainId, ModelGroupId, RouteId, TeamId, TierId};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// The list whose items no message shows in full.
const KEY_HASHES: &str = "key_hashes";

/// A part of a document that operators know by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entity {
    /// The document itself, such as its title or the order of its lists.
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
    /// The weights of skew and of rebalancing cost.
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

/// What happened to an entity. Key hashes are cut to their first 8 digits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field has another value.
    Field {
        /// Path of the field within the entity, such as `limit.requests_per_s`.
        field: String,
        /// The value before; none where the field did not exist.
        old: Option<Value>,
        /// The value after; none where the field no longer exists.
        new: Option<Value>,
    },
    /// A list has a further item.
    ItemAdded {
        /// Path of the list within the entity.
        field: String,
        /// The item.
        item: Value,
    },
    /// A list has lost an item.
    ItemRemoved {
        /// Path of the list within the entity.
        field: String,
        /// The item.
        item: Value,
    },
    /// The items that a list kept stand in another order.
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
                write!(f, "{field} {} -> {}", Shown(old.as_ref()), Shown(new.as_ref()))
            }
            Self::ItemAdded { field, item } => write!(f, "{field} added {}", Shown(Some(item))),
            Self::ItemRemoved { field, item } => write!(f, "{field} removed {}", Shown(Some(item))),
            Self::Reordered { field } => write!(f, "{field} reordered"),
        }
    }
}

/// One change, such as `team spelling-school-3: limit.requests_per_s 40 -> 80`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What changed.
    pub entity: Entity,
    /// How.
    pub edit: Edit,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entity, self.edit)
    }
}

/// Lists every change from one valid document to another; empty if and only if they are equal.
///
/// Within an entity the changes come in alphabetical order of their fields.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut old_parts = Parts::of(old);
    let mut new_parts = Parts::of(new);
    let mut changes = Vec::new();
    for (list, entity_of) in LISTS {
        let old_entries = old_parts.take_list(list);
        let new_entries = new_parts.take_list(list);
        diff_list(list, entity_of, &old_entries, &new_entries, &mut changes);
    }
    diff_entity(
        &Entity::Balance,
        &old_parts.take("balance"),
        &new_parts.take("balance"),
        &mut changes,
    );
    diff_entity(&Entity::Document, &old_parts.rest(), &new_parts.rest(), &mut changes);
    changes
}

type EntityOf = fn(&str) -> Entity;

/// The lists of named entities, each with the entity that a name stands for.
const LISTS: [(&str, EntityOf); 6] = [
    ("failure_domains", |id| Entity::FailureDomain(id.into())),
    ("tiers", |id| Entity::Tier(id.into())),
    ("teams", |id| Entity::Team(id.into())),
    ("backend_servers", |id| Entity::BackendServer(id.into())),
    ("model_groups", |id| Entity::ModelGroup(id.into())),
    ("routes", |id| Entity::Route(id.into())),
];

/// A document as JSON, from which the parts are taken one by one: what nothing took is compared
/// field by field, so no field can be forgotten.
struct Parts(Value);

impl Parts {
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

    fn rest(self) -> Value {
        self.0
    }
}

fn id_of(entry: &Value) -> String {
    entry.get("id").and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn diff_list(
    list: &str,
    entity_of: EntityOf,
    old: &IndexMap<String, Value>,
    new: &IndexMap<String, Value>,
    changes: &mut Vec<Change>,
) {
    for (id, old_entry) in old {
        let entity = entity_of(id);
        match new.get(id) {
            Some(new_entry) => diff_entity(&entity, old_entry, new_entry, changes),
            None => changes.push(Change { entity, edit: Edit::Removed }),
        }
    }
    for id in new.keys().filter(|id| !old.contains_key(*id)) {
        changes.push(Change { entity: entity_of(id), edit: Edit::Added });
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
        edits.push(Edit::ItemRemoved { field: field.to_owned(), item: shorten(field, item) });
    }
    for item in new_items.difference(&old_items) {
        edits.push(Edit::ItemAdded { field: field.to_owned(), item: shorten(field, item) });
    }
    if is_reordered(&old_items, &new_items) {
        edits.push(Edit::Reordered { field: field.to_owned() });
    }
}

/// Whether the items that both lists have stand in another order.
fn is_reordered<T: std::hash::Hash + Eq>(old: &IndexSet<T>, new: &IndexSet<T>) -> bool {
    !old.intersection(new).eq(new.intersection(old))
}

/// Cuts a key hash to the digits that messages may show; leaves other items as they are.
fn shorten(field: &str, item: &Value) -> Value {
    match item.as_str() {
        Some(hash) if field == KEY_HASHES => {
            let shown: String = hash.chars().take(SHORT_HASH_DIGITS).collect();
            Value::from(shown)
        }
        _ => item.clone(),
    }
}

/// The fields of an entity by path; a list is one field.
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

/// A value as a change shows it: texts that need no quotes have none.
struct Shown<'a>(Option<&'a Value>);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("nothing"),
            Some(Value::String(text)) if is_plain(text) => f.write_str(text),
            Some(value) => write!(f, "{value}"),
        }
    }
}

fn is_plain(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._:/@+~-".contains(&byte);
    !text.is_empty() && text.bytes().all(plain)
}
