//! Which replicas of the change log are followed, and what counts of that which two of them tell.

mod merge;
mod random;
mod selection;
