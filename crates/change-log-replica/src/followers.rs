//! The followers of a replica: up to which event each was sent, and the limits on all of them together.
//!
//! The only bytes queued for a follower are those handed to its connection that were not written yet. For a follower
//! that is catching up, only its position in the retention is kept. Followers that are catching up are sent events in
//! turn, within a rate for all of them together.

use crate::lines::{FollowerRequest, RequestReader};
use crate::retention::{Retention, Start};
use copperroute_routing::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a follower which is catching up is sent in one turn, rounded up to whole lines.
pub const CATCH_UP_CHUNK_BYTES: usize = 2_048;
/// A follower is closed if it has not sent its request within this time, or if it accepts none of its waiting bytes for
/// this long.
const FOLLOWER_TIMEOUT: Nanos = Nanos(2_000_000_000);
/// The largest burst of the catch-up rate, in seconds of that rate.
const CATCH_UP_BURST_S: f64 = 0.1;

/// The limits on followers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FollowerSettings {
    /// The most followers at a time.
    pub most: usize,
    /// New connections a second; as many may arrive at once.
    pub calls_per_s: f64,
    /// Bytes a second for all followers that are catching up together.
    pub catch_up_bytes_per_s: f64,
    /// Bytes that may wait to be sent to one follower, besides one line.
    pub queue_bytes: usize,
}

/// A follower's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u32);

/// An effect on a follower's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEffect {
    /// Write these bytes after those before.
    Write(FollowerId, Vec<u8>),
    /// Close the connection; bytes that were not written yet are dropped.
    Close(FollowerId),
}

/// Why a follower is refused or closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The most followers at a time are connected already.
    TooMany,
    /// Too many connections arrived within a second.
    TooManyConnects,
    /// Its request can't be read.
    InvalidRequest(String),
    /// It sent no request in time, or accepts none of its waiting bytes.
    TooSlow,
    /// The next event for it was evicted.
    EventsEvicted,
    /// It needs a snapshot, and the state is not completely known.
    NoSnapshot,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::TooMany => write!(to, "too many followers"),
            Refusal::TooManyConnects => write!(to, "too many connections a second"),
            Refusal::InvalidRequest(what) => write!(to, "unreadable request: {what}"),
            Refusal::TooSlow => write!(to, "no request in time, or takes none of the bytes sent"),
            Refusal::EventsEvicted => write!(to, "next event no longer held"),
            Refusal::NoSnapshot => write!(to, "needs a snapshot, but the state is not completely known"),
        }
    }
}

#[derive(Debug)]
enum Stage {
    /// Its request has not been received completely.
    AwaitingRequest(RequestReader),
    /// It requested all events after this one, and was sent nothing yet.
    Requested(u64),
    /// It was sent all events up to this one, or had them before.
    SentUpTo(u64),
}

#[derive(Debug)]
struct Follower {
    stage: Stage,
    /// Whether it is in the catch-up queue.
    is_catching_up: bool,
    /// Bytes handed to its connection that were not written yet.
    unsent: usize,
    /// When bytes were last written, or when the first of the waiting ones was queued.
    progress_at: Nanos,
    /// Since when bytes have been waiting, if any are.
    queued_since: Nanos,
    /// The number of the source's heartbeats when it sent its request, and of those passed on to it since.
    source_heartbeats_before: u64,
    heartbeats_sent: u64,
}

impl Follower {
    fn has_room(&self, most: usize) -> bool {
        self.unsent < most
    }

    /// Counts bytes that wait for it from now on.
    fn queue(&mut self, now: Nanos, bytes: usize) {
        if self.unsent == 0 {
            (self.progress_at, self.queued_since) = (now, now);
        }
        self.unsent += bytes;
    }
}

/// A token bucket: `per_s` tokens a second, at most `max` of them saved.
#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    max: f64,
    available: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    fn new(per_s: f64, most: f64) -> Self {
        TokenBucket { per_s, max: most, available: most, refilled_at: Nanos::ZERO }
    }

    fn left(&mut self, now: Nanos) -> f64 {
        let grown = now.since(self.refilled_at).secs() * self.per_s;
        (self.available, self.refilled_at) = ((self.available + grown).min(self.max), now);
        self.available
    }

    fn spend(&mut self, amount: f64) {
        self.available -= amount;
    }
}

/// All followers of a replica.
#[derive(Debug)]
pub struct Followers {
    settings: FollowerSettings,
    all: BTreeMap<FollowerId, Follower>,
    /// The followers that are catching up, in the order of their turns.
    catch_up_queue: VecDeque<FollowerId>,
    connect_budget: TokenBucket,
    catch_up_budget: TokenBucket,
    /// The number of confirmed heartbeats of the source.
    source_heartbeats: u64,
}

impl Followers {
    /// No followers.
    pub fn new(settings: FollowerSettings) -> Self {
        let rate = settings.catch_up_bytes_per_s;
        Followers {
            settings,
            all: BTreeMap::new(),
            catch_up_queue: VecDeque::new(),
            connect_budget: TokenBucket::new(settings.calls_per_s, settings.calls_per_s),
            catch_up_budget: TokenBucket::new(rate, rate * CATCH_UP_BURST_S),
            source_heartbeats: 0,
        }
    }

    /// The number of followers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a follower is to be sent more as soon as the rate allows it.
    pub fn is_any_catching_up(&self) -> bool {
        !self.catch_up_queue.is_empty()
    }

    /// A follower has connected.
    pub fn connected(&mut self, now: Nanos, id: FollowerId) -> Result<(), Refusal> {
        if self.connect_budget.left(now) < 1.0 {
            return Err(Refusal::TooManyConnects);
        }
        self.connect_budget.spend(1.0);
        if self.all.len() >= self.settings.most {
            return Err(Refusal::TooMany);
        }
        let stage = Stage::AwaitingRequest(RequestReader::default());
        let source_heartbeats_before = self.source_heartbeats;
        let follower = Follower {
            stage,
            is_catching_up: false,
            unsent: 0,
            progress_at: now,
            queued_since: now,
            source_heartbeats_before,
            heartbeats_sent: 0,
        };
        self.all.insert(id, follower);
        Ok(())
    }

    /// A follower has sent bytes. It sends one line; anything after that is ignored.
    pub fn received(&mut self, now: Nanos, id: FollowerId, bytes: &[u8]) -> Result<(), Refusal> {
        let Some(follower) = self.all.get_mut(&id) else { return Ok(()) };
        let Stage::AwaitingRequest(ask) = &mut follower.stage else { return Ok(()) };
        match ask.feed(bytes) {
            FollowerRequest::Incomplete => return Ok(()),
            FollowerRequest::Invalid(what) => return Err(Refusal::InvalidRequest(what)),
            FollowerRequest::Since(seq) => follower.stage = Stage::Requested(seq),
        }
        (follower.progress_at, follower.source_heartbeats_before, follower.is_catching_up) =
            (now, self.source_heartbeats, true);
        self.catch_up_queue.push_back(id);
        Ok(())
    }

    /// This many bytes were written to a follower's socket.
    pub fn written(&mut self, now: Nanos, id: FollowerId, bytes: usize) {
        if let Some(follower) = self.all.get_mut(&id) {
            follower.unsent = follower.unsent.saturating_sub(bytes);
            follower.progress_at = now;
        }
    }

    /// Removes a follower.
    pub fn remove(&mut self, id: FollowerId) {
        self.all.remove(&id);
        self.catch_up_queue.retain(|queued| *queued != id);
    }

    /// Closes all followers.
    pub fn close_all(&mut self, out: &mut Vec<FollowerEffect>) {
        self.catch_up_queue.clear();
        out.extend(std::mem::take(&mut self.all).into_keys().map(FollowerEffect::Close));
    }

    /// Sends new events to all followers that were sent those before and have room; the others begin to catch up.
    pub fn send_events(&mut self, now: Nanos, retention: &Retention, out: &mut Vec<FollowerEffect>) {
        for (id, follower) in &mut self.all {
            let Stage::SentUpTo(sent) = follower.stage else { continue };
            if follower.is_catching_up || sent >= retention.last() {
                continue;
            }
            let room = match retention.continues_after(sent) {
                true => self.settings.queue_bytes.saturating_sub(follower.unsent),
                false => 0,
            };
            let (bytes, last_seq) = lines_after(sent, room, retention);
            if !bytes.is_empty() {
                follower.queue(now, bytes.len());
                follower.stage = Stage::SentUpTo(last_seq);
                out.push(FollowerEffect::Write(*id, bytes));
            }
            if last_seq < retention.last() {
                follower.is_catching_up = true;
                self.catch_up_queue.push_back(*id);
            }
        }
    }

    /// Passes on one heartbeat of the source to all followers that were sent all events up to its number `last` and for
    /// whom no bytes wait except those queued at `now`. Followers that have higher numbers get it too, as they would
    /// from the source itself.
    pub fn heartbeat(&mut self, now: Nanos, last: u64, out: &mut Vec<FollowerEffect>) {
        self.source_heartbeats += 1;
        for (id, follower) in &mut self.all {
            let has_all = matches!(follower.stage, Stage::SentUpTo(sent) if sent >= last);
            let is_prompt = follower.unsent == 0 || follower.queued_since == now;
            if has_all && !follower.is_catching_up && is_prompt {
                let line = format!("{last}\n").into_bytes();
                follower.queue(now, line.len());
                follower.heartbeats_sent += 1;
                out.push(FollowerEffect::Write(*id, line));
            }
        }
    }

    /// Sends more to the followers that are catching up, in turn, as far as the rate allows; returns those that need
    /// events or a snapshot that are not available.
    pub fn catch_up(
        &mut self,
        now: Nanos,
        retention: &Retention,
        out: &mut Vec<FollowerEffect>,
    ) -> Vec<(FollowerId, Refusal)> {
        let mut refused = Vec::new();
        let mut full = 0;
        while full < self.catch_up_queue.len() && self.catch_up_budget.left(now) > 0.0 {
            let Some(id) = self.catch_up_queue.pop_front() else { break };
            let Some(follower) = self.all.get_mut(&id) else { continue };
            if !follower.has_room(self.settings.queue_bytes) {
                self.catch_up_queue.push_back(id);
                full += 1;
                continue;
            }
            full = 0;
            match next_chunk(follower, retention) {
                Ok(bytes) => {
                    self.catch_up_budget.spend(bytes.len() as f64);
                    follower.queue(now, bytes.len());
                    if !bytes.is_empty() {
                        out.push(FollowerEffect::Write(id, bytes));
                    }
                    follower.is_catching_up =
                        !matches!(follower.stage, Stage::SentUpTo(sent) if sent >= retention.last());
                    if follower.is_catching_up {
                        self.catch_up_queue.push_back(id);
                    }
                }
                Err(why) => refused.push((id, why)),
            }
        }
        refused
    }

    /// The followers that sent no request in time, that accept none of their waiting bytes, or whose next event was
    /// evicted.
    pub fn too_slow(&self, now: Nanos, retention: &Retention) -> Vec<(FollowerId, Refusal)> {
        let refusal = |follower: &Follower| {
            let late = now.since(follower.progress_at) > FOLLOWER_TIMEOUT;
            match follower.stage {
                Stage::AwaitingRequest(_) if late => Some(Refusal::TooSlow),
                Stage::SentUpTo(_) if late && follower.unsent > 0 => Some(Refusal::TooSlow),
                Stage::SentUpTo(sent) if !retention.continues_after(sent) => Some(Refusal::EventsEvicted),
                _ => None,
            }
        };
        self.all.iter().filter_map(|(id, follower)| Some((*id, refusal(follower)?))).collect()
    }

    /// Checks the invariants: no more followers than allowed, none with more waiting bytes than allowed, none with more
    /// heartbeats than came from the source since its request, and each that is catching up once in the queue.
    pub fn check_invariants(&self, retention: &Retention, longest_line: usize) -> Result<(), String> {
        if self.all.len() > self.settings.most {
            return Err(format!("{} followers, {} allowed", self.all.len(), self.settings.most));
        }
        for (id, follower) in &self.all {
            let count = self.catch_up_queue.iter().filter(|queued| *queued == id).count();
            if count != usize::from(follower.is_catching_up) {
                return Err(format!("follower {} is {count} times in the catch-up queue", id.0));
            }
            if follower.unsent > self.settings.queue_bytes + CATCH_UP_CHUNK_BYTES + longest_line {
                return Err(format!("{} bytes wait for follower {}", follower.unsent, id.0));
            }
            if follower.heartbeats_sent > self.source_heartbeats - follower.source_heartbeats_before {
                return Err(format!("follower {} was sent a heartbeat that the source did not send", id.0));
            }
            if let Stage::SentUpTo(sent) = follower.stage
                && !follower.is_catching_up
                && sent < retention.last()
            {
                return Err(format!("follower {} was sent events up to {sent} and is not catching up", id.0));
            }
        }
        Ok(())
    }
}

/// The lines of the events after `seq`, until they fill `room` bytes; the last line may exceed it. Also returns the
/// number of the last event in them.
fn lines_after(seq: u64, room: usize, retention: &Retention) -> (Vec<u8>, u64) {
    let (mut bytes, mut last_seq) = (Vec::new(), seq);
    for (seq, line) in retention.after(seq) {
        if bytes.len() >= room {
            break;
        }
        bytes.extend_from_slice(line.as_bytes());
        bytes.push(b'\n');
        last_seq = seq;
    }
    (bytes, last_seq)
}

/// The bytes that a follower which is catching up is sent in its turn.
fn next_chunk(follower: &mut Follower, retention: &Retention) -> Result<Vec<u8>, Refusal> {
    let sent = match follower.stage {
        Stage::AwaitingRequest(_) => return Ok(Vec::new()),
        Stage::Requested(seq) => match retention.start(seq) {
            Start::After(seq) => seq,
            Start::Snapshot(seq, list) => {
                follower.stage = Stage::SentUpTo(seq);
                return Ok(list);
            }
            Start::Unavailable => return Err(Refusal::NoSnapshot),
        },
        Stage::SentUpTo(sent) if !retention.continues_after(sent) => return Err(Refusal::EventsEvicted),
        Stage::SentUpTo(sent) => sent,
    };
    let (bytes, last_seq) = lines_after(sent, CATCH_UP_CHUNK_BYTES, retention);
    follower.stage = Stage::SentUpTo(last_seq);
    Ok(bytes)
}
