//! Load and fault tests on real processes under real limits, such as idle clients on all of a node's connections and nodes
//! that all restart at once.
mod checker;
mod deadline_propagation;
mod departed_clients;
mod descriptors;
mod fault_table;
mod harness;
mod local_failures;
mod memory;
mod recording_servers;
mod restarts;
mod soak;
mod stale_list;
mod system_calls;
