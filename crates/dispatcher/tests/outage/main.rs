//! The program between stand-ins of the change log, nodes and clients, while the change log is not heard as it should be.
//! What is judged is what the stand-ins recorded, by the strictest bounds of the rules on drains and purges.

mod change_log;
mod clients;
mod clock;
mod fleet;
mod judge;
mod nodes;
mod reproduction;
mod soak;
mod story;
