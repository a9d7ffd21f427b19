//! Copies of the dispatcher's own, in memory: kept as the store's admission decides, served where the link is free
//! and no purge forbids it.

use copperroute_cache_store::admission::{OwnLink, Seen, Tier, may_serve};
use copperroute_cache_store::memory::Memory;
use copperroute_cache_store::purges::Purges;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_protocol::hex::Hex;
use copperroute_routing::interface::{ContentType, Nanos, RetrySafety};
use std::collections::HashSet;
use std::sync::Arc;

/// Telling a client that its own copy holds costs this part of sending it.
const TELLING: usize = 20;

/// Purges are held for so long after they were heard of, and four times as long as purged copies lie about: older copies
/// than that come from nowhere any more.
const PURGES_KEPT: Nanos = Nanos(60_000_000_000);

/// The earliest purges among those heard of lately: of the present span and the one before it.
#[derive(Debug, Default)]
struct LatelyPurged {
    began: Nanos,
    current: Option<u64>,
    previous: Option<u64>,
}

impl LatelyPurged {
    /// A purge was heard of that happened at a Unix millisecond; returns from when on purges are to be held, so that
    /// each is for `span` at the least on the dispatcher's own clock, whatever times they tell.
    fn heard(&mut self, now: Nanos, at_ms: u64, span: Nanos) -> u64 {
        let lasted = now.since(self.began);
        if lasted > span {
            self.previous = self.current.take().filter(|_| lasted <= Nanos(2 * span.0));
            self.began = now;
        }
        self.current = Some(self.current.map_or(at_ms, |earliest| earliest.min(at_ms)));
        self.current.into_iter().chain(self.previous).min().unwrap_or(at_ms)
    }
}

/// A copy that came for a request, offered to be kept.
#[derive(Debug)]
pub struct Offered {
    /// What it is of.
    pub key: Key,
    /// Its tag, time and group.
    pub facts: Facts,
    /// Its bytes.
    pub body: Arc<[u8]>,
}

/// What a client is served from here.
#[derive(Debug, Clone, PartialEq)]
pub enum Own {
    /// These bytes.
    Bytes(Arc<[u8]>),
    /// Its own copy is the one.
    Current,
}

/// The copies.
#[derive(Debug)]
pub struct Copies {
    memory: Memory,
    purges: Purges,
    lately_purged: LatelyPurged,
    link: OwnLink,
    types: Vec<ContentType>,
    /// Fingerprints of copies that the disk may have; none while it is off, or not ready.
    on_disk: HashSet<u64>,
    /// The disk is there.
    disk: bool,
    /// All that the change log had to tell at the start has been told: what is on disk can be judged.
    caught_up: bool,
    /// Purged copies lie about for so long, and this dispatcher may take so long to hear of it.
    purge_done: Nanos,
}

/// The key of a copy; nothing for a content type or part that has none.
pub fn key(content_type: u32, object: Hex, part: u64) -> Option<Key> {
    Some(Key {
        content_type: u8::try_from(content_type).ok()?,
        object: object.bytes(),
        part: u32::try_from(part).ok()?,
    })
}

impl Copies {
    /// None yet, with room for so many bytes.
    pub fn new(most_bytes: usize, [flow, link]: [f64; 2], types: &[ContentType], purge_done: Nanos) -> Self {
        Copies {
            memory: Memory::new(most_bytes),
            purges: Purges::default(),
            lately_purged: LatelyPurged::default(),
            link: OwnLink::new(flow, link),
            types: types.to_vec(),
            on_disk: HashSet::new(),
            disk: false,
            caught_up: false,
            purge_done,
        }
    }

    /// Whether copies of this content type may be kept at all.
    pub fn may_keep(&self, content_type: u32) -> bool {
        let told = self.types.get(content_type as usize);
        told.is_some_and(|told| !told.uncacheable && told.retry_safety == RetrySafety::Retriable)
    }

    /// Serves a request from here, if there is a copy that will do and the link has time for it.
    pub fn serve(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        key: &Key,
        held: Option<Hex>,
        target: Nanos,
    ) -> Option<Own> {
        if !self.may_keep(u32::from(key.content_type)) {
            return None;
        }
        let (facts, body) = self.memory.get(key, 1)?;
        if !self.is_good(unix_ms, key, &facts) {
            self.memory.remove(key);
            return None;
        }
        self.send(now, facts, body, held, target)
    }

    /// Fresh, and no purge forbids it.
    fn is_good(&self, unix_ms: u64, key: &Key, facts: &Facts) -> bool {
        let fresh_for = self.types.get(usize::from(key.content_type)).and_then(|told| told.fresh_for);
        may_serve(unix_ms, facts.made_ms, fresh_for, Nanos::ZERO)
            && !self.purges.forbid(&key.object, facts.group, facts.made_ms)
    }

    fn send(
        &mut self,
        now: Nanos,
        facts: Facts,
        body: Arc<[u8]>,
        held: Option<Hex>,
        target: Nanos,
    ) -> Option<Own> {
        let current = held.is_some_and(|held| held.bytes() == facts.etag);
        let bytes = body.len() / if current { TELLING } else { 1 };
        let served = if current { Own::Current } else { Own::Bytes(body) };
        self.link.sends(now, bytes, target).then_some(served)
    }

    // The disk.

    /// The disk is there, with these copies.
    pub fn disk_ready(&mut self, prints: &[u64]) {
        self.disk = true;
        self.on_disk = prints.iter().copied().collect();
    }

    /// The disk is off.
    pub fn disk_off(&mut self) {
        self.disk = false;
        self.on_disk = HashSet::new();
    }

    /// Whether the disk is there.
    pub fn has_disk(&self) -> bool {
        self.disk
    }

    /// All that the change log had to tell has been told.
    pub fn caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Whether the disk is to be asked for a copy.
    pub fn asks_disk(&self, key: &Key) -> bool {
        self.disk
            && self.caught_up
            && self.may_keep(u32::from(key.content_type))
            && self.on_disk.contains(&key.print())
    }

    /// The disk has read a copy, or has none; what a client is served of it.
    pub fn read(
        &mut self,
        [now, target]: [Nanos; 2],
        unix_ms: u64,
        key: &Key,
        held: Option<Hex>,
        copy: Option<(Facts, &[u8])>,
    ) -> Option<Own> {
        let good = copy.filter(|(facts, _)| self.is_good(unix_ms, key, facts));
        let Some((facts, body)) = good else {
            self.on_disk.remove(&key.print());
            return None;
        };
        self.send(now, facts, body.into(), held, target)
    }

    /// The rank at which a copy goes to disk, where it does.
    pub fn to_disk(&mut self, offered: &Offered, rate: Option<f64>, hops: f64) -> Option<u8> {
        let keepable = self.may_keep(u32::from(offered.key.content_type));
        let seen = Seen { rate, hops, bytes: offered.body.len(), keepable };
        let forbidden = self.purges.forbid(&offered.key.object, offered.facts.group, offered.facts.made_ms);
        let rank = Tier::Disk.keeps(&seen).filter(|_| self.disk && !forbidden)?;
        // What is there already, and not known to be of no use, is not written again.
        self.on_disk.insert(offered.key.print()).then_some(rank)
    }

    /// A copy has come for a download: it is kept if what is known of its object says so.
    pub fn offer(&mut self, offered: Offered, rate: Option<f64>, hops: f64) {
        let Offered { key, facts, body } = offered;
        let keepable = self.may_keep(u32::from(key.content_type));
        let rank = Tier::Memory.keeps(&Seen { rate, hops, bytes: body.len(), keepable });
        if let Some(rank) = rank.filter(|_| !self.purges.forbid(&key.object, facts.group, facts.made_ms)) {
            self.memory.put(key, facts, rank, body);
        }
    }

    /// An object, or a group, was purged at a Unix millisecond. What has no such name here lets all copies go.
    pub fn purge(&mut self, object: Option<&str>, group: Option<u64>, at_ms: u64, now: Nanos) {
        match (object.map(Hex::parse), group.map(u8::try_from)) {
            (Some(Some(object)), _) => {
                let object = object.bytes();
                self.memory.remove_all(|key, _| key.object == object);
                self.purges.object(object, at_ms, 0);
            }
            (None, Some(Ok(group))) => {
                // One without a group might be in any.
                self.memory.remove_all(|_, facts| facts.group.is_none_or(|of| of == group));
                self.purges.group(group, at_ms, 0);
            }
            _ => drop(self.memory.remove_all(|_, _| true)),
        }
        let kept_for = Nanos(4 * self.purge_done.0).after(PURGES_KEPT);
        self.purges.forget_before(self.lately_purged.heard(now, at_ms, kept_for));
    }

    /// Anything may have been purged: nothing that is held can be trusted, on disk not even later.
    pub fn purges_lost(&mut self) {
        self.memory.remove_all(|_, _| true);
        self.disk_off();
    }

    /// Copies and bytes that they take.
    pub fn sizes(&self) -> (usize, usize) {
        (self.memory.len(), self.memory.bytes())
    }
}
