//! Messages between nodes: one datagram each, with a marker byte, a version, and a checksum that also covers the
//! fleet's name.
use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation, MemberUpdate};
use crate::table::{Kind, Record};

/// Upper limit on a datagram, in bytes: below the size that every network path carries without fragmentation.
pub const MAX_DATAGRAM: usize = 1200;
/// The first byte of each datagram. It is not a letter, so that the text messages known as hints can share the
/// address.
pub const MARKER_BYTE: u8 = 0xC7;
const VERSION: u8 = 1;
const HEADER_LEN: usize = 6;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Id,
    pub incarnation: Incarnation,
    /// Checksum over the sender's whole table: nodes that hold the same content have the same sum.
    pub sum: u64,
    pub words: Vec<MemberUpdate>,
    pub what: MessageBody,
}

/// Records are sent only in answers, so that the requester's own clock bounds how long they were in transit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    Ping {
        number: u64,
    },
    Answer {
        number: u64,
        records: Vec<Record>,
    },
    /// Asks the receiver to ping member `of`.
    Reach {
        number: u64,
        of: Id,
    },
    /// Whether the member answered that ping.
    Reached {
        number: u64,
        well: bool,
    },
    /// Asks for what differs, by the sums of the table's partitions.
    Compare {
        number: u64,
        sums: Vec<u32>,
    },
    /// `more`: there are more differences, which can be requested at once.
    Differs {
        number: u64,
        records: Vec<Record>,
        more: bool,
    },
    /// From a component to the same component at another member; may be lost.
    #[serde(rename = "Part")]
    Application {
        kind: Kind,
        bytes: Vec<u8>,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Too short, too long, or without the marker byte.
    Foreign,
    Version,
    /// Damaged, or from another fleet.
    Checksum,
    Unreadable,
    /// Not from a member's address, or under another member's name.
    Stranger,
}

fn checksum(fleet: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(fleet);
    hasher.update(body);
    hasher.finalize()
}

pub fn encode(fleet: u32, message: &Message) -> Vec<u8> {
    // Can't fail: serde knows the length of every sequence in the message.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.extend([MARKER_BYTE, VERSION]);
    bytes.extend(checksum(fleet, &body).to_le_bytes());
    bytes.extend(body);
    bytes
}

pub fn decode(fleet: u32, bytes: &[u8]) -> Result<Message, DropReason> {
    if bytes.len() < HEADER_LEN || bytes.len() > MAX_DATAGRAM || bytes[0] != MARKER_BYTE {
        return Err(DropReason::Foreign);
    }
    if bytes[1] != VERSION {
        return Err(DropReason::Version);
    }
    let (stated, body) = ([bytes[2], bytes[3], bytes[4], bytes[5]], &bytes[HEADER_LEN..]);
    if u32::from_le_bytes(stated) != checksum(fleet, body) {
        return Err(DropReason::Checksum);
    }
    match postcard::take_from_bytes::<Message>(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(DropReason::Unreadable),
    }
}
