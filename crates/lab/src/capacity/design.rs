//! The size that the product is designed for, and what follows from it.

use serde::Serialize;

/// The users' size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DesignSize {
    /// Entries.
    pub entries: u32,
    /// Backend servers, one agent beside each.
    pub backends: u32,
    /// Teams in steady use.
    pub teams: u32,
    /// Model groups, one for each model.
    pub groups: u32,
    /// Requests a second at the peak, all entries together.
    pub requests_per_s: u32,
    /// Tokens a second at the peak.
    pub tokens_per_s: u32,
    /// Changes of the document in a day.
    pub changes_per_day: u32,
    /// Failure domains.
    pub failure_domains: u32,
    /// Regions.
    pub regions: u32,
}

impl DesignSize {
    /// The plan for the next two years.
    pub const PLAN: Self = Self {
        entries: 400,
        backends: 900,
        teams: 260,
        groups: 29,
        requests_per_s: 17_000,
        tokens_per_s: 3_500_000,
        changes_per_day: 1_300,
        failure_domains: 7,
        regions: 3,
    };
}
