//! The model list that callers may ask for.

use hickorycross_config::{Document, KeyHash};
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// The document in force, as far as the model list needs it.
#[derive(Debug, Default)]
pub(crate) struct Catalog(Mutex<Option<Arc<Document>>>);

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
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(document);
    }

    /// The list in the model API's form; none when no team has the key.
    pub(crate) fn list(&self, key: &KeyHash) -> Option<String> {
        let document = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()?;
        document.team_by_key(key)?;
        let data = document
            .routes
            .iter()
            .flat_map(|route| document.models_of(&route.target))
            .map(|id| Model { id, object: "model", owned_by: "hickorycross" })
            .collect();
        serde_json::to_string(&List { object: "list", data }).ok()
    }
}
