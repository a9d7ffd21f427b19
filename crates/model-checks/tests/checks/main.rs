//! Model checks: exhaustive searches of every ordering of events in small models.

mod change_log;
