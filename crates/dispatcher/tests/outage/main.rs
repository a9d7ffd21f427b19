//! Tests of the program with a faulty change log. The change log, the nodes and the clients are simulated, and record
//! what happens. The records are checked against the strictest bounds of the rules on drains and purges.

mod change_log;
mod clients;
mod clock;
mod fleet;
mod judge;
mod nodes;
mod reproduction;
mod soak;
mod story;
