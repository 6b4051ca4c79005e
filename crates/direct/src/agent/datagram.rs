//! Messages between the agents of a group and their encoding, one message per UDP datagram.
//!
//! UDP has no connection state that could go stale when an instance freezes. Lost messages are
//! recovered because the leader repeats its polls and orders.

use hickorycross_core::map_change::{CollectedStatuses, OrderResult, RankOrder, RankStatus};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::{DecompressError, decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a message before compression: twice the size of a map of 512 ranks with 16
/// layers of 5 slots and 2 bytes per slot, or of as many counts.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Maximum payload of a UDP datagram over IPv4.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Length from which messages are compressed, which covers expert counts and maps. Compression does
/// not shrink shorter ones.
const MIN_DEFLATED_BYTES: usize = 300;

/// Compression level. The gain comes from small numbers taking few bits; higher levels search for
/// repetitions, of which there are none.
const DEFLATE_LEVEL: u8 = 1;

/// Length from which an order counts as long: it no longer fits into one network packet.
const LONG_ORDER_BYTES: usize = 1_400;

/// First byte of an uncompressed message.
const PLAIN: u8 = 0;
/// First byte of a compressed message.
const DEFLATED: u8 = 1;

/// Reason why a datagram cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecodeError {
    /// The first byte denotes no known encoding, or the datagram is empty.
    #[error("unknown encoding")]
    UnknownEncoding,
    /// Decompression failed, or the result exceeds [`MAX_MESSAGE_BYTES`].
    #[error("decompression failed: {0:?}")]
    Inflate(DecompressError),
    /// The content is not a [`Datagram`].
    #[error(transparent)]
    Content(#[from] postcard::Error),
}

/// An agent to which an order is relayed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct RelayTarget {
    /// Address of the agent.
    pub(crate) agent: SocketAddr,
    /// Number of the order for this agent.
    pub(crate) number: u64,
}

/// A request of the leader for a status, which also announces that it leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Poll {
    /// Name of the leader's group. A service may have several.
    pub(crate) group: String,
    /// Fencing number of the leader.
    pub(crate) fence: u64,
    /// Version of the map that the leader knows completely. A rank that uses it omits its experts.
    pub(crate) known_map: Option<u64>,
    /// Whether the status is to contain expert counts.
    pub(crate) wants_counts: bool,
    /// Set if the agent is to take over when these polls stop.
    pub(crate) watch: Option<WatchAssignment>,
    /// Whether any agent watches the leader. If not, no pass is held or about to be held.
    pub(crate) is_watched: bool,
}

/// Asks an agent to watch the leader while a rank holds a pass for it or is about to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WatchAssignment {
    /// Number of agents that take over before this one; 0 for the agent of the rank that holds the
    /// pass.
    #[serde(rename = "place")]
    pub(crate) predecessors: u8,
    /// Whether this agent is the witness of a map change in progress: it alone arms the leader's
    /// own rank.
    pub(crate) is_witness: bool,
}

/// A message between agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Request of the leader for the status of one rank.
    Poll(Poll),
    /// Request of the leader to collect the statuses of a section of its group.
    Collect {
        /// Number that the leader gave to the section.
        section: u16,
        /// The poll to send to the agents of the section.
        poll: Poll,
        /// Addresses of the other agents of the section.
        others: Vec<SocketAddr>,
    },
    /// Request of an agent that collects statuses for the leader.
    #[serde(rename = "PollPart")]
    SectionPoll(Poll),
    /// Answer to a `SectionPoll`.
    #[serde(rename = "Part")]
    SectionStatus(RankStatus),
    /// The statuses that an agent has collected, sent to the leader.
    Collected(CollectedStatuses),
    /// Answer to a `Poll`.
    Status(RankStatus),
    /// Order of the leader to the rank of the receiving agent.
    Order {
        /// Number of the order, unique per leader.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// Order of the leader that the receiving agent carries out and relays to other agents.
    Relay {
        /// Number of the order for the receiving agent's own rank.
        number: u64,
        /// The order, the same for all these ranks.
        order: RankOrder,
        /// The agents to which the order is relayed.
        #[serde(rename = "legs")]
        targets: Vec<RelayTarget>,
    },
    /// Order that another agent relays for the leader.
    Relayed {
        /// Address of the leader, to which the result is sent.
        leader: SocketAddr,
        /// Number of the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// Request of the leader to the agent of the rank that holds a pass: arm the leader's own rank.
    #[serde(rename = "ArmBeside")]
    ArmLeaderRank {
        /// The leader's own rank.
        rank: u16,
        /// Number of the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// Result of an order, sent to the leader.
    #[serde(rename = "End")]
    OrderResult {
        /// The rank that the order was for.
        rank: u16,
        /// Number of the order.
        number: u64,
        /// Fencing number of the order. Order numbers start again with each leader.
        fence: u64,
        /// The result.
        #[serde(rename = "ended")]
        result: OrderResult,
    },
}

impl Datagram {
    /// Returns the name of the message type in logs and metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Poll(_) => "poll",
            Self::Collect { .. } => "collect",
            Self::SectionPoll(_) => "poll-part",
            Self::SectionStatus(_) => "part",
            Self::Collected(_) => "collected",
            Self::Status(_) => "status",
            Self::Order { .. } => "order",
            Self::Relay { .. } => "relay",
            Self::Relayed { .. } => "relayed",
            Self::ArmLeaderRank { .. } => "arm-beside",
            Self::OrderResult { .. } => "end",
        }
    }

    /// Returns whether the message, encoded in `bytes` bytes, is an order long enough to be sent at
    /// a limited rate, so that it does not delay other messages on the link.
    pub(crate) const fn is_long_order(&self, bytes: usize) -> bool {
        let is_order =
            matches!(self, Self::Order { .. } | Self::Relay { .. } | Self::Relayed { .. });
        is_order && bytes >= LONG_ORDER_BYTES
    }

    /// Encodes the message, with compression from [`MIN_DEFLATED_BYTES`] on.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be serialised.
    pub(crate) fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        let message = postcard::to_stdvec(self)?;
        let (encoding, message) = if message.len() < MIN_DEFLATED_BYTES {
            (PLAIN, message)
        } else {
            (DEFLATED, compress_to_vec(&message, DEFLATE_LEVEL))
        };
        Ok([&[encoding], message.as_slice()].concat())
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message, or are one longer than [`MAX_MESSAGE_BYTES`].
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.split_first() {
            Some((&PLAIN, message)) => Ok(postcard::from_bytes(message)?),
            Some((&DEFLATED, deflated)) => {
                let message = decompress_to_vec_with_limit(deflated, MAX_MESSAGE_BYTES)
                    .map_err(DecodeError::Inflate)?;
                Ok(postcard::from_bytes(&message)?)
            }
            _ => Err(DecodeError::UnknownEncoding),
        }
    }
}
