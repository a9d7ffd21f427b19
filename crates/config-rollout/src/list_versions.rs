//! The versions of the list of nodes: a list that is older than one that was taken would undo its drains.

use copperroute_routing::interface::stable_hash;
use std::fmt;

/// Why a list is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRefusal {
    /// A later one was taken.
    Older {
        /// The version that came.
        is: u64,
        /// The version that is held.
        holds: u64,
    },
    /// Another content was taken under this version.
    TwoContents {
        /// The version.
        version: u64,
    },
}

impl fmt::Display for ListRefusal {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListRefusal::Older { is, holds } => write!(to, "version {is} is older than {holds}"),
            ListRefusal::TwoContents { version } => {
                write!(to, "version {version} has two contents, the first stands")
            }
        }
    }
}

/// The version that was last taken, and a print of its content.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListVersions {
    taken: Option<(u64, u64)>,
}

impl ListVersions {
    /// A list has come: whether it is new, or why it may not be taken. What was taken before, word for word, is known.
    pub fn list_received(&mut self, version: u64, content: &[u8]) -> Result<bool, ListRefusal> {
        let print = stable_hash(content);
        match self.taken {
            Some((holds, _)) if version < holds => Err(ListRefusal::Older { is: version, holds }),
            Some((holds, was)) if version == holds && print != was => {
                Err(ListRefusal::TwoContents { version })
            }
            Some((holds, _)) if version == holds => Ok(false),
            _ => {
                self.taken = Some((version, print));
                Ok(true)
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/lists.rs"]
mod tests;
