//! What nodes say to each other: one datagram each, with a mark, a version and a checksum over the fleet's name too.
use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation, MemberUpdate};
use crate::table::{Kind, Record};

/// The longest datagram: under what every way carries whole.
pub const MAX_DATAGRAM: usize = 1200;
/// The first byte of each: no letter, so that nodes' hints, which are text, can share the address.
pub const MARK: u8 = 0xC7;
const VERSION: u8 = 1;
const HEADER_LEN: usize = 6;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Id,
    pub incarnation: Incarnation,
    /// Over all that the sender holds: who holds the same has the same.
    pub sum: u64,
    pub words: Vec<MemberUpdate>,
    pub what: MessageBody,
}

/// Records come only in answers: the asker's own clock then bounds how long they were on their way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    Ping {
        number: u64,
    },
    Answer {
        number: u64,
        records: Vec<Record>,
    },
    /// Asks for that member to be pinged by the other.
    Reach {
        number: u64,
        of: Id,
    },
    /// Whether it answered there.
    Reached {
        number: u64,
        well: bool,
    },
    /// Asks for what differs, by the sums of its parts.
    Compare {
        number: u64,
        sums: Vec<u32>,
    },
    /// `more`: there is, and can be asked for at once.
    Differs {
        number: u64,
        records: Vec<Record>,
        more: bool,
    },
    /// From one part on top to the same one there; it may be lost.
    Application {
        kind: Kind,
        bytes: Vec<u8>,
    },
}

/// Why a datagram is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Too short, too long, or not one of ours.
    Foreign,
    Version,
    /// Damaged, or of another fleet.
    Checksum,
    Unreadable,
    /// Not from a member's address, or under another's name.
    Stranger,
}

fn checksum(fleet: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(fleet);
    hasher.update(body);
    hasher.finalize()
}

pub fn encode(fleet: u32, message: &Message) -> Vec<u8> {
    // Can't fail: nothing in it has a length that is not known.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.extend([MARK, VERSION]);
    bytes.extend(checksum(fleet, &body).to_le_bytes());
    bytes.extend(body);
    bytes
}

pub fn decode(fleet: u32, bytes: &[u8]) -> Result<Message, DropReason> {
    if bytes.len() < HEADER_LEN || bytes.len() > MAX_DATAGRAM || bytes[0] != MARK {
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
