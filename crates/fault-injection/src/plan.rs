//! Fault plans and their decisions, which are pure functions of the seed, the time since the process started and the
//! number of uses of a call. Plans are built with the methods of [`FaultPlan`] and written as text with `Display`.

use crate::{Call, Errno};
use std::fmt;
use std::num::NonZeroU32;
use std::path::{Path, PathBuf};

/// Selects one use of a call in so many; the plan's seed decides which.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OneIn(pub NonZeroU32);

impl OneIn {
    /// Selects every use.
    pub const EACH: OneIn = OneIn(NonZeroU32::MIN);

    /// Selects one use in `count`; 0 counts as 1.
    pub fn of(count: u32) -> OneIn {
        OneIn(NonZeroU32::new(count).unwrap_or(NonZeroU32::MIN))
    }

    /// Whether the use with this random number is selected.
    fn selects(self, draw: u64) -> bool {
        draw.is_multiple_of(u64::from(self.0.get()))
    }
}

/// A span of time, in milliseconds since the process started; it includes `from_ms` and excludes `until_ms`. Without
/// `until_ms` it has no end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Span {
    pub from_ms: u64,
    pub until_ms: Option<u64>,
}

impl Span {
    /// The whole run of the process.
    pub const ALWAYS: Span = Span { from_ms: 0, until_ms: None };

    /// A span with an end.
    pub fn between(from_ms: u64, until_ms: u64) -> Span {
        Span { from_ms, until_ms: Some(until_ms) }
    }

    fn contains(self, now_ms: u64) -> bool {
        self.from_ms <= now_ms && self.until_ms.is_none_or(|until| now_ms < until)
    }
}

/// Makes selected uses of a call fail with these errors, in turn.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CallRule {
    pub call: Call,
    pub errnos: Vec<Errno>,
    pub one_in: OneIn,
    pub span: Span,
}

/// From `from_ms` after the start of the process, the wall clock shows the true time plus `offset_ms`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WallStep {
    pub offset_ms: i64,
    pub from_ms: u64,
}

/// The faults of one process.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct FaultPlan {
    pub seed: u64,
    pub rules: Vec<CallRule>,
    /// Selects the reads and writes of sockets that transfer fewer bytes than asked for.
    pub short: Option<OneIn>,
    /// Rules for calls on files apply only under these folders; everywhere if there are none.
    pub under: Vec<PathBuf>,
    pub wall: Vec<WallStep>,
    /// A file whose plan replaces this one while the file exists. It is read at most every 50 ms.
    pub file: Option<PathBuf>,
    /// A file to which each fault appends a line: call, error, milliseconds since the start of the process.
    pub trace: Option<PathBuf>,
}

impl FaultPlan {
    /// A plan without faults, with this seed for the random selection.
    pub fn new(seed: u64) -> FaultPlan {
        FaultPlan { seed, ..FaultPlan::default() }
    }

    /// Makes one use in `one_in` of a call fail within a span, with these errors in turn.
    pub fn fail(mut self, call: Call, errnos: &[i32], one_in: u32, span: Span) -> FaultPlan {
        let errnos = errnos.iter().copied().map(Errno).collect();
        self.rules.push(CallRule { call, errnos, one_in: OneIn::of(one_in), span });
        self
    }

    /// Shortens one in `one_in` reads and writes of sockets.
    pub fn short(mut self, one_in: u32) -> FaultPlan {
        self.short = Some(OneIn::of(one_in));
        self
    }

    /// Adds a folder to which the rules for calls on files are restricted.
    pub fn under(mut self, folder: impl Into<PathBuf>) -> FaultPlan {
        self.under.push(folder.into());
        self
    }

    /// Sets the wall clock off by `offset_ms` from `from_ms` after the start of the process.
    pub fn wall(mut self, offset_ms: i64, from_ms: u64) -> FaultPlan {
        self.wall.push(WallStep { offset_ms, from_ms });
        self
    }

    /// Reads the plan from this file while it exists.
    pub fn file(mut self, path: impl Into<PathBuf>) -> FaultPlan {
        self.file = Some(path.into());
        self
    }

    /// Appends a line to this file for each fault.
    pub fn trace(mut self, path: impl Into<PathBuf>) -> FaultPlan {
        self.trace = Some(path.into());
        self
    }

    /// The error that this use of a call fails with, if any. `uses` is the number of earlier uses, `failed` the number
    /// of those that failed. The first rule that selects the use applies.
    pub fn error(&self, call: Call, now_ms: u64, uses: u64, failed: u64) -> Option<Errno> {
        let rules = self.rules.iter().enumerate();
        let mut selecting = rules.filter(|(number, rule)| {
            let stream = (call.index() + number * Call::COUNT) as u64;
            rule.call == call && rule.span.contains(now_ms) && rule.one_in.selects(self.draw(stream, uses))
        });
        let (_, rule) = selecting.next()?;
        let turn = usize::try_from(failed).unwrap_or(0) % rule.errnos.len().max(1);
        rule.errnos.get(turn).copied()
    }

    /// The number of bytes that a read or write of `length` bytes on a socket may transfer: at least one unless
    /// `length` is 0. `uses` is the number of earlier reads and writes.
    pub fn shortened(&self, length: usize, uses: u64) -> usize {
        let draw = self.draw(u64::MAX, uses);
        match self.short {
            Some(one_in) if length > 1 && one_in.selects(draw) => {
                1 + (self.draw(u64::MAX - 1, uses) % (length as u64 - 1)) as usize
            }
            _ => length,
        }
    }

    /// Difference of the wall clock from the true time at a time since the start of the process.
    pub fn wall_offset_ms(&self, now_ms: u64) -> i64 {
        let started = self.wall.iter().filter(|step| step.from_ms <= now_ms);
        started.max_by_key(|step| step.from_ms).map_or(0, |step| step.offset_ms)
    }

    /// Whether the rules for calls on files apply to this path.
    pub fn covers(&self, path: &Path) -> bool {
        self.under.is_empty() || self.under.iter().any(|folder| path.starts_with(folder))
    }

    /// A pseudorandom number that is the same in each run: splitmix64 of the seed, a stream and a position in the
    /// stream.
    fn draw(&self, stream: u64, position: u64) -> u64 {
        let mut mixed = self.seed ^ stream.wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed = mixed.wrapping_add((position + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl fmt::Display for CallRule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}=", self.call)?;
        for (number, errno) in self.errnos.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
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
    /// Writes the text that parses to the same plan.
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
