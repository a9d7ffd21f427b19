//! Bytes on their way to nodes: what begins to leave is judged then, what has come whole counts as come.

use super::world::{WINDOW, World};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_routing::interface::Nanos;

impl World {
    /// Bytes leave: what begins to leave must still be wanted, and where it goes must still take it.
    pub(super) fn leaves(&mut self, number: u32, bytes: u64) {
        let way = self.way(number);
        let count = (way.unsent.len() as u64).min(bytes) as usize;
        if !way.up || count == 0 {
            return;
        }
        let leaving: Vec<u8> = way.unsent.drain(..count).collect();
        way.left += count as u64;
        let (left, address) = (way.left, way.address.clone());
        let mut whole = Vec::new();
        let mut begun = Vec::new();
        for byte in leaving {
            let arriving = &mut self.way(number).arriving;
            if arriving.is_empty() {
                begun.push(whole.len());
            }
            arriving.push(byte);
            let text = String::from_utf8_lossy(arriving).into_owned();
            let ends = if text.starts_with("fetch") { " 0\r\n\r\n" } else { "\r\n" };
            // An abort is told from a fetch by its first letter.
            if text.ends_with(ends) && !(text.starts_with("fetch") && text.len() < 10) {
                whole.push(text);
                arriving.clear();
            }
        }
        for line in whole {
            if let Some(rest) = line.strip_prefix("fetch ") {
                self.came(number, &address, rest);
            }
        }
        self.event(Event::Written(Peer::Node(number), left));
    }

    /// The first byte of an attempt is about to leave on a connection, as its whole line, looked at before, says.
    pub(super) fn begins(&self, line: &str, address: &str) {
        let id = u64::from_str_radix(line.split(' ').next().expect("an id"), 16).expect("hex");
        let field =
            |name: &str| line.split([' ', ',']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        let asked = &self.asked[&id];
        let node = &self.places[address];
        assert!(asked.waits && asked.answers == 0, "{id}: begun though nobody waits for it");
        assert!(!self.withdrawn.contains(node), "{id}: begun to {node}, which drains");
        assert!(
            !field("src").is_some_and(|source| self.withdrawn.contains(source)),
            "{id}: filled from who drains"
        );
        assert!(
            !(asked.of == 1 && asked.may_have_run > 0),
            "{id}: a post is sent again though it may have run"
        );
        if let Some(first) = asked.first.filter(|_| asked.of == 2 && asked.may_have_run > 0) {
            assert!(self.now.since(first) < WINDOW, "{id}: a repeat behind its time");
        }
        if let Some(purged) =
            self.purged.get(&asked.object).filter(|at| self.now.since(**at) < Nanos(5_000_000_000))
        {
            let age = field("maxage").and_then(|age| age.parse::<u64>().ok());
            let most = (self.now.since(*purged).0 / 1_000_000).max(1);
            assert!(
                asked.of == 1 || age.is_some_and(|age| age <= most),
                "{id}: {age:?} ms old will do, purged {most} ms ago"
            );
        }
    }

    pub(super) fn came(&mut self, number: u32, address: &str, line: &str) {
        let id = u64::from_str_radix(line.split(' ').next().expect("an id"), 16).expect("hex");
        let way = self.ways.get_mut(&number).expect("open");
        assert!(!way.out.contains(&id), "{id}: twice on one connection");
        way.out.push(id);
        let _ = address;
        let asked = self.asked.get_mut(&id).expect("asked for");
        asked.may_have_run += 1;
        asked.first = asked.first.or(Some(self.now));
    }

    /// Whole attempts among the bytes that are about to begin to leave.
    pub(super) fn look(&mut self, number: u32, bytes: u64) {
        let way = self.way(number);
        let text = String::from_utf8_lossy(&way.unsent).into_owned();
        let (mut from, address) = (0, way.address.clone());
        if !way.arriving.is_empty() {
            // The rest of one that has begun.
            from = text.find("\r\n").map_or(text.len(), |at| at + 2);
            from += usize::from(text[from..].starts_with("\r\n")) * 2;
        }
        while (from as u64) < bytes && from < text.len() {
            let end = text[from..].find("\r\n").map_or(text.len(), |at| from + at + 2);
            if let Some(line) = text[from..end].strip_prefix("fetch ") {
                self.begins(line, &address);
                from = end + 2;
            } else {
                from = end;
            }
        }
    }
}
