//! Where an executor was when a forward went to it: what deduplication groups are told by. Forwards keep it, because the
//! executor may leave the list, move, or be unknown to the process that continues the invocation.
use serde::{Deserialize, Serialize};

use crate::types::{Entry, Group};

/// The place of an executor. `Z` is how its zone is given: by index within a process, by name between processes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Location<Z = usize> {
    pub zone: Z,
    pub cell: i64,
}

impl Location {
    /// Whether the executor of this entry belongs to the deduplication group of one that was here.
    pub fn shares_dedup_group(&self, group: Group, entry: &Entry) -> bool {
        match group {
            Group::All => true,
            Group::Zone => entry.zone == self.zone,
            Group::Cell => entry.cell == self.cell,
        }
    }
}

impl Entry {
    pub fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}
