//! The steps of a random sequence, and how they are generated.

use proptest::prelude::*;

/// The number of clients.
pub(super) const CLIENTS: usize = 4;
/// The nodes of the node list: name, port, zone and kind.
pub(super) const NODES: [(&str, u32, &str, &str); 4] = [
    ("s-a", 6001, "east", "box"),
    ("s-b", 6002, "east", "box"),
    ("p-1", 6003, "hub", "parent"),
    ("p-2", 6004, "hub", "parent"),
];

/// A step of a sequence. An index such as `which` is taken modulo the number of items that exist.
#[derive(Debug, Clone)]
pub(super) enum Step {
    SendRequest {
        client: usize,
        content_type: usize,
        object: u8,
        ms: u64,
    },
    Abort {
        which: usize,
    },
    /// A client sends a malformed message.
    Garbage {
        client: usize,
    },
    /// A client reuses the tag of an open request.
    ReuseTag {
        client: usize,
    },
    /// A client ends its sending side (`half`) or its connection, and connects again.
    Leave {
        client: usize,
        half: bool,
    },
    /// The same on a connection that the client used before.
    LeaveFormer {
        which: usize,
        half: bool,
    },
    Terminate,
    /// A connection to a node is established, refused, or cannot be opened locally.
    Connect {
        which: usize,
        how: u8,
    },
    /// A number of bytes is sent on a connection to a node.
    SendBytes {
        which: usize,
        bytes: u64,
    },
    /// A node answers a fetch that it received, sometimes twice.
    Answer {
        which: usize,
        word: usize,
        twice: bool,
    },
    /// A node repeats an earlier answer.
    RepeatAnswer {
        which: usize,
    },
    NodeCloses {
        which: usize,
    },
    UpdateNodeList {
        node: usize,
        state: usize,
        restarted: bool,
    },
    Purge {
        object: u8,
    },
    NoDescriptors,
    AdvanceTime {
        ms: u64,
    },
}

impl Step {
    /// Whether the step is an action of a client.
    pub(super) fn is_client_action(&self) -> bool {
        use Step::*;
        matches!(
            self,
            SendRequest { .. }
                | Abort { .. }
                | Garbage { .. }
                | ReuseTag { .. }
                | Leave { .. }
                | LeaveFormer { .. }
        )
    }
}

pub(super) fn step() -> impl Strategy<Value = Step> {
    let nth = || 0_usize..1_000;
    prop_oneof![
        6 => (0..CLIENTS, 0..3_usize, 0..4_u8, 150..2_500_u64)
            .prop_map(|(client, content_type, object, ms)| Step::SendRequest { client, content_type, object, ms }),
        2 => nth().prop_map(|which| Step::Abort { which }),
        1 => (0..CLIENTS).prop_map(|client| Step::Garbage { client }),
        1 => (0..CLIENTS).prop_map(|client| Step::ReuseTag { client }),
        1 => (0..CLIENTS, any::<bool>()).prop_map(|(client, half)| Step::Leave { client, half }),
        1 => (nth(), any::<bool>()).prop_map(|(which, half)| Step::LeaveFormer { which, half }),
        6 => (nth(), 0..8_u8).prop_map(|(which, how)| Step::Connect { which, how }),
        8 => (nth(), prop_oneof![Just(u64::MAX), 1..90_u64]).prop_map(|(which, bytes)| Step::SendBytes { which, bytes }),
        8 => (nth(), 0..7_usize, proptest::bool::weighted(0.2))
            .prop_map(|(which, word, twice)| Step::Answer { which, word, twice }),
        2 => nth().prop_map(|which| Step::RepeatAnswer { which }),
        1 => nth().prop_map(|which| Step::NodeCloses { which }),
        2 => (0..NODES.len(), 0..4_usize, any::<bool>()).prop_map(|(node, state, restarted)| Step::UpdateNodeList { node, state, restarted }),
        1 => (0..4_u8).prop_map(|object| Step::Purge { object }),
        1 => Just(Step::NoDescriptors),
        // Rare enough that most sequences run to their end.
        1 => proptest::bool::weighted(0.1).prop_map(|ends| if ends { Step::Terminate } else { Step::NoDescriptors }),
        6 => prop_oneof![1..40_u64, 40..700_u64].prop_map(|ms| Step::AdvanceTime { ms }),
    ]
}
