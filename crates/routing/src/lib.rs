//! Routing decisions of a dispatcher: for each request, which cache gets an attempt, where a miss is filled from, and
//! whether the copy is kept (MC3). The crate does no I/O and reads no clock. An adapter calls [`policy::Dispatcher`]
//! for each event and gives it an [`interface::Actions`] through which it acts.

pub mod change_log;
pub mod fleet;
pub mod interface;
pub mod listed_nodes;
pub mod node_capacity;
pub mod node_lease;
pub mod nodes;
pub mod pinned_rules;
pub mod policy;
pub mod purges;
pub mod reconnect_schedule;
pub mod retry_safety;
pub mod state;
pub mod structures;
