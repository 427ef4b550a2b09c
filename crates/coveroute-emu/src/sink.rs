//! Receivers of a run's events.
use crate::world::NodeId;

/// Receives each event of a run.
pub trait Sink {
    fn event(&mut self, now: f64, node: NodeId, message: &str);
}

/// A running FNV-1a hash of all events, to compare runs byte for byte without storing them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    pub hash: u64,
    pub events: u64,
}

impl Default for Digest {
    fn default() -> Self {
        Digest { hash: 0xcbf2_9ce4_8422_2325, events: 0 }
    }
}

impl Sink for Digest {
    fn event(&mut self, now: f64, node: NodeId, message: &str) {
        self.events += 1;
        let bytes = now.to_bits().to_le_bytes().into_iter().chain((node as u64).to_le_bytes());
        for byte in bytes.chain(message.bytes()) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
