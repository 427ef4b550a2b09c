//! Many at once, on real processes under real limits: idle clients on all of a node's connections, nodes that all start again.
mod descriptors;
mod fault_table;
mod judged;
mod old_list;
mod own_failures;
mod referee;
mod restarts;
mod soak;
mod stand_in;
mod system_calls;
mod told_deadlines;
