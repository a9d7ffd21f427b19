//! Copies of a dispatcher's own. Decisions stand in `admission.rs` and do no input or output; codecs in `record.rs`
//! and `snapshot.rs` neither. Files are touched through `files.rs` by `segment.rs` and `disk.rs` alone, on the
//! thread of `worker.rs`; when it tries a disk anew, `reopening.rs` decides.

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
