//! A node's own status, which it publishes to the others: the first kind of record that components write.
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Starting,
    Serving,
    Leaving,
}

/// Contains only what changes rarely, as each version is sent to all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub stage: Stage,
}

impl NodeStatus {
    pub fn encode(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
