//! The door of one instance: wire ids to small indices and back, and the lines that it sends.

use copperroute::interface::{DlId, Nanos, NodeId, ObjectId, Outbox, Pull};
use std::collections::HashMap;
use std::fmt::Write as _;

/// Slots that are handed out lowest first and used again once released.
#[derive(Default)]
struct Slots {
    next: u32,
    free: Vec<u32>,
}

impl Slots {
    fn take(&mut self) -> u32 {
        self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        })
    }
}

/// What one instance knows of the wire's ids.
pub struct Door {
    instance: u32,
    dl_by_id: HashMap<u64, u32>,
    ids: Vec<u64>,
    dl_slots: Slots,
    object_by_name: HashMap<(String, u64), u32>,
    objects: Vec<(String, u64)>,
    object_slots: Slots,
    node_by_address: HashMap<String, u32>,
    addresses: Vec<String>,
    /// Lines not yet written.
    pub lines: String,
}

impl Door {
    pub fn new(instance: u32) -> Self {
        Door {
            instance,
            dl_by_id: HashMap::new(),
            ids: Vec::new(),
            dl_slots: Slots::default(),
            object_by_name: HashMap::new(),
            objects: Vec::new(),
            object_slots: Slots::default(),
            node_by_address: HashMap::new(),
            addresses: Vec::new(),
            lines: String::new(),
        }
    }

    /// A slot for a download that has just come.
    pub fn open(&mut self, id: u64) -> DlId {
        let slot = self.dl_slots.take();
        if slot as usize == self.ids.len() {
            self.ids.push(id);
        } else {
            self.ids[slot as usize] = id;
        }
        self.dl_by_id.insert(id, slot);
        DlId(slot)
    }

    /// The slot of a download, if it is still held.
    pub fn held(&self, id: u64) -> Option<DlId> {
        self.dl_by_id.get(&id).map(|slot| DlId(*slot))
    }

    pub fn object(&mut self, name: &str, part: u64) -> ObjectId {
        let name = (name.to_string(), part);
        if let Some(slot) = self.object_by_name.get(&name) {
            return ObjectId(*slot);
        }
        let slot = self.object_slots.take();
        if slot as usize == self.objects.len() {
            self.objects.push(name.clone());
        } else {
            self.objects[slot as usize] = name.clone();
        }
        self.object_by_name.insert(name, slot);
        ObjectId(slot)
    }

    /// The index of a listed node, new or known.
    pub fn list_node(&mut self, address: &str) -> NodeId {
        if let Some(node) = self.node(address) {
            return node;
        }
        let node = self.addresses.len() as u32;
        self.addresses.push(address.to_string());
        self.node_by_address.insert(address.to_string(), node);
        NodeId(node)
    }

    /// The index of a node that was listed before.
    pub fn node(&self, address: &str) -> Option<NodeId> {
        self.node_by_address.get(address).map(|node| NodeId(*node))
    }
}

/// A span in seconds, or `-` for none.
struct Secs(Option<Nanos>);

impl std::fmt::Display for Secs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            None => f.write_str("-"),
            // A span never rounds down to 0, which the wire reads as none.
            Some(span) => write!(f, "{:.6}", span.secs().max(1e-6)),
        }
    }
}

/// Adds a line to the reply; writing to a string cannot fail.
macro_rules! say {
    ($door:ident, $($parts:tt)*) => {{ let _ = writeln!($door.lines, $($parts)*); }};
}

impl Outbox for Door {
    fn pull(&mut self, dl: DlId, pull: &Pull) {
        let manner = u32::from(pull.join)
            + 2 * u32::from(pull.held_only)
            + 4 * u32::from(pull.no_parent_copy)
            + 8 * u32::from(pull.renew);
        say!(
            self,
            "pull_via\t{}\t{}\t{}\t{manner}\t{}\t{}\t{}\t{}",
            self.instance,
            self.ids[dl.0 as usize],
            Secs(pull.try_for),
            self.addresses[pull.source.0 as usize],
            self.addresses[pull.node.0 as usize],
            pull.rank,
            Secs(pull.max_age),
        );
    }

    fn call_off(&mut self, dl: DlId, number: u32) {
        say!(self, "revoke\t{}\t{}\t{number}", self.instance, self.ids[dl.0 as usize]);
    }

    fn throttle(&mut self, dl: DlId, come_back: Option<Nanos>) {
        say!(self, "not_now\t{}\t{}\t{}", self.instance, self.ids[dl.0 as usize], Secs(come_back));
    }

    fn abandon(&mut self, dl: DlId) {
        say!(self, "abort\t{}\t{}", self.instance, self.ids[dl.0 as usize]);
    }

    fn arm(&mut self, span: Nanos, token: u64) {
        say!(self, "arm\t{}\t{}\t{token}", self.instance, Secs(Some(span)));
    }

    fn follow(&mut self) {
        say!(self, "follow\t{}\t1", self.instance);
    }

    fn note(&mut self, line: &str) {
        say!(self, "note_down\t{}\t{line}", self.instance);
    }

    fn release(&mut self, dl: DlId) {
        let id = self.ids[dl.0 as usize];
        if self.dl_by_id.remove(&id).is_some() {
            self.dl_slots.free.push(dl.0);
        }
    }

    fn release_object(&mut self, object: ObjectId) {
        let name = &self.objects[object.0 as usize];
        if self.object_by_name.remove(name).is_some() {
            self.object_slots.free.push(object.0);
        }
    }
}
