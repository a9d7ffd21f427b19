//! copperroute decides, for each request a dispatcher takes, which edge cache is asked, where a miss
//! is filled from, and whether the copy is kept (MC3). It does no input or output of its own: an
//! adapter calls [`policy::Dispatcher`] and hands it an [`interface::Actions`] to answer through.

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
