//! What happens, as it is drawn.

use proptest::prelude::*;

/// Clients that ask by turns.
pub(super) const CLIENTS: usize = 4;
/// What the list tells of.
pub(super) const NODES: [(&str, u32, &str, &str); 4] = [
    ("s-a", 6001, "east", "box"),
    ("s-b", 6002, "east", "box"),
    ("p-1", 6003, "hub", "parent"),
    ("p-2", 6004, "hub", "parent"),
];

/// One thing that happens. What it names is taken modulo what there is.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Ask {
        client: usize,
        of: usize,
        object: u8,
        ms: u64,
    },
    Abort {
        which: usize,
    },
    /// A client sends what can't be read.
    Garbage {
        client: usize,
    },
    /// A client uses a tag twice, where it has one open.
    TagTwice {
        client: usize,
    },
    /// A client ends its sending side, or its connection, and comes again.
    Leave {
        client: usize,
        half: bool,
    },
    /// The same on a connection that it used before.
    LeaveFormer {
        which: usize,
        half: bool,
    },
    Terminate,
    /// A connection comes up, fails, or could not be opened.
    Connect {
        which: usize,
        how: u8,
    },
    /// So many bytes leave on a connection.
    Leaves {
        which: usize,
        bytes: u64,
    },
    /// A node answers something that came to it, twice or with a wrong end at times.
    Answer {
        which: usize,
        word: usize,
        twice: bool,
    },
    /// A node says again what it said.
    Again {
        which: usize,
    },
    NodeEnds {
        which: usize,
    },
    List {
        node: usize,
        state: usize,
        anew: bool,
    },
    Purge {
        object: u8,
    },
    NoDescriptors,
    Pass {
        ms: u64,
    },
}

impl Step {
    /// Whether a client does it.
    pub(super) fn is_of_a_client(&self) -> bool {
        use Step::*;
        matches!(
            self,
            Ask { .. } | Abort { .. } | Garbage { .. } | TagTwice { .. } | Leave { .. } | LeaveFormer { .. }
        )
    }
}

pub(super) fn step() -> impl Strategy<Value = Step> {
    let nth = || 0_usize..1_000;
    prop_oneof![
        6 => (0..CLIENTS, 0..3_usize, 0..4_u8, 150..2_500_u64)
            .prop_map(|(client, of, object, ms)| Step::Ask { client, of, object, ms }),
        2 => nth().prop_map(|which| Step::Abort { which }),
        1 => (0..CLIENTS).prop_map(|client| Step::Garbage { client }),
        1 => (0..CLIENTS).prop_map(|client| Step::TagTwice { client }),
        1 => (0..CLIENTS, any::<bool>()).prop_map(|(client, half)| Step::Leave { client, half }),
        1 => (nth(), any::<bool>()).prop_map(|(which, half)| Step::LeaveFormer { which, half }),
        6 => (nth(), 0..8_u8).prop_map(|(which, how)| Step::Connect { which, how }),
        8 => (nth(), prop_oneof![Just(u64::MAX), 1..90_u64]).prop_map(|(which, bytes)| Step::Leaves { which, bytes }),
        8 => (nth(), 0..7_usize, proptest::bool::weighted(0.2))
            .prop_map(|(which, word, twice)| Step::Answer { which, word, twice }),
        2 => nth().prop_map(|which| Step::Again { which }),
        1 => nth().prop_map(|which| Step::NodeEnds { which }),
        2 => (0..NODES.len(), 0..4_usize, any::<bool>()).prop_map(|(node, state, anew)| Step::List { node, state, anew }),
        1 => (0..4_u8).prop_map(|object| Step::Purge { object }),
        1 => Just(Step::NoDescriptors),
        // Rare enough for most stories to be played to their end.
        1 => proptest::bool::weighted(0.1).prop_map(|ends| if ends { Step::Terminate } else { Step::NoDescriptors }),
        6 => prop_oneof![1..40_u64, 40..700_u64].prop_map(|ms| Step::Pass { ms }),
    ]
}
