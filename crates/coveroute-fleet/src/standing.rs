//! How a node stands, as it tells the others: the first of the records that parts write.
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Starting,
    Serving,
    Leaving,
}

/// Only what changes seldom: each version goes round to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub stage: Stage,
}

impl Standing {
    pub fn bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
