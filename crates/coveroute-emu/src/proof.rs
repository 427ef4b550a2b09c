//! The result of a proof: its figures and the requirements that they miss.
use std::path::PathBuf;

use serde::Serialize;
use serde_json::{json, Value};

/// Measured figures, and a message for each requirement that was missed.
#[derive(Debug, Default, Serialize)]
pub struct Proof {
    pub figures: Value,
    pub short_of: Vec<String>,
}

impl Proof {
    pub fn new() -> Self {
        Proof { figures: json!({}), short_of: Vec::new() }
    }

    pub fn note(&mut self, name: &str, figure: impl Serialize) {
        self.figures[name] = json!(figure);
    }

    pub fn require(&mut self, holds: bool, message: String) {
        if !holds {
            self.short_of.push(message);
        }
    }
}

/// Where a proof finds the scenarios and the node's program. Proofs are run from the repository.
pub struct ProofContext {
    pub scenarios: PathBuf,
    pub node: PathBuf,
    pub long: bool,
}
