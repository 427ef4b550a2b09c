//! Wire: the paths and header names of the HTTP protocol.
pub const UP: &str = "/up";
pub const NEWS: &str = "/_jobs/news";
pub const ALIVE: &str = "/alive";
pub const LOAD: &str = "/metrics/load";
pub const JOBS: &str = "/jobs";
pub const HOSTS: &str = "/discovery/hosts";

pub const CALL_ID: &str = "x-call-id";
pub const CALL_CLASS: &str = "x-call-class";
pub const CALLER: &str = "x-caller";
pub const BUDGET_MS: &str = "x-budget-ms";
pub const CALL_COST: &str = "x-call-cost";
pub const CALL_INFO: &str = "x-call-info";
pub const ROUTE_HASH: &str = "x-route-hash";
pub const AGAIN: &str = "x-again";
pub const LOAD_REPORT: &str = "x-load-report";
pub const REJECTED: &str = "x-rejected";

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
