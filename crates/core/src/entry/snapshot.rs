//! What an entry shows of itself on its status page.

use crate::entry::core::EntryCore;
use crate::entry::peer::{Link, LinkState};
use crate::health::Standing;
use crate::ids::{Incarnation, InstanceId, LinkId};
use crate::message::Load;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Stamp, TierId};
use indexmap::IndexMap;
use serde::Serialize;

/// One entry at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntrySnapshot {
    /// What it has adopted.
    pub stamp: Stamp,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Requests without a final answer, by tier.
    pub in_flight: IndexMap<TierId, u32>,
    /// Those of them that wait for a backend server.
    pub waiting: u32,
    /// Its links.
    pub links: Vec<LinkView>,
    /// The backend servers of the document.
    pub backends: Vec<BackendView>,
}

/// One link.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinkView {
    /// Its number.
    pub link: LinkId,
    /// The instance at its other end.
    pub instance: InstanceId,
    /// The agent's incarnation, once it is up.
    pub incarnation: Option<Incarnation>,
    /// What it is used for.
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
    /// It is in use.
    Active,
    /// It is silent; a fresh one is being opened.
    Suspect,
}

/// One backend server as the entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BackendView {
    /// Its name.
    pub backend_server: BackendServerId,
    /// The instance that gets its new work.
    pub instance: Option<InstanceId>,
    /// Its standing.
    pub standing: StandingView,
    /// Attempts of this entry that are open there.
    pub outstanding: u32,
    /// Its latest report.
    pub load: Option<Load>,
}

/// The standing of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StandingView {
    /// It gets this share of its normal traffic, in thousandths.
    SharePermille(u16),
    /// It gets nothing.
    Open,
    /// It may get one request as a probe.
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
    /// Shows links, backend servers and requests in flight.
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
            LinkState::Up(_) if peer.is_some_and(|one| one.active == Some(link)) => {
                LinkUsage::Active
            }
            LinkState::Up(_) => LinkUsage::Suspect,
        };
        LinkView {
            link,
            instance: row.instance.clone(),
            incarnation: row.up().map(|up| up.incarnation),
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
