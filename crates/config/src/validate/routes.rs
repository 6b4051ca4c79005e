//! Deadlines and paths of a route.

use super::Rule;
use super::found::found_text;
use crate::document::{Document, Route, Target};
use crate::fault::Fault;

/// Prefix of the model API's paths.
const MODEL_API_PREFIX: &str = "/v1/";

/// A route's deadlines are in order, and its path is not one of the model API.
pub(crate) struct Routes;

impl Rule for Routes {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        for (index, route) in document.routes.iter().enumerate() {
            check_deadlines(index, route, faults);
            check_path_prefix(index, route, faults);
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

fn check_path_prefix(index: usize, route: &Route, faults: &mut Vec<Fault>) {
    let Target::Service { path_prefix, .. } = &route.target else { return };
    if path_prefix.starts_with(MODEL_API_PREFIX) {
        let path = format!("routes[{index}].target.service.path_prefix");
        let allowed = format!("a path outside {MODEL_API_PREFIX}, which is the model API's");
        faults.push(Fault::new(&path, found_text(path_prefix), allowed));
    }
}
