//! What agents of a group say to each other, one datagram a message.
//!
//! Datagrams need no connection that could go silent; what is lost is asked for again.

use hickorycross_core::map_change::{CollectedStatuses, OrderResult, RankOrder, RankStatus};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::{DecompressError, decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest message before it is deflated: a map of 512 ranks with 16 layers of 5 slots and 2 bytes a slot, or
/// as many counts, twice over.
const MOST_BYTES: usize = 256 * 1024;

/// Longest datagram that the network carries.
pub(crate) const MOST_DATAGRAM_BYTES: usize = 65_507;

/// Messages from this length on are deflated: choices of experts and maps. Shorter ones do not get
/// shorter by it.
const DEFLATED_FROM_BYTES: usize = 300;

/// Few bits a number is all that can be won; higher levels look for repetitions that are not there.
const DEFLATE_LEVEL: u8 = 1;

/// Length from which an order counts as long: more than one packet of the network.
const LONG_FROM_BYTES: usize = 1_400;

/// First byte of a message as it is.
const PLAIN: u8 = 0;
/// First byte of a deflated one.
const DEFLATED: u8 = 1;

/// Why a datagram holds no message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Unreadable {
    /// Neither plain nor deflated.
    #[error("unknown first byte")]
    UnknownForm,
    /// It does not inflate, or to more than [`MOST_BYTES`].
    #[error("does not inflate: {0:?}")]
    Deflated(DecompressError),
    /// It holds something else.
    #[error(transparent)]
    Message(#[from] postcard::Error),
}

/// One of the agents to which an order is passed on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Leg {
    /// Where the agent is.
    pub(crate) agent: SocketAddr,
    /// Names its order.
    pub(crate) number: u64,
}

/// A leader's question, which also says that it leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Poll {
    /// The group that is led. A service may have several.
    pub(crate) group: String,
    /// The leader's fence.
    pub(crate) fence: u64,
    /// The map whose experts it knows.
    pub(crate) known_map: Option<u64>,
    /// Whether the choices of experts are asked for.
    pub(crate) wants_counts: bool,
    /// That the agent is to take over when such polls stop.
    pub(crate) watch: Option<Watch>,
    /// Whether any agent is: no pass is held otherwise, nor about to be.
    pub(crate) is_watched: bool,
}

/// Names an agent that watches a leader for which a rank holds a pass, or is about to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Watch {
    /// How many other agents take over sooner; none for that of the rank that holds.
    pub(crate) place: u8,
    /// Whether a change goes on for which this agent alone orders the rank beside the leader to switch.
    pub(crate) is_witness: bool,
}

/// A message between agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The leader asks for a status.
    Poll(Poll),
    /// The leader asks for the statuses of a section of its group.
    Collect {
        /// The section, by the leader's number.
        section: u16,
        /// What is asked.
        poll: Poll,
        /// The other agents of the section.
        others: Vec<SocketAddr>,
    },
    /// An agent asks for a status that it collects for the leader.
    PollPart(Poll),
    /// An agent's answer to that.
    Part(RankStatus),
    /// What an agent has collected.
    Collected(CollectedStatuses),
    /// An agent's answer to a poll.
    Status(RankStatus),
    /// The leader gives an order.
    Order {
        /// Names the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// The leader gives an order, which the agent also passes on to others.
    Relay {
        /// Names the order to the agent's own rank.
        number: u64,
        /// The order to all of them.
        order: RankOrder,
        /// The others.
        legs: Vec<Leg>,
    },
    /// An order that another agent passes on.
    Relayed {
        /// Where the leader is, who is told of the order's end.
        leader: SocketAddr,
        /// Names the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// The leader asks the agent of the rank that holds to arm the rank beside the leader.
    ArmBeside {
        /// The rank beside the leader.
        rank: u16,
        /// Names the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// What became of an order.
    End {
        /// The rank that carried it out.
        rank: u16,
        /// Names the order.
        number: u64,
        /// The order's fence; numbers begin anew with each leader.
        fence: u64,
        /// What became of it.
        ended: OrderResult,
    },
}

impl Datagram {
    /// The word for logs and metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Poll(_) => "poll",
            Self::Collect { .. } => "collect",
            Self::PollPart(_) => "poll-part",
            Self::Part(_) => "part",
            Self::Collected(_) => "collected",
            Self::Status(_) => "status",
            Self::Order { .. } => "order",
            Self::Relay { .. } => "relay",
            Self::Relayed { .. } => "relayed",
            Self::ArmBeside { .. } => "arm-beside",
            Self::End { .. } => "end",
        }
    }

    /// Whether the message, of `bytes`, is an order that gives way to others on a full link.
    pub(crate) const fn is_long_order(&self, bytes: usize) -> bool {
        let is_order =
            matches!(self, Self::Order { .. } | Self::Relay { .. } | Self::Relayed { .. });
        is_order && bytes >= LONG_FROM_BYTES
    }

    /// The bytes to send.
    ///
    /// # Errors
    ///
    /// When the message does not serialise.
    pub(crate) fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        let message = postcard::to_stdvec(self)?;
        let (form, message) = if message.len() < DEFLATED_FROM_BYTES {
            (PLAIN, message)
        } else {
            (DEFLATED, compress_to_vec(&message, DEFLATE_LEVEL))
        };
        Ok([&[form], message.as_slice()].concat())
    }

    /// Reads what came.
    ///
    /// # Errors
    ///
    /// When the bytes hold no message, or one longer than [`MOST_BYTES`].
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        match bytes.split_first() {
            Some((&PLAIN, message)) => Ok(postcard::from_bytes(message)?),
            Some((&DEFLATED, deflated)) => {
                let message = decompress_to_vec_with_limit(deflated, MOST_BYTES)
                    .map_err(Unreadable::Deflated)?;
                Ok(postcard::from_bytes(&message)?)
            }
            _ => Err(Unreadable::UnknownForm),
        }
    }
}
