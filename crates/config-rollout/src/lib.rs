//! Rolls out versions of the rules to dispatchers that do not communicate with each other: no two dispatchers apply
//! contradicting rules for longer than a stated time. See docs/agreement.md.
//!
//! The crate does no input or output and reads no clock: the caller passes the time with each call. [`rules`] defines
//! the rules and which of two values is the stricter, [`version`] what a version contains and when it is valid,
//! [`timing`] the stated bounds on clocks and delays, [`lease`] how long a dispatcher may assume that it is up to date,
//! [`agreement`] which rules a dispatcher applies, and [`list_versions`] which node lists are accepted.

pub mod agreement;
pub mod faults;
pub mod lease;
pub mod list_versions;
pub mod rules;
pub mod timing;
pub mod version;
