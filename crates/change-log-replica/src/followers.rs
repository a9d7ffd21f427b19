//! Those who follow this replica: up to where each was told, and what is borne of all of them together.
//!
//! Nothing is queued for a follower but what was handed to its connection and has not left yet; where it is behind, its
//! place in the retention is all that is kept. Who is behind is sent more in turns, within a rate for all together.

use crate::lines::{Ask, Asked};
use crate::retention::{Retention, Start};
use copperroute_routing::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a follower which is behind is sent in one turn, beside the line that they end in.
pub const TURN: usize = 2_048;
/// A follower has so long to say what it asks for, and takes something of what waits for it at least so often.
const PATIENCE: Nanos = Nanos(2_000_000_000);
/// The longest time for which the catch-up rate is saved, in seconds.
const SAVED_S: f64 = 0.1;

/// What is borne of followers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FollowerSettings {
    /// Streams at once.
    pub most: usize,
    /// New calls a second; as many may come at one moment.
    pub calls_per_s: f64,
    /// Bytes a second that all that are behind are sent together.
    pub catch_up_bytes_per_s: f64,
    /// Bytes that may wait for one follower, beside one line.
    pub queue_bytes: usize,
}

/// A follower's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u32);

/// What is done for followers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForFollower {
    /// These bytes go behind those before.
    Write(FollowerId, Vec<u8>),
    /// The connection is closed; what has not left of what was written is dropped.
    Close(FollowerId),
}

/// Why a follower is not taken, or is ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// There are as many as are borne.
    TooMany,
    /// So many calls came within a second.
    TooOften,
    /// It asked for nothing that can be read.
    Unreadable(String),
    /// It asked for nothing in time, or takes nothing of what it is sent.
    TooSlow,
    /// What it was to be told next is held no more.
    Forgotten,
    /// It needs a whole list, and none can be vouched for.
    NoWholeList,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::TooMany => write!(to, "one too many"),
            Refusal::TooOften => write!(to, "too many calls a second"),
            Refusal::Unreadable(what) => write!(to, "asked what can't be read: {what}"),
            Refusal::TooSlow => write!(to, "too slow"),
            Refusal::Forgotten => write!(to, "fell behind what is held"),
            Refusal::NoWholeList => write!(to, "asked for a whole list, which can't be vouched for"),
        }
    }
}

#[derive(Debug)]
enum Stage {
    /// It has not said yet from where on.
    Asking(Ask),
    /// It has asked, and has been told nothing yet.
    Asked(u64),
    /// It was told all up to this event, or had it before.
    Told(u64),
}

#[derive(Debug)]
struct Follower {
    stage: Stage,
    /// It stands in the row of those that are behind.
    waits: bool,
    /// Bytes that have not left.
    unsent: usize,
    /// When something last left, or nothing waited.
    moved: Nanos,
    /// Since when something waits, if anything does.
    queued: Nanos,
    /// Heartbeats of the source when it asked, and those that it was told since.
    heard_before: u64,
    heartbeats: u64,
}

impl Follower {
    fn has_room(&self, most: usize) -> bool {
        self.unsent < most
    }

    /// So many bytes wait for it from now on.
    fn queue(&mut self, now: Nanos, bytes: usize) {
        if self.unsent == 0 {
            (self.moved, self.queued) = (now, now);
        }
        self.unsent += bytes;
    }
}

/// A rate that is spent and saved for a while.
#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    most: f64,
    left: f64,
    at: Nanos,
}

impl TokenBucket {
    fn new(per_s: f64, most: f64) -> Self {
        TokenBucket { per_s, most, left: most, at: Nanos::ZERO }
    }

    fn left(&mut self, now: Nanos) -> f64 {
        let grown = now.since(self.at).secs() * self.per_s;
        (self.left, self.at) = ((self.left + grown).min(self.most), now);
        self.left
    }

    fn spend(&mut self, amount: f64) {
        self.left -= amount;
    }
}

/// All followers.
#[derive(Debug)]
pub struct Followers {
    settings: FollowerSettings,
    all: BTreeMap<FollowerId, Follower>,
    /// Those that are behind, in the order of their turns.
    behind: VecDeque<FollowerId>,
    calls: TokenBucket,
    catch_up: TokenBucket,
    /// Heartbeats of the source that were handed in.
    heard: u64,
}

impl Followers {
    /// None yet.
    pub fn new(settings: FollowerSettings) -> Self {
        let rate = settings.catch_up_bytes_per_s;
        Followers {
            settings,
            all: BTreeMap::new(),
            behind: VecDeque::new(),
            calls: TokenBucket::new(settings.calls_per_s, settings.calls_per_s),
            catch_up: TokenBucket::new(rate, rate * SAVED_S),
            heard: 0,
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether somebody is to be sent more as soon as the rate allows it.
    pub fn is_behind(&self) -> bool {
        !self.behind.is_empty()
    }

    /// One has called.
    pub fn came(&mut self, now: Nanos, id: FollowerId) -> Result<(), Refusal> {
        if self.calls.left(now) < 1.0 {
            return Err(Refusal::TooOften);
        }
        self.calls.spend(1.0);
        if self.all.len() >= self.settings.most {
            return Err(Refusal::TooMany);
        }
        let stage = Stage::Asking(Ask::default());
        let heard_before = self.heard;
        let follower =
            Follower { stage, waits: false, unsent: 0, moved: now, queued: now, heard_before, heartbeats: 0 };
        self.all.insert(id, follower);
        Ok(())
    }

    /// Bytes have come from one. It sends one line; what follows that is passed over.
    pub fn received(&mut self, now: Nanos, id: FollowerId, bytes: &[u8]) -> Result<(), Refusal> {
        let Some(follower) = self.all.get_mut(&id) else { return Ok(()) };
        let Stage::Asking(ask) = &mut follower.stage else { return Ok(()) };
        match ask.feed(bytes) {
            Asked::NotYet => return Ok(()),
            Asked::Unreadable(what) => return Err(Refusal::Unreadable(what)),
            Asked::Since(seq) => follower.stage = Stage::Asked(seq),
        }
        (follower.moved, follower.heard_before, follower.waits) = (now, self.heard, true);
        self.behind.push_back(id);
        Ok(())
    }

    /// So many bytes have left.
    pub fn written(&mut self, now: Nanos, id: FollowerId, bytes: usize) {
        if let Some(follower) = self.all.get_mut(&id) {
            follower.unsent = follower.unsent.saturating_sub(bytes);
            follower.moved = now;
        }
    }

    /// One has gone.
    pub fn gone(&mut self, id: FollowerId) {
        self.all.remove(&id);
        self.behind.retain(|behind| *behind != id);
    }

    /// All are let go.
    pub fn end_all(&mut self, out: &mut Vec<ForFollower>) {
        self.behind.clear();
        out.extend(std::mem::take(&mut self.all).into_keys().map(ForFollower::Close));
    }

    /// Hands new events to all that were told those before and have room; the others are behind.
    pub fn tell(&mut self, now: Nanos, retention: &Retention, out: &mut Vec<ForFollower>) {
        for (id, follower) in &mut self.all {
            let Stage::Told(told) = follower.stage else { continue };
            if follower.waits || told >= retention.last() {
                continue;
            }
            let room = match retention.follows(told) {
                true => self.settings.queue_bytes.saturating_sub(follower.unsent),
                false => 0,
            };
            let (bytes, upto) = lines_after(told, room, retention);
            if !bytes.is_empty() {
                follower.queue(now, bytes.len());
                follower.stage = Stage::Told(upto);
                out.push(ForFollower::Write(*id, bytes));
            }
            if upto < retention.last() {
                follower.waits = true;
                self.behind.push_back(*id);
            }
        }
    }

    /// Passes on one heartbeat of the source, which tells this last number, to all that have been told all up to it and
    /// for whom nothing waits but what came just before it. One that has later numbers is told it too, as the source
    /// itself would.
    pub fn heartbeat(&mut self, now: Nanos, last: u64, out: &mut Vec<ForFollower>) {
        self.heard += 1;
        for (id, follower) in &mut self.all {
            let has_all = matches!(follower.stage, Stage::Told(told) if told >= last);
            let is_prompt = follower.unsent == 0 || follower.queued == now;
            if has_all && !follower.waits && is_prompt {
                let line = format!("{last}\n").into_bytes();
                follower.queue(now, line.len());
                follower.heartbeats += 1;
                out.push(ForFollower::Write(*id, line));
            }
        }
    }

    /// Sends more to those that are behind, in turns, as far as the rate goes; ends those that need what is not held.
    pub fn catch_up(
        &mut self,
        now: Nanos,
        retention: &Retention,
        out: &mut Vec<ForFollower>,
    ) -> Vec<(FollowerId, Refusal)> {
        let mut refused = Vec::new();
        let mut full = 0;
        while full < self.behind.len() && self.catch_up.left(now) > 0.0 {
            let Some(id) = self.behind.pop_front() else { break };
            let Some(follower) = self.all.get_mut(&id) else { continue };
            if !follower.has_room(self.settings.queue_bytes) {
                self.behind.push_back(id);
                full += 1;
                continue;
            }
            full = 0;
            match turn(follower, retention) {
                Ok(bytes) => {
                    self.catch_up.spend(bytes.len() as f64);
                    follower.queue(now, bytes.len());
                    if !bytes.is_empty() {
                        out.push(ForFollower::Write(id, bytes));
                    }
                    follower.waits = !matches!(follower.stage, Stage::Told(told) if told >= retention.last());
                    if follower.waits {
                        self.behind.push_back(id);
                    }
                }
                Err(why) => refused.push((id, why)),
            }
        }
        refused
    }

    /// Those that have said nothing in time, take nothing of what they are sent, or have fallen behind what is held.
    pub fn too_slow(&self, now: Nanos, retention: &Retention) -> Vec<(FollowerId, Refusal)> {
        let refusal = |follower: &Follower| {
            let late = now.since(follower.moved) > PATIENCE;
            match follower.stage {
                Stage::Asking(_) if late => Some(Refusal::TooSlow),
                Stage::Told(_) if late && follower.unsent > 0 => Some(Refusal::TooSlow),
                Stage::Told(told) if !retention.follows(told) => Some(Refusal::Forgotten),
                _ => None,
            }
        };
        self.all.iter().filter_map(|(id, follower)| Some((*id, refusal(follower)?))).collect()
    }

    /// The invariants: as many as are borne, none with more waiting than it may have, none told more heartbeats than
    /// came from the source since it asked, and all that are behind in the row, once.
    pub fn holds(&self, retention: &Retention, longest_line: usize) -> Result<(), String> {
        if self.all.len() > self.settings.most {
            return Err(format!("{} followers, {} allowed", self.all.len(), self.settings.most));
        }
        for (id, follower) in &self.all {
            let in_row = self.behind.iter().filter(|behind| *behind == id).count();
            if in_row != usize::from(follower.waits) {
                return Err(format!("follower {} stands {in_row} times in the row", id.0));
            }
            if follower.unsent > self.settings.queue_bytes + TURN + longest_line {
                return Err(format!("{} bytes wait for follower {}", follower.unsent, id.0));
            }
            if follower.heartbeats > self.heard - follower.heard_before {
                return Err(format!("follower {} was told a heartbeat that did not come", id.0));
            }
            if let Stage::Told(told) = follower.stage
                && !follower.waits
                && told < retention.last()
            {
                return Err(format!("follower {} was told up to {told}, and waits for nothing", id.0));
            }
        }
        Ok(())
    }
}

/// The whole lines behind an event that fit into so many bytes, and one that does not if there is any room; with the
/// number of the last of them.
fn lines_after(seq: u64, room: usize, retention: &Retention) -> (Vec<u8>, u64) {
    let (mut bytes, mut upto) = (Vec::new(), seq);
    for (seq, line) in retention.after(seq) {
        if bytes.len() >= room {
            break;
        }
        bytes.extend_from_slice(line.as_bytes());
        bytes.push(b'\n');
        upto = seq;
    }
    (bytes, upto)
}

/// What one that is behind is sent in its turn.
fn turn(follower: &mut Follower, retention: &Retention) -> Result<Vec<u8>, Refusal> {
    let told = match follower.stage {
        Stage::Asking(_) => return Ok(Vec::new()),
        Stage::Asked(seq) => match retention.start(seq) {
            Start::Behind(seq) => seq,
            Start::WholeList(seq, list) => {
                follower.stage = Stage::Told(seq);
                return Ok(list);
            }
            Start::Missed => return Err(Refusal::NoWholeList),
        },
        Stage::Told(told) if !retention.follows(told) => return Err(Refusal::Forgotten),
        Stage::Told(told) => told,
    };
    let (bytes, upto) = lines_after(told, TURN, retention);
    follower.stage = Stage::Told(upto);
    Ok(bytes)
}
