//! Rules with versions on which dispatchers agree: no two act on rules that contradict each other for longer than a
//! stated time, though none hears another. See docs/agreement.md.
//!
//! No input or output here: times come with each call. [`rules`] says what a rule is and which of two values is the
//! stricter, [`version`] what a version says and when it will do, [`lease`] how long one may believe to be up to date,
//! [`agreement`] on which rules a dispatcher acts.

pub mod agreement;
pub mod faults;
pub mod lease;
pub mod list_versions;
pub mod rules;
pub mod timing;
pub mod version;
