//! Readiness probes, which ask a node whether it takes work. A probe goes out on an established connection; if there is
//! none, one is opened for the next probe.

use super::*;

/// Limit on unanswered probes; beyond it the oldest are forgotten.
const MAX_OPEN_PROBES: usize = 4096;

/// Counts of probes and of their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes sent.
    pub sent: u64,
    /// Answers from nodes that take work.
    pub ready: u64,
    /// Answers from nodes that do not take work.
    pub not_ready: u64,
}

#[derive(Debug, Clone, Copy)]
struct OpenProbe {
    tag: Hex,
    node: NodeId,
    sent_at: Nanos,
}

/// The unanswered probes, the oldest first, and the counts.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_tag: u64,
    open: VecDeque<OpenProbe>,
    counts: ProbeCounts,
}

impl Probes {
    /// Adds a probe of a node and returns its tag.
    fn add(&mut self, node: NodeId, now: Nanos) -> Option<Hex> {
        self.last_tag = self.last_tag.wrapping_add(1);
        let tag = Hex::parse(&format!("{:016x}", self.last_tag))?;
        if self.open.len() >= MAX_OPEN_PROBES {
            self.open.pop_front();
        }
        self.open.push_back(OpenProbe { tag, node, sent_at: now });
        self.counts.sent += 1;
        Some(tag)
    }

    /// A node has answered a probe: returns when it was sent, if it was sent to this node.
    pub(super) fn answered(&mut self, tag: Hex, node: NodeId, takes_work: bool) -> Option<Nanos> {
        let at = self.open.iter().position(|open| open.tag == tag && open.node == node)?;
        let open = self.open.remove(at)?;
        match takes_work {
            true => self.counts.ready += 1,
            false => self.counts.not_ready += 1,
        }
        Some(open.sent_at)
    }
}

impl Nodes {
    /// Sends a probe to a node. If it has no connection, one is opened for the next probe instead.
    pub fn probe_readiness(&mut self, node: NodeId, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get(node.0) else { return };
        if pool.connections.is_empty() {
            return self.connect_for_probes(node, now, effects);
        }
        let is_free = |number: &&u32| {
            self.connections
                .get(number)
                .is_some_and(|c| c.is_up && !c.retired && c.bytes_queued <= c.bytes_written)
        };
        let Some(number) = pool.connections.iter().find(is_free).copied() else { return };
        let (Some(tag), Some(connection)) = (self.probes.add(node, now), self.connections.get_mut(&number))
        else {
            return;
        };
        let mut bytes = Vec::new();
        encode_probe(tag, &mut bytes);
        connection.bytes_queued += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Node(number), bytes));
    }

    fn connect_for_probes(&mut self, node: NodeId, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get(node.0) else { return };
        let may_open =
            self.connections.len() < self.max_connections && self.back_off.may_open(now, &pool.back_off, 0);
        let Some(address) = pool.address.filter(|_| may_open) else { return };
        self.open_connection(node, address, now, effects);
    }

    /// Counts of probes since the start.
    pub fn probe_counts(&self) -> ProbeCounts {
        self.probes.counts
    }
}
