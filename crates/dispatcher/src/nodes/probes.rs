//! Probes: nodes are asked whether they take work, on a connection that stands, or on one that is made for that.

use super::*;

/// Probes that may be unanswered; of more the oldest are forgotten.
const MOST_OPEN: usize = 4096;

/// How many probes were made, and what came of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes written.
    pub sent: u64,
    /// Nodes that said that they take work.
    pub ready: u64,
    /// Nodes that said that they don't.
    pub not_ready: u64,
}

#[derive(Debug, Clone, Copy)]
struct OpenProbe {
    tag: Hex,
    node: NodeId,
    asked: Nanos,
}

/// Probes that are not answered yet, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last: u64,
    open: VecDeque<OpenProbe>,
    counts: ProbeCounts,
}

impl Probes {
    /// A new probe of a node; `None` if no tag can be made.
    fn ask(&mut self, node: NodeId, now: Nanos) -> Option<Hex> {
        self.last = self.last.wrapping_add(1);
        let tag = Hex::parse(&format!("{:016x}", self.last))?;
        if self.open.len() >= MOST_OPEN {
            self.open.pop_front();
        }
        self.open.push_back(OpenProbe { tag, node, asked: now });
        self.counts.sent += 1;
        Some(tag)
    }

    /// A probe is answered: returns when it was made, if it was made of this node.
    pub(super) fn answered(&mut self, tag: Hex, node: NodeId, takes_work: bool) -> Option<Nanos> {
        let at = self.open.iter().position(|open| open.tag == tag && open.node == node)?;
        let open = self.open.remove(at)?;
        match takes_work {
            true => self.counts.ready += 1,
            false => self.counts.not_ready += 1,
        }
        Some(open.asked)
    }
}

impl Nodes {
    /// Asks a node whether it takes work. Where it has no connection one is made, for the next time.
    pub fn probe_readiness(&mut self, node: NodeId, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get(node.0) else { return };
        if pool.connections.is_empty() {
            return self.connect_for_probes(node, now, effects);
        }
        let is_free = |number: &&u32| {
            self.connections.get(number).is_some_and(|c| c.up && !c.retired && c.queued <= c.written)
        };
        let Some(number) = pool.connections.iter().find(is_free).copied() else { return };
        let (Some(tag), Some(connection)) = (self.probes.ask(node, now), self.connections.get_mut(&number))
        else {
            return;
        };
        let mut bytes = Vec::new();
        encode_probe(tag, &mut bytes);
        connection.queued += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Node(number), bytes));
    }

    fn connect_for_probes(&mut self, node: NodeId, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get(node.0) else { return };
        let may_open = self.connections.len() < self.most && self.openings.may_open(now, &pool.back_off, 0);
        let Some(address) = pool.address.filter(|_| may_open) else { return };
        self.open_connection(node, address, now, effects);
    }

    /// How many probes were made since the start.
    pub fn probe_counts(&self) -> ProbeCounts {
        self.probes.counts
    }
}
