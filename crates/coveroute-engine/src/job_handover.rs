//! A running job in the form in which one process of a node hands it to another. It uses names, because each process
//! assigns its own numbers. The client's connection and the job's body are transferred separately.
use coveroute::location::Location;
use coveroute::types::{Invocation, Operation};
use serde::{Deserialize, Serialize};

use crate::records::Stage;

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobHandover {
    pub call: String,
    /// The operation as of the job's admission: name, settings, client timeout and required kind of executor.
    pub operation: String,
    pub entry: Operation,
    pub timeout: f64,
    pub kind: Option<String>,
    /// Deadline of the client.
    #[serde(rename = "end")]
    pub deadline: f64,
    #[serde(rename = "inv")]
    pub invocation: Invocation,
    /// Executor, time of sending and stage of each forward.
    pub forwards: Vec<(String, f64, Stage)>,
    /// Where the executor of each forward was. Handovers from older versions of the program lack this field.
    #[serde(default)]
    pub locations: Vec<Option<Location<String>>>,
}

impl JobHandover {
    /// Whether the parts are consistent. A handover received over a link may not come from an engine.
    pub fn is_consistent(&self) -> bool {
        let forwards = self.forwards.len();
        self.invocation.forwards.len() == forwards
            && (self.locations.is_empty() || self.locations.len() == forwards)
            && self.timeout > 0.0
    }

    /// Whether the handover can be read back from its JSON form. A job with a number that JSON cannot represent stays here.
    pub fn survives_round_trip(&self) -> bool {
        let json = serde_json::to_vec(self);
        json.is_ok_and(|json| serde_json::from_slice::<JobHandover>(&json).is_ok())
    }
}
