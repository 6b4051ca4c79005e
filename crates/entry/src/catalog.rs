//! The parts of the active document that the HTTP side needs: API keys and the model list.
//!
//! The driver calls [`Catalog::adopt`] for each adopted document; HTTP handlers look up keys
//! concurrently.

use hickorycross_config::{Document, KeyHash, TeamId, TierId};
use indexmap::IndexMap;
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// The team that an API key belongs to, and the team's tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) team: TeamId,
    pub(crate) tier: TierId,
}

/// The result of looking up an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyLookup {
    Caller(Caller),
    UnknownKey,
    /// No document has been adopted yet, so that no key can be checked.
    NoDocument,
}

/// The active document with an index of its API keys; empty until a document is adopted.
#[derive(Debug, Default)]
pub(crate) struct Catalog(Mutex<Option<Arc<Adopted>>>);

#[derive(Debug)]
struct Adopted {
    document: Arc<Document>,
    callers: IndexMap<KeyHash, Caller>,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

impl Catalog {
    /// Replaces the active document.
    pub(crate) fn adopt(&self, document: Arc<Document>) {
        let callers = callers_by_key(&document);
        let adopted = Arc::new(Adopted { document, callers });
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(adopted);
    }

    fn adopted(&self) -> Option<Arc<Adopted>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Looks up the caller to whom an API key belongs.
    pub(crate) fn look_up(&self, key: &KeyHash) -> KeyLookup {
        let Some(adopted) = self.adopted() else {
            return KeyLookup::NoDocument;
        };
        adopted.callers.get(key).cloned().map_or(KeyLookup::UnknownKey, KeyLookup::Caller)
    }

    /// Returns the models of all routes as JSON, in the format of the model API's `/v1/models`.
    ///
    /// Returns `None` if no document has been adopted or no team has the key.
    pub(crate) fn models_json(&self, key: &KeyHash) -> Option<String> {
        let adopted = self.adopted()?;
        adopted.callers.get(key)?;
        let document = &adopted.document;
        let data = document
            .routes
            .iter()
            .flat_map(|route| document.models_of(&route.target))
            .map(|id| Model { id, object: "model", owned_by: "hickorycross" })
            .collect();
        serde_json::to_string(&ModelList { object: "list", data }).ok()
    }
}

fn callers_by_key(document: &Document) -> IndexMap<KeyHash, Caller> {
    let teams = document.teams.iter();
    let keys = teams.flat_map(|team| team.key_hashes.iter().map(move |hash| (*hash, team)));
    keys.map(|(hash, team)| (hash, Caller { team: team.id.clone(), tier: team.tier.clone() }))
        .collect()
}
