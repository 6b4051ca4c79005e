//! The rule for the sum of the tiers' floors.

use super::Rule;
use crate::document::Document;
use crate::fault::Fault;
use crate::limits::FULL_PERMILLE;

/// Requires that the floors of all tiers leave a share of the starts to be assigned by rank.
pub(crate) struct Floors;

impl Rule for Floors {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        let sum: u32 = document.tiers.iter().map(|tier| u32::from(tier.floor_permille)).sum();
        if sum >= FULL_PERMILLE {
            let found = format!("a sum of floor_permille of {sum}");
            let allowed = format!("a sum below {FULL_PERMILLE}");
            faults.push(Fault::new(&"tiers", found, allowed));
        }
    }
}
