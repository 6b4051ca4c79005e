//! The members of a group, as listed in a revision of the document.

use super::map::MapShape;
use hickorycross_config::{BackendServerId, ModelGroup, ModelGroupId, Stamp};
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Index of a backend server in the group's list.
///
/// Normally the live member with the lowest index coordinates the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberIndex(pub u8);

impl MemberIndex {
    /// Returns the index as a `usize`.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for MemberIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one membership of a group.
///
/// The digest covers only the group's own entry in the document. A document changes more than a
/// thousand times a day; with a digest of the whole document, each change would stop every group
/// until all of its members had adopted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Revision of the document. A membership of a higher revision replaces one of a lower
    /// revision.
    pub revision: u64,
    /// Digest (xxh3) of the group's identifier, members and dimensions.
    pub digest: u64,
}

impl Epoch {
    /// Returns whether both have the same members and dimensions, ignoring the revision.
    #[must_use]
    pub const fn is_same_content(self, other: Self) -> bool {
        self.digest == other.digest
    }
}

/// Members of one group in rank order, with the dimensions of its maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Identifier of this membership.
    pub epoch: Epoch,
    /// Identifier of the group.
    pub group: ModelGroupId,
    /// Backend servers in rank order; the index is the [`MemberIndex`].
    pub servers: Vec<BackendServerId>,
    /// Number of ranks on each backend server.
    pub ranks_per_server: u16,
    /// Dimensions of the group's maps.
    pub shape: MapShape,
}

impl Membership {
    /// Creates the membership from the group's entry in the document with the given stamp.
    #[must_use]
    pub fn new(stamp: Stamp, group: &ModelGroup) -> Self {
        let servers = group.backend_servers.len();
        let shape = MapShape {
            ranks: u16::try_from(servers)
                .unwrap_or(u16::MAX)
                .saturating_mul(group.ranks_per_server),
            experts: group.experts_per_layer,
            layers: group.layers,
        };
        Self {
            epoch: Epoch { revision: stamp.revision, digest: content_digest(group) },
            group: group.id.clone(),
            servers: group.backend_servers.clone(),
            ranks_per_server: group.ranks_per_server,
            shape,
        }
    }

    /// Returns the index of a backend server, or `None` if it is not a member.
    #[must_use]
    pub fn index_of(&self, server: &BackendServerId) -> Option<MemberIndex> {
        let index = self.servers.iter().position(|member| member == server)?;
        u8::try_from(index).ok().map(MemberIndex)
    }

    /// Returns the backend server with the given index, or `None` if there is none.
    #[must_use]
    pub fn server_at(&self, index: MemberIndex) -> Option<&BackendServerId> {
        self.servers.get(index.index())
    }

    /// Returns the indices of all members in ascending order.
    pub fn indices(&self) -> impl Iterator<Item = MemberIndex> + use<> {
        (0..=u8::MAX).take(self.servers.len()).map(MemberIndex)
    }
}

fn content_digest(group: &ModelGroup) -> u64 {
    let mut hasher = Xxh3::new();
    let names = std::iter::once(group.id.as_str());
    for name in names.chain(group.backend_servers.iter().map(BackendServerId::as_str)) {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    for size in [group.ranks_per_server, group.layers, group.experts_per_layer] {
        hasher.update(&size.to_le_bytes());
    }
    hasher.digest()
}
