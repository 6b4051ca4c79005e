//! The messages of the exchange between the processes of the fleet.
//!
//! Fields are encoded by position. Later releases only append some, which earlier ones pass over; those
//! that an earlier release lacks are read as empty (see [`crate::peer_call::decode`]).

use crate::domain_drains::SharedDrains;
use crate::gossip::GossipReport;
use hickorycross_core::direct::{
    AvailabilityReport, BackendServer, Catalog, ColdFigures, ColdReport, EngineFigures,
    EntryCountReport, GroupAssignment, ListingUpdate, PartReport, Residency,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to a peer, which may also push reports to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeRequest {
    /// Control address of the sender, if it answers requests itself.
    pub(crate) from: Option<SocketAddr>,
    /// Version of the sender's configuration.
    pub(crate) version: u64,
    /// Revision of the store at which the sender's list of backend servers was current.
    pub(crate) backends_as_of: u64,
    /// Report of an agent about a backend server, which was just made.
    #[serde(rename = "word")]
    pub(crate) backend_report: Option<BackendReport>,
    /// Reports that the sender pushes to the peer.
    #[serde(rename = "shared")]
    pub(crate) reports: Vec<GossipReport>,
    /// Checksum over all reports of the sender. If it differs from the peer's, the peer answers
    /// with all its reports; if it is `None`, with none.
    #[serde(rename = "shared_sum")]
    pub(crate) reports_checksum: Option<u64>,
    /// Reports about parts of prompts that the sender pushes to the peer.
    pub(crate) part_reports: Vec<PartReport>,
    /// Checksum over all reports of the sender about parts of prompts, like `reports_checksum`.
    pub(crate) part_reports_checksum: Option<u64>,
    /// The drained failure domains that the sender knows; `None` if it has read none, or is an agent.
    pub(crate) drains: Option<SharedDrains>,
    /// Group of an agent's backend server.
    pub(crate) rank_group: Option<RankGroup>,
    /// Checksums over the groups of backend servers that the sender knows, by part. Where one
    /// differs from the peer's, the peer answers with what it knows; without any, with nothing.
    pub(crate) group_checksums: Vec<u32>,
    /// Failure domain of the sender; `None` from an agent or a process of an earlier release.
    pub(crate) failure_domain: Option<String>,
    /// Whether the sender takes changes of the list of backend servers in place of the whole list.
    pub(crate) takes_updates: bool,
    /// Time in milliseconds for which the response may be held until there is something new; 0 to
    /// get it at once.
    pub(crate) wait_ms: u64,
    /// Time since the sender's configuration was last confirmed, if it was. A peer with a newer
    /// confirmation does not hold the response.
    pub(crate) age_ms: Option<u64>,
    /// Further reports about backend servers, which the receiver passes on to other entries.
    pub(crate) backend_reports: Vec<AgedBackendReport>,
}

impl ExchangeRequest {
    /// Returns a request without reports that asks for nothing but the addresses of entries.
    pub(crate) const fn empty() -> Self {
        Self {
            from: None,
            version: u64::MAX,
            backends_as_of: u64::MAX,
            backend_report: None,
            reports: Vec::new(),
            reports_checksum: None,
            part_reports: Vec::new(),
            part_reports_checksum: None,
            drains: None,
            rank_group: None,
            group_checksums: Vec::new(),
            failure_domain: None,
            takes_updates: true,
            wait_ms: 0,
            age_ms: None,
            backend_reports: Vec::new(),
        }
    }
}

/// Report of an agent about the group of its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RankGroup {
    /// Address at which the backend server listens.
    pub(crate) address: SocketAddr,
    /// Name of its group.
    pub(crate) group: String,
}

/// Report of an agent about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendReport {
    /// Address at which the backend server listens.
    pub(crate) address: SocketAddr,
    /// What the agent observed.
    #[serde(rename = "said")]
    pub(crate) observation: BackendObservation,
}

/// A report about a backend server that was made some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgedBackendReport {
    /// The report.
    pub(crate) report: BackendReport,
    /// Time in milliseconds since it was made.
    pub(crate) age_ms: u64,
}

/// Observation of a backend server by an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BackendObservation {
    /// Duration of the rank's own work, reported by the agent on its instance.
    Pace {
        /// Duration relative to the usual one, in thousandths.
        permille: u32,
    },
    /// Whether the agent of the rank answers, reported by the agent that leads the group.
    #[serde(rename = "Hearing")]
    AgentReachability {
        /// Whether messages from the agent arrive.
        #[serde(rename = "is_heard")]
        is_reachable: bool,
    },
}

/// A peer's response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeResponse {
    /// Version of the configuration in force at the peer.
    pub(crate) version: u64,
    /// Time since the store last confirmed the peer's configuration; `None` if it never has.
    pub(crate) age_ms: Option<u64>,
    /// The configuration, if it is newer than that of the requester.
    pub(crate) catalog: Option<Catalog>,
    /// Revision of the store at which the peer's list of backend servers was current.
    pub(crate) backends_as_of: u64,
    /// The list of backend servers, if it is newer than that of the requester and `listing_update`
    /// does not hold what has changed.
    pub(crate) backends: Option<Vec<BackendServer>>,
    /// Addresses of entries, each with the time in milliseconds since it was last known to be
    /// alive.
    pub(crate) members: Vec<(SocketAddr, u64)>,
    /// All reports of the peer, if its checksum differs from that of the requester.
    #[serde(rename = "shared")]
    pub(crate) reports: Vec<GossipReport>,
    /// All reports of the peer about parts of prompts, if that checksum differs.
    pub(crate) part_reports: Vec<PartReport>,
    /// The drained failure domains that the peer knows; `None` if it has read none.
    pub(crate) drains: Option<SharedDrains>,
    /// Groups of backend servers, where the checksums differ.
    pub(crate) groups: Vec<GroupAssignment>,
    /// Figures of the services of `catalog` that limit cold servers.
    pub(crate) cold_figures: Vec<(String, ColdFigures)>,
    /// How long cold servers stay cold: all of them with a list of backend servers, otherwise some.
    pub(crate) cold_reports: Vec<ColdReport>,
    /// Figures of the engines of services, by service, if `catalog` is given.
    pub(crate) engine_figures: Vec<(String, EngineFigures)>,
    /// Regions of the configuration, with each one that this release sends; `None` from a process of
    /// a release without regions.
    pub(crate) residency: Option<Residency>,
    /// The largest number of entries that the peer has lately heard of; `None` from a process of an
    /// earlier release.
    pub(crate) entry_count: Option<EntryCountReport>,
    /// What has changed in the list of backend servers since that of the requester. Beside
    /// `backends` it holds the registrations that cannot be decoded.
    pub(crate) listing_update: Option<ListingUpdate>,
    /// Time in milliseconds for which the response was held.
    pub(crate) held_ms: u64,
    /// The first entries by rank of the requester's failure domain, each with the time in
    /// milliseconds since it was last known to be alive.
    pub(crate) domain_entries: Vec<(SocketAddr, u64)>,
    /// The failure domains of `members`.
    pub(crate) member_domains: MemberDomains,
    /// Whether the peer reads the store itself and gets answers.
    pub(crate) reads_store: bool,
    /// Whether the peer is about to stop.
    pub(crate) is_leaving: bool,
    /// Time in milliseconds since the store was last regained, for an earlier release, which does not
    /// know `store_availability`.
    pub(crate) store_regained_ms: Option<u64>,
    /// Time in milliseconds since the peer's list of backend servers was last known to be that of the
    /// store; `None` if it never was.
    pub(crate) backends_age_ms: Option<u64>,
    /// Since when the store has been available, as the peer knows it.
    pub(crate) store_availability: Option<AvailabilityReport>,
}

/// The failure domains of a list of entries, each name once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberDomains {
    names: Vec<String>,
    /// For each entry the position of its domain in `names`, or a position beyond the last if the
    /// domain is unknown.
    positions: Vec<u8>,
}

impl MemberDomains {
    /// Appends the domain of the next entry of the list.
    pub(crate) fn push(&mut self, domain: Option<&str>) {
        let position = domain.and_then(|domain| self.position(domain));
        self.positions.push(position.unwrap_or(u8::MAX));
    }

    /// Returns the position of a domain, which is added if it is new. Returns `None` if there are too
    /// many.
    fn position(&mut self, domain: &str) -> Option<u8> {
        let known = self.names.iter().position(|name| name == domain);
        let position = u8::try_from(known.unwrap_or(self.names.len())).ok()?;
        if known.is_none() && position < u8::MAX {
            self.names.push(domain.to_owned());
        }
        Some(position)
    }

    /// Returns the domain of the entry at an index of the list, if it is known.
    pub(crate) fn get(&self, index: usize) -> Option<&str> {
        let position = usize::from(*self.positions.get(index)?);
        self.names.get(position).map(String::as_str)
    }
}
