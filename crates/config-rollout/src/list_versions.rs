//! Accepts node lists in the order of their versions. An older list than the last accepted one is refused, because it
//! would undo that one's drains.
//!
//! Input: the version and the content of each node list received. Output: whether the list is new, or why it is
//! refused.

use copperroute_routing::interface::stable_hash;
use std::fmt;

/// Why a node list is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRefusal {
    /// A later version was accepted before.
    Older {
        /// The version received.
        received: u64,
        /// The version accepted last.
        held: u64,
    },
    /// Another content was accepted under this version.
    ConflictingContent {
        /// The version that both contents bear.
        version: u64,
    },
}

impl fmt::Display for ListRefusal {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListRefusal::Older { received, held } => {
                write!(to, "version {received} is older than {held}")
            }
            ListRefusal::ConflictingContent { version } => {
                write!(to, "version {version} has two contents: the one accepted first is kept")
            }
        }
    }
}

/// The last accepted version and the digest of its content.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListVersions {
    accepted: Option<(u64, u64)>,
}

impl ListVersions {
    /// Accepts a node list: `Ok(true)` if it is new, `Ok(false)` if the same bytes were accepted last.
    pub fn list_received(&mut self, version: u64, content: &[u8]) -> Result<bool, ListRefusal> {
        let digest = stable_hash(content);
        match self.accepted {
            Some((held, _)) if version < held => Err(ListRefusal::Older { received: version, held }),
            Some((held, held_digest)) if version == held && digest != held_digest => {
                Err(ListRefusal::ConflictingContent { version })
            }
            Some((held, _)) if version == held => Ok(false),
            _ => {
                self.accepted = Some((version, digest));
                Ok(true)
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/list_versions.rs"]
mod tests;
