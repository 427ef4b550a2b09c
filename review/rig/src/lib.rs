//! Stand-ins for the review's cases: discovery, executors, clients and the platform, by the operators' protocol page.
//! Standard library only; a thread for each connection; loopback addresses only.
pub mod case;
pub mod client;
pub mod discovery;
pub mod executor;
pub mod http;
pub mod node;

pub use case::Case;

/// A configuration in the platform's form, with the settings of a small deployment: two nodes, one location, the list
/// of executors asked for, load reports with answers. `categories` and `orgs` are JSON arrays.
pub fn configuration(
    listen: std::net::SocketAddr,
    discovery: std::net::SocketAddr,
    known: &str,
    nodes: usize,
    me: usize,
    categories: &str,
    orgs: &str,
) -> String {
    format!(
        r#"{{"name":"n{me}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{{"callers":{{"marksRetry":false}},
  "categories":{categories},
  "family":"jobs",
  "familyInfo":{{"progress":2000.0,"tellsStart":false}},
  "goal":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1}},
  "layer":0,
  "limits":{{"cancelling":true,"connIdle":60000.0,"dialTimeout":250.0,"maxAttempts":4,"maxRetryAfter":2000.0,
   "mostHeld":20000,"peers":false,"probing":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1}},
  "me":{me},
  "orgs":{orgs},
  "overShareWorth":0.1,
  "penalties":{{"connection":0.0,"crossZone":0.0,"lateFail":0.03,"probe":0.002,"waste":0.02}},
  "registryMode":"on_request",
  "replicasOfMe":{nodes},
  "report":{{"names":["x0","depth","concurrent"],"source":"answers"}},
  "rules":{{"answerSlack":8.0,"askWithin":10000.0,"drainGrace":500.0,"fall":2000.0,"overloadFactor":4.0,
   "startCapacity":0.3,"warmUp":9000.0}},
  "skus":["std"],
  "stages":["workers"],
  "valueBy":"work",
  "weights":"none",
  "zone":"north",
  "zones":["north"]}}}}"#
    )
}
