//! The regions in which requests of routes and teams may run.
//!
//! The operators' configuration names regions; backend servers are listed with their failure
//! domain. [`DomainRegions`] relates the two, and [`Residency::allowed_domains`] returns the failure
//! domains for the choice of a backend server.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// The regions that a route or a team allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// Names of the allowed regions. An empty list allows none.
    Listed(IndexSet<String>),
    /// The configuration holds something else than a list of names. No region is allowed: the
    /// operators meant to restrict the requests, and it is not known to what.
    Malformed,
}

impl AllowedRegions {
    /// Returns whether a backend server in `region` may run the requests; `None` is a region that is
    /// not known.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match (self, region) {
            (Self::Listed(regions), Some(region)) => regions.contains(region),
            (Self::Malformed, _) | (_, None) => false,
        }
    }

    /// Returns why no region at all is allowed, if that is so.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        match self {
            Self::Listed(regions) if regions.is_empty() => Some("empty"),
            Self::Listed(_) => None,
            Self::Malformed => Some("malformed"),
        }
    }

    /// Returns the regions that both allow.
    fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Listed(one), Self::Listed(two)) => {
                Self::Listed(one.intersection(two).cloned().collect())
            }
            _ => Self::Malformed,
        }
    }
}

/// The regions that the routes and teams of one configuration allow. Those without an entry are not
/// restricted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    routes: IndexMap<String, AllowedRegions>,
    teams: IndexMap<String, AllowedRegions>,
}

impl Residency {
    /// Restricts the requests of a route. Several routes of one name are restricted by all their
    /// lists.
    pub fn restrict_route(&mut self, name: &str, regions: AllowedRegions) {
        restrict(&mut self.routes, name, regions);
    }

    /// Restricts the requests of a team, like [`Self::restrict_route`].
    pub fn restrict_team(&mut self, name: &str, regions: AllowedRegions) {
        restrict(&mut self.teams, name, regions);
    }

    /// Returns the regions that a route allows, or `None` if it is not restricted.
    #[must_use]
    pub fn of_route(&self, name: &str) -> Option<&AllowedRegions> {
        self.routes.get(name)
    }

    /// Returns the regions that a team allows, or `None` if it is not restricted.
    #[must_use]
    pub fn of_team(&self, name: &str) -> Option<&AllowedRegions> {
        self.teams.get(name)
    }

    /// Returns the restricted routes with their regions.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &AllowedRegions)> {
        self.routes.iter().map(|(name, regions)| (name.as_str(), regions))
    }

    /// Returns the restricted teams with their regions.
    pub fn teams(&self) -> impl Iterator<Item = (&str, &AllowedRegions)> {
        self.teams.iter().map(|(name, regions)| (name.as_str(), regions))
    }

    /// Returns whether a request of `route` and `team` may run in `region`; `None` is a region that
    /// is not known. If both are restricted, both must allow it.
    #[must_use]
    pub fn allows(&self, route: &str, team: Option<&str>, region: Option<&str>) -> bool {
        self.restriction(route, team).allows(region)
    }

    /// Returns the restriction of a request of `route` and `team`.
    #[must_use]
    pub fn restriction(&self, route: &str, team: Option<&str>) -> Restriction<'_> {
        let team = team.and_then(|team| self.of_team(team));
        Restriction { route: self.of_route(route), team }
    }
}

fn restrict(lists: &mut IndexMap<String, AllowedRegions>, name: &str, regions: AllowedRegions) {
    let regions = match lists.get(name) {
        Some(earlier) => earlier.intersection(&regions),
        None => regions,
    };
    lists.insert(name.to_owned(), regions);
}

/// What restricts one request: the regions that its route and its team allow, each `None` if it is
/// not restricted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restriction<'a> {
    /// Regions of the route.
    pub route: Option<&'a AllowedRegions>,
    /// Regions of the team.
    pub team: Option<&'a AllowedRegions>,
}

impl Restriction<'_> {
    /// Returns whether the request may run in `region`; `None` is a region that is not known.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        [self.route, self.team].into_iter().flatten().all(|regions| regions.allows(region))
    }

    /// Returns the failure domains in which the request may run, or `None` if it is not restricted.
    #[must_use]
    pub fn allowed_domains(&self, regions: &DomainRegions) -> Option<IndexSet<String>> {
        if self.route.is_none() && self.team.is_none() {
            return None;
        }
        let allowed = regions.iter().filter(|(_, region)| self.allows(Some(region)));
        Some(allowed.map(|(domain, _)| domain.to_owned()).collect())
    }
}

/// The region of each failure domain that has a known one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainRegions {
    by_domain: IndexMap<String, String>,
}

impl DomainRegions {
    /// Returns the regions of failure domains given as pairs. A name that is empty counts as not
    /// known.
    #[must_use]
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let named = pairs.into_iter().filter(|(_, region)| !region.is_empty());
        Self { by_domain: named.collect() }
    }

    /// Returns the region of a failure domain, or `None` if it is not known.
    #[must_use]
    pub fn region(&self, domain: &str) -> Option<&str> {
        self.by_domain.get(domain).map(String::as_str)
    }

    /// Returns the failure domains with their regions.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.by_domain.iter().map(|(domain, region)| (domain.as_str(), region.as_str()))
    }
}
