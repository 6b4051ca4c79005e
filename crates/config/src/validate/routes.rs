//! The rule for the deadlines, path prefix and model groups of a route.

use super::Rule;
use super::describe_value::describe_text;
use crate::document::{Document, Route, Target};
use crate::fault::Fault;
use crate::ids::ModelGroupId;

/// Path prefix of the model API.
const MODEL_API_PREFIX: &str = "/v1/";

/// Requires that a route's default deadline is not above its maximum, that its path prefix is
/// outside the model API, and that all its groups serve the same models.
pub(crate) struct Routes;

impl Rule for Routes {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        for (index, route) in document.routes.iter().enumerate() {
            check_deadlines(index, route, faults);
            check_path_prefix(index, route, faults);
            check_same_models(document, index, route, faults);
        }
    }
}

fn check_deadlines(index: usize, route: &Route, faults: &mut Vec<Fault>) {
    if route.default_deadline_ms > route.max_deadline_ms {
        let path = format!("routes[{index}].default_deadline_ms");
        let allowed = format!("at most max_deadline_ms, {}", route.max_deadline_ms);
        faults.push(Fault::new(&path, route.default_deadline_ms.to_string(), allowed));
    }
}

/// Requires that all groups of a route serve the same models, because a request for a model may be
/// sent to any of them.
fn check_same_models(document: &Document, index: usize, route: &Route, faults: &mut Vec<Fault>) {
    let Target::Model { groups } = &route.target else { return };
    let models = |id: &ModelGroupId| {
        let group = document.group(id.as_str())?;
        let mut models = group.models.clone();
        models.sort_unstable();
        Some(models)
    };
    let Some(first) = groups.first() else { return };
    let Some(expected) = models(first) else { return };
    for (position, group) in groups.iter().enumerate().skip(1) {
        if models(group).is_some_and(|models| models != expected) {
            let path = format!("routes[{index}].target.model.groups[{position}]");
            let allowed = format!("a group with the same models as {first}");
            faults.push(Fault::new(&path, describe_text(group.as_str()), allowed));
        }
    }
}

fn check_path_prefix(index: usize, route: &Route, faults: &mut Vec<Fault>) {
    let Target::Service { path_prefix, .. } = &route.target else { return };
    if path_prefix.starts_with(MODEL_API_PREFIX) {
        let path = format!("routes[{index}].target.service.path_prefix");
        let allowed = format!("a path outside {MODEL_API_PREFIX}, which is the model API's");
        faults.push(Fault::new(&path, describe_text(path_prefix), allowed));
    }
}
