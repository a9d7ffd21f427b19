//! What a plan holds, and its decisions: pure functions of seed, time and count.

use crate::{Call, Errno};
use std::fmt;
use std::num::NonZeroU32;
use std::path::{Path, PathBuf};

/// One call in so many, drawn by the plan's seed; one in one is each.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OneIn(pub NonZeroU32);

impl OneIn {
    /// Each call.
    pub const EACH: OneIn = OneIn(NonZeroU32::MIN);

    /// One in this many; none is taken as each.
    pub fn of(count: u32) -> OneIn {
        OneIn(NonZeroU32::new(count).unwrap_or(NonZeroU32::MIN))
    }

    /// Whether this draw is the one.
    fn hits(self, draw: u64) -> bool {
        draw.is_multiple_of(u64::from(self.0.get()))
    }
}

/// Milliseconds since the process started, from the first on, before the last; without a last one for ever.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Span {
    pub from_ms: u64,
    pub until_ms: Option<u64>,
}

impl Span {
    /// The process's whole life.
    pub const ALWAYS: Span = Span { from_ms: 0, until_ms: None };

    /// From one moment until another.
    pub fn between(from_ms: u64, until_ms: u64) -> Span {
        Span { from_ms, until_ms: Some(until_ms) }
    }

    fn has(self, now_ms: u64) -> bool {
        self.from_ms <= now_ms && self.until_ms.is_none_or(|until| now_ms < until)
    }
}

/// Some of a call's uses fail with these errors, in turn.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CallRule {
    pub call: Call,
    pub errnos: Vec<Errno>,
    pub one_in: OneIn,
    pub span: Span,
}

/// From a moment on the wall clock shows the true time plus this.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WallStep {
    pub offset_ms: i64,
    pub from_ms: u64,
}

/// What goes wrong in one process.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct FaultPlan {
    pub seed: u64,
    pub rules: Vec<CallRule>,
    /// So many reads and writes of sockets are cut short.
    pub short: Option<OneIn>,
    /// Rules on files hold under these folders alone; everywhere if there are none.
    pub under: Vec<PathBuf>,
    pub wall: Vec<WallStep>,
    /// A file with a plan that stands in this one's place while it is there, looked at every 50 ms at most.
    pub file: Option<PathBuf>,
    /// A file to which a line is added for each fault: call, error, milliseconds since the start.
    pub trace: Option<PathBuf>,
}

impl FaultPlan {
    /// No faults yet, drawn by this seed.
    pub fn new(seed: u64) -> FaultPlan {
        FaultPlan { seed, ..FaultPlan::default() }
    }

    /// Adds: of this call, so many fail with these errors in turn, in this span.
    pub fn fail(mut self, call: Call, errnos: &[i32], one_in: u32, span: Span) -> FaultPlan {
        let errnos = errnos.iter().copied().map(Errno).collect();
        self.rules.push(CallRule { call, errnos, one_in: OneIn::of(one_in), span });
        self
    }

    /// Adds: so many reads and writes of sockets are cut short.
    pub fn short(mut self, one_in: u32) -> FaultPlan {
        self.short = Some(OneIn::of(one_in));
        self
    }

    /// Adds a folder under which rules on files hold.
    pub fn under(mut self, folder: impl Into<PathBuf>) -> FaultPlan {
        self.under.push(folder.into());
        self
    }

    /// Adds: from this moment on the wall clock is off by this.
    pub fn wall(mut self, offset_ms: i64, from_ms: u64) -> FaultPlan {
        self.wall.push(WallStep { offset_ms, from_ms });
        self
    }

    /// Reads the plan from this file while it is there.
    pub fn file(mut self, path: impl Into<PathBuf>) -> FaultPlan {
        self.file = Some(path.into());
        self
    }

    /// Adds a line to this file for each fault.
    pub fn trace(mut self, path: impl Into<PathBuf>) -> FaultPlan {
        self.trace = Some(path.into());
        self
    }

    /// The error that this use of a call ends with, if any; `uses` is how often it was used before, `failed` how often
    /// that was made to fail. The first rule that hits it counts.
    pub fn error(&self, call: Call, now_ms: u64, uses: u64, failed: u64) -> Option<Errno> {
        let rules = self.rules.iter().enumerate();
        let mut hitting = rules.filter(|(place, rule)| {
            let stream = (call.index() + place * Call::COUNT) as u64;
            rule.call == call && rule.span.has(now_ms) && rule.one_in.hits(self.draw(stream, uses))
        });
        let (_, rule) = hitting.next()?;
        let turn = usize::try_from(failed).unwrap_or(0) % rule.errnos.len().max(1);
        rule.errnos.get(turn).copied()
    }

    /// How many of these bytes a read or write of a socket may carry: at least one of them.
    pub fn shortened(&self, length: usize, uses: u64) -> usize {
        let draw = self.draw(u64::MAX, uses);
        match self.short {
            Some(one_in) if length > 1 && one_in.hits(draw) => {
                1 + (self.draw(u64::MAX - 1, uses) % (length as u64 - 1)) as usize
            }
            _ => length,
        }
    }

    /// What the wall clock shows beside the true time.
    pub fn wall_offset_ms(&self, now_ms: u64) -> i64 {
        let begun = self.wall.iter().filter(|step| step.from_ms <= now_ms);
        begun.max_by_key(|step| step.from_ms).map_or(0, |step| step.offset_ms)
    }

    /// Whether rules on files hold for this one.
    pub fn covers(&self, path: &Path) -> bool {
        self.under.is_empty() || self.under.iter().any(|folder| path.starts_with(folder))
    }

    /// A number that is the same in each run: splitmix64 of the seed, a stream and a place in it.
    fn draw(&self, stream: u64, place: u64) -> u64 {
        let mut mixed = self.seed ^ stream.wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed = mixed.wrapping_add((place + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl fmt::Display for CallRule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}=", self.call)?;
        for (place, errno) in self.errnos.iter().enumerate() {
            let comma = if place == 0 { "" } else { "," };
            write!(out, "{comma}{errno}")?;
        }
        write!(out, ":1/{}", self.one_in.0)?;
        match self.span {
            Span::ALWAYS => Ok(()),
            Span { from_ms, until_ms: None } => write!(out, "@{from_ms}"),
            Span { from_ms, until_ms: Some(until) } => write!(out, "@{from_ms}-{until}"),
        }
    }
}

impl fmt::Display for FaultPlan {
    /// As it is handed in; what parsing it gives is the plan again.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "seed={}", self.seed)?;
        self.rules.iter().try_for_each(|rule| write!(out, ";{rule}"))?;
        self.short.iter().try_for_each(|one_in| write!(out, ";short=1/{}", one_in.0))?;
        self.under.iter().try_for_each(|folder| write!(out, ";under={}", folder.display()))?;
        self.wall.iter().try_for_each(|step| write!(out, ";wall={}@{}", step.offset_ms, step.from_ms))?;
        self.file.iter().try_for_each(|path| write!(out, ";plan={}", path.display()))?;
        self.trace.iter().try_for_each(|path| write!(out, ";trace={}", path.display()))?;
        Ok(())
    }
}
