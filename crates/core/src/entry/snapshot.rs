//! State of an entry as shown on its status page.

use crate::entry::core::EntryCore;
use crate::entry::peer::{Link, LinkState};
use crate::health::Standing;
use crate::ids::{Incarnation, InstanceId, LinkId};
use crate::message::Load;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Stamp, TierId};
use indexmap::IndexMap;
use serde::Serialize;

/// State of an entry at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntrySnapshot {
    /// Revision and digest of the document in force.
    pub stamp: Stamp,
    /// Whether the entry is draining and refuses new requests.
    pub draining: bool,
    /// Number of requests without a final response, by tier.
    pub in_flight: IndexMap<TierId, u32>,
    /// Number of those requests without a live attempt.
    pub waiting: u32,
    /// Links to agents.
    pub links: Vec<LinkView>,
    /// Backend servers of the document.
    pub backends: Vec<BackendView>,
}

/// A link to an agent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinkView {
    /// Identifier of the link.
    pub link: LinkId,
    /// The agent's instance.
    pub instance: InstanceId,
    /// The agent's incarnation, once the link is established.
    pub incarnation: Option<Incarnation>,
    /// What the link is used for.
    pub usage: LinkUsage,
    /// Smoothed round trip in milliseconds.
    pub round_trip_ms: Option<f64>,
}

/// What a link is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkUsage {
    /// It is being opened.
    Opening,
    /// It is established and in use.
    Active,
    /// It is silent, and is kept until a new link is established or it is no longer needed.
    Suspect,
}

/// A backend server as seen by the entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BackendView {
    /// Identifier of the backend server.
    pub backend_server: BackendServerId,
    /// The instance to which new attempts are sent.
    pub instance: Option<InstanceId>,
    /// Its health, as judged by the health policy.
    pub standing: StandingView,
    /// Live attempts of this entry at that instance.
    pub outstanding: u32,
    /// The latest load report of its agent.
    pub load: Option<Load>,
}

/// The health of a backend server, with the traffic that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StandingView {
    /// It gets this share of its normal traffic, in permille.
    SharePermille(u16),
    /// Its circuit is open, and it gets no requests.
    Open,
    /// Its circuit is half-open, and it may get one request as a probe.
    Probe,
}

impl From<Standing> for StandingView {
    fn from(standing: Standing) -> Self {
        match standing {
            Standing::Share(permille) => Self::SharePermille(permille),
            Standing::Open => Self::Open,
            Standing::Probe => Self::Probe,
        }
    }
}

impl EntryCore {
    /// Returns the current state of links, backend servers and requests.
    #[must_use]
    pub fn snapshot(&self, now: Now) -> EntrySnapshot {
        let mut in_flight = IndexMap::new();
        for row in self.requests.values() {
            *in_flight.entry(row.tier.clone()).or_insert(0) += 1;
        }
        EntrySnapshot {
            stamp: self.stamp,
            draining: self.draining,
            in_flight,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            links: self.links.iter().map(|(link, row)| self.link_view(*link, row)).collect(),
            backends: self.backends.keys().map(|id| self.backend_view(now, id)).collect(),
        }
    }

    fn link_view(&self, link: LinkId, row: &Link) -> LinkView {
        let peer = self.peers.get(&row.instance);
        let usage = match row.state {
            LinkState::Opening { .. } => LinkUsage::Opening,
            LinkState::Connected(_) if peer.is_some_and(|one| one.active == Some(link)) => {
                LinkUsage::Active
            }
            LinkState::Connected(_) => LinkUsage::Suspect,
        };
        LinkView {
            link,
            instance: row.instance.clone(),
            incarnation: row.connected().map(|connected| connected.incarnation),
            usage,
            round_trip_ms: peer.and_then(|one| one.round_trip.mean_ms()),
        }
    }

    fn backend_view(&self, now: Now, id: &BackendServerId) -> BackendView {
        let row = self.backends.get(id);
        let instance = row.and_then(|one| one.instance.clone());
        let peer = instance.as_ref().and_then(|one| self.peers.get(one));
        let outstanding = peer.map_or(0, |one| one.requests.len());
        BackendView {
            backend_server: id.clone(),
            standing: row.map_or(Standing::Open, |one| one.health.standing(now)).into(),
            outstanding: u32::try_from(outstanding).unwrap_or(u32::MAX),
            load: peer.and_then(|one| one.load.clone()),
            instance,
        }
    }
}
