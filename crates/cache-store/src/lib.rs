//! The dispatcher's local cache: copies of object parts in memory and, if configured, on disk, where they survive a
//! restart or a crash.
//!
//! `admission` decides which tier keeps a copy, `memory` and `disk` are the two tiers, and `worker` runs the disk tier
//! on its own thread. `reopening` says when a failed disk is opened again. `record` and `snapshot` encode and decode
//! the stored forms; like `admission` they do no input or output. Only `segment` and `disk` access files, through the
//! traits of `files`.

pub mod admission;
pub mod disk;
pub mod files;
pub mod index;
pub mod memory;
pub mod purges;
pub mod record;
pub mod reopening;
pub mod segment;
pub mod sketch;
pub mod snapshot;
pub mod worker;
