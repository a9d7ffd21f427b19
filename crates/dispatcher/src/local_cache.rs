//! The dispatcher's local cache of copies, in memory and optionally on disk. Admission rules of the cache
//! store decide what is kept; a copy is served if it is fresh, no purge forbids it and the link has capacity
//! for it. No I/O: the reducer calls it and turns its results into effects.

use copperroute_cache_store::admission::{OwnLink, Seen, Tier, may_serve};
use copperroute_cache_store::memory::Memory;
use copperroute_cache_store::purges::Purges;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_protocol::hex::Hex;
use copperroute_routing::interface::{ContentType, Nanos, RetrySafety};
use std::collections::HashSet;
use std::sync::Arc;

/// Telling a client that its cached copy is still current costs one part in this many of sending the copy.
const NOT_MODIFIED_COST_DIVISOR: usize = 20;

/// Purges are remembered for this long after they were received, plus four times the time that purged copies
/// may remain in circulation: no older copy can arrive after that.
const PURGE_RETENTION_MARGIN: Nanos = Nanos(60_000_000_000);

/// The earliest purge times among the purges received recently: in the present period and in the one before
/// it.
#[derive(Debug, Default)]
struct RecentPurges {
    began: Nanos,
    current: Option<u64>,
    previous: Option<u64>,
}

impl RecentPurges {
    /// Records a purge made at Unix millisecond `at_ms`. Returns the Unix millisecond from which on purges
    /// are to be remembered, so that each is kept for at least `span` on the dispatcher's own clock, whatever
    /// times the purges carry.
    fn record(&mut self, now: Nanos, at_ms: u64, span: Nanos) -> u64 {
        let elapsed = now.since(self.began);
        if elapsed > span {
            self.previous = self.current.take().filter(|_| elapsed <= Nanos(2 * span.0));
            self.began = now;
        }
        self.current = Some(self.current.map_or(at_ms, |earliest| earliest.min(at_ms)));
        self.current.into_iter().chain(self.previous).min().unwrap_or(at_ms)
    }
}

/// A copy that arrived for a request and may be cached.
#[derive(Debug)]
pub struct OfferedCopy {
    /// The content type, object and part.
    pub key: Key,
    /// Its tag, the time it was made, and its group.
    pub facts: Facts,
    /// Its content.
    pub body: Arc<[u8]>,
}

/// An answer served from the local cache.
#[derive(Debug, Clone, PartialEq)]
pub enum LocalAnswer {
    /// The content.
    Bytes(Arc<[u8]>),
    /// The client's cached copy is still current.
    NotModified,
}

/// Whether a copy may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Usability {
    /// It is fresh, and no purge forbids it.
    Usable,
    /// Nothing bounds its age.
    AgeUnknown,
    /// It is too old, or a purge forbids it.
    Unusable,
}

/// The local cache: copies in memory, fingerprints of those on disk, and recent purges.
#[derive(Debug)]
pub struct LocalCache {
    memory: Memory,
    purges: Purges,
    recent_purges: RecentPurges,
    link: OwnLink,
    content_types: Vec<ContentType>,
    /// Fingerprints of copies that may be on disk; empty while the disk is off or not ready.
    disk_fingerprints: HashSet<u64>,
    /// The disk is ready.
    has_disk: bool,
    /// The change log has delivered everything up to the present once since the start, so copies on disk can
    /// be checked against purges.
    caught_up: bool,
    /// How long purged copies may remain in circulation, and how long a purge may take to reach this
    /// dispatcher.
    purge_done: Nanos,
}

/// The key of a copy; `None` if the content type or part is out of range.
pub fn key(content_type: u32, object: Hex, part: u64) -> Option<Key> {
    Some(Key {
        content_type: u8::try_from(content_type).ok()?,
        object: object.bytes(),
        part: u32::try_from(part).ok()?,
    })
}

impl LocalCache {
    /// An empty cache with room for `max_bytes` bytes of content; `flow` and `link` are the bytes per second
    /// of one answer and of the whole link.
    pub fn new(
        max_bytes: usize,
        [flow, link]: [f64; 2],
        content_types: &[ContentType],
        purge_done: Nanos,
    ) -> Self {
        LocalCache {
            memory: Memory::new(max_bytes),
            purges: Purges::default(),
            recent_purges: RecentPurges::default(),
            link: OwnLink::new(flow, link),
            content_types: content_types.to_vec(),
            disk_fingerprints: HashSet::new(),
            has_disk: false,
            caught_up: false,
            purge_done,
        }
    }

    /// Whether copies of this content type may be cached.
    pub fn is_cacheable(&self, content_type: u32) -> bool {
        let settings = self.content_types.get(content_type as usize);
        settings
            .is_some_and(|settings| !settings.uncacheable && settings.retry_safety == RetrySafety::Retriable)
    }

    /// Answers a request from memory, if there is a usable copy and the link can carry it within `target`. `unix_ms` is
    /// an upper bound of the external time, if there is one.
    pub fn lookup(
        &mut self,
        now: Nanos,
        unix_ms: Option<u64>,
        key: &Key,
        cached_tag: Option<Hex>,
        target: Nanos,
    ) -> Option<LocalAnswer> {
        if !self.is_cacheable(u32::from(key.content_type)) {
            return None;
        }
        let (facts, body) = self.memory.get(key, 1)?;
        match self.usability(unix_ms, key, &facts) {
            Usability::Usable => self.answer_if_affordable(now, facts, body, cached_tag, target),
            Usability::AgeUnknown => None,
            Usability::Unusable => {
                self.memory.remove(key);
                None
            }
        }
    }

    /// Whether a copy is fresh and no purge forbids it.
    fn usability(&self, unix_ms: Option<u64>, key: &Key, facts: &Facts) -> Usability {
        if self.purges.forbid(&key.object, facts.group, facts.made_ms) {
            return Usability::Unusable;
        }
        let settings = self.content_types.get(usize::from(key.content_type));
        let Some(fresh_for) = settings.and_then(|settings| settings.fresh_for) else {
            return Usability::Usable;
        };
        let is_fresh = |unix_ms| may_serve(unix_ms, facts.made_ms, Some(fresh_for), Nanos::ZERO);
        match unix_ms.map(is_fresh) {
            None => Usability::AgeUnknown,
            Some(true) => Usability::Usable,
            Some(false) => Usability::Unusable,
        }
    }

    fn answer_if_affordable(
        &mut self,
        now: Nanos,
        facts: Facts,
        body: Arc<[u8]>,
        cached_tag: Option<Hex>,
        target: Nanos,
    ) -> Option<LocalAnswer> {
        let not_modified = cached_tag.is_some_and(|cached_tag| cached_tag.bytes() == facts.etag);
        let bytes = body.len() / if not_modified { NOT_MODIFIED_COST_DIVISOR } else { 1 };
        let served = if not_modified { LocalAnswer::NotModified } else { LocalAnswer::Bytes(body) };
        self.link.sends(now, bytes, target).then_some(served)
    }

    // Disk tier.

    /// The disk is ready and holds copies with these fingerprints.
    pub fn disk_ready(&mut self, fingerprints: &[u64]) {
        self.has_disk = true;
        self.disk_fingerprints = fingerprints.iter().copied().collect();
    }

    /// The disk is off.
    pub fn disk_off(&mut self) {
        self.has_disk = false;
        self.disk_fingerprints = HashSet::new();
    }

    /// Whether the disk is ready.
    pub fn has_disk(&self) -> bool {
        self.has_disk
    }

    /// The change log has delivered everything up to the present.
    pub fn log_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Whether a copy is to be looked up on disk.
    pub fn may_be_on_disk(&self, key: &Key) -> bool {
        self.has_disk
            && self.caught_up
            && self.is_cacheable(u32::from(key.content_type))
            && self.disk_fingerprints.contains(&key.print())
    }

    /// The disk has read a copy, or found none; returns the answer to serve from it, if any.
    pub fn disk_read(
        &mut self,
        [now, target]: [Nanos; 2],
        unix_ms: Option<u64>,
        key: &Key,
        cached_tag: Option<Hex>,
        copy: Option<(Facts, &[u8])>,
    ) -> Option<LocalAnswer> {
        let usability = copy.map_or(Usability::Unusable, |(facts, _)| self.usability(unix_ms, key, &facts));
        if usability == Usability::Unusable {
            self.disk_fingerprints.remove(&key.print());
        }
        let (facts, body) = copy.filter(|_| usability == Usability::Usable)?;
        self.answer_if_affordable(now, facts, body.into(), cached_tag, target)
    }

    /// The rank under which a copy is to be written to disk; `None` if it is not.
    pub fn disk_rank(&mut self, offered: &OfferedCopy, rate: Option<f64>, hops: f64) -> Option<u8> {
        let keepable = self.is_cacheable(u32::from(offered.key.content_type));
        let demand = Seen { rate, hops, bytes: offered.body.len(), keepable };
        let forbidden = self.purges.forbid(&offered.key.object, offered.facts.group, offered.facts.made_ms);
        let rank = Tier::Disk.keeps(&demand).filter(|_| self.has_disk && !forbidden)?;
        // A copy that is already there, and not known to be unusable, is not written again.
        self.disk_fingerprints.insert(offered.key.print()).then_some(rank)
    }

    /// Caches a copy that arrived for a request in memory, if the demand for it is high enough.
    pub fn offer(&mut self, offered: OfferedCopy, rate: Option<f64>, hops: f64) {
        let OfferedCopy { key, facts, body } = offered;
        let keepable = self.is_cacheable(u32::from(key.content_type));
        let rank = Tier::Memory.keeps(&Seen { rate, hops, bytes: body.len(), keepable });
        if let Some(rank) = rank.filter(|_| !self.purges.forbid(&key.object, facts.group, facts.made_ms)) {
            self.memory.put(key, facts, rank, body);
        }
    }

    /// Applies a purge of an object or a group made at Unix millisecond `at_ms`. If the name can't be that of
    /// a cached copy, all copies are dropped.
    pub fn purge(&mut self, object: Option<&str>, group: Option<u64>, at_ms: u64, now: Nanos) {
        match (object.map(Hex::parse), group.map(u8::try_from)) {
            (Some(Some(object)), _) => {
                let object = object.bytes();
                self.memory.remove_all(|key, _| key.object == object);
                self.purges.object(object, at_ms, 0);
            }
            (None, Some(Ok(group))) => {
                // A copy whose group is unknown might belong to any.
                self.memory.remove_all(|_, facts| facts.group.is_none_or(|copy_group| copy_group == group));
                self.purges.group(group, at_ms, 0);
            }
            _ => drop(self.memory.remove_all(|_, _| true)),
        }
        let kept_for = Nanos(4 * self.purge_done.0).after(PURGE_RETENTION_MARGIN);
        self.purges.forget_before(self.recent_purges.record(now, at_ms, kept_for));
    }

    /// Purges may have been missed: drops all copies, and turns the disk off, as its copies can't be checked
    /// later either.
    pub fn purges_missed(&mut self) {
        self.memory.remove_all(|_, _| true);
        self.disk_off();
    }

    /// The number of copies in memory, and their bytes.
    pub fn sizes(&self) -> (usize, usize) {
        (self.memory.len(), self.memory.bytes())
    }
}
