//! What the HTTP side knows of the document: who calls, and the model list.

use hickorycross_config::{Document, KeyHash, TeamId, TierId};
use indexmap::IndexMap;
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) team: TeamId,
    pub(crate) tier: TierId,
}

/// What the document says of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    Caller(Caller),
    Nobody,
    /// No document has been adopted yet.
    NothingYet,
}

/// The document in force, as far as the HTTP side needs it.
#[derive(Debug, Default)]
pub(crate) struct Catalog(Mutex<Option<Arc<Adopted>>>);

#[derive(Debug)]
struct Adopted {
    document: Arc<Document>,
    callers: IndexMap<KeyHash, Caller>,
}

#[derive(Serialize)]
struct List<'a> {
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
    /// Follows another document.
    pub(crate) fn adopt(&self, document: Arc<Document>) {
        let callers = callers(&document);
        let adopted = Arc::new(Adopted { document, callers });
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(adopted);
    }

    fn adopted(&self) -> Option<Arc<Adopted>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whose key it is.
    pub(crate) fn caller(&self, key: &KeyHash) -> Known {
        let Some(adopted) = self.adopted() else {
            return Known::NothingYet;
        };
        adopted.callers.get(key).cloned().map_or(Known::Nobody, Known::Caller)
    }

    /// The list in the model API's form; none when no team has the key.
    pub(crate) fn list(&self, key: &KeyHash) -> Option<String> {
        let adopted = self.adopted()?;
        adopted.callers.get(key)?;
        let document = &adopted.document;
        let data = document
            .routes
            .iter()
            .flat_map(|route| document.models_of(&route.target))
            .map(|id| Model { id, object: "model", owned_by: "hickorycross" })
            .collect();
        serde_json::to_string(&List { object: "list", data }).ok()
    }
}

fn callers(document: &Document) -> IndexMap<KeyHash, Caller> {
    let teams = document.teams.iter();
    let keys = teams.flat_map(|team| team.key_hashes.iter().map(move |hash| (*hash, team)));
    keys.map(|(hash, team)| (hash, Caller { team: team.id.clone(), tier: team.tier.clone() }))
        .collect()
}
