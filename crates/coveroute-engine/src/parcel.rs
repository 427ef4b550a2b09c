//! Parcel: a job under way, as one process of a node hands it to another: by names, as both number things by
//! themselves. The client's connection and the job's bytes go beside it.
use coveroute::types::{Inv, Operation};
use serde::{Deserialize, Serialize};

use crate::book::Stage;

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Parcel {
    pub call: String,
    /// Its operation, as it was taken: the name, what holds of it, its client timeout and the kind it needs.
    pub operation: String,
    pub entry: Operation,
    pub timeout: f64,
    pub kind: Option<String>,
    /// By when the client has its answer.
    pub end: f64,
    pub inv: Inv,
    /// Each forward's executor, and where it stands there.
    pub forwards: Vec<(String, f64, Stage)>,
}

impl Parcel {
    /// Whether it is of one piece. Guards against a link that says what no engine has parted with.
    pub fn is_sound(&self) -> bool {
        self.inv.forwards.len() == self.forwards.len() && self.timeout > 0.0
    }

    /// Whether it comes out of its words as it went in. Guards against a figure that they can't hold: the job stays.
    pub fn travels(&self) -> bool {
        let words = serde_json::to_vec(self);
        words.is_ok_and(|words| serde_json::from_slice::<Parcel>(&words).is_ok())
    }
}
