//! Searches of every ordering in the small.

mod change_log;
