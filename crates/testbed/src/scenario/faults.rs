//! What goes wrong in a scenario, as it is written down or drawn from the seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schemars::JsonSchema;
use serde::Deserialize;

/// Faults that are drawn.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Drawn {
    /// From when, and until when.
    pub from_s: f64,
    pub until_s: f64,
    /// One begins each so many seconds.
    pub each_s: f64,
    /// Each lasts as long as two draws between these say.
    pub for_s: [f64; 2],
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// From when.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    pub what: What,
    /// To whom: `caches`, `parents`, `origin`, or the id of a node; dispatchers as `dispatchers`, `dispatchers 0-99`,
    /// `a third of dispatchers`, `zone 2`; their links as `lists of`, `nodes of` or `clients of` such a group.
    #[serde(default)]
    pub who: String,
    /// How slow, or what part is refused.
    #[serde(default)]
    pub by: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum What {
    /// Connections are reset, nothing listens; comes back cold and empty.
    Crash,
    /// Nobody gets there: connections end and can't be made; comes back as it was, and the list says nothing.
    Cut,
    /// Nothing is answered; comes back as it was.
    Silence,
    /// Everything takes so many times as long.
    Slow,
    /// So large a part is refused.
    Refuse,
    /// Listed as draining, then gone; never comes back.
    Drain,
    /// All objects of all types are purged.
    Purge,
    /// All connections of clients end at one moment.
    Reconnect,
    /// Dispatchers are killed, and started again when the fault ends, over `by` seconds.
    Restart,
    /// Dispatchers are killed and started again each `by` seconds, until the fault ends.
    Loop,
    /// Dispatchers are stopped, and continued when the fault ends.
    Stop,
    /// The list service is away: nobody gets through.
    Away,
    /// It accepts, and resets.
    Resets,
    /// It accepts, and says nothing.
    Mute,
    /// It leaves out the event that follows.
    Gap,
    /// It tells the whole list each time.
    Whole,
    /// It forgets its past, and begins its numbers at 1 with the list as it stands.
    Anew,
    /// It ends each answer after half; on links the next answer.
    Half,
    /// Links carry nothing from dispatchers on; what was held is reset when the fault ends.
    CutTo,
    /// Links carry nothing to dispatchers; likewise.
    CutFrom,
    /// Links hold all that comes, and let it go at once when the fault ends.
    Hold,
    /// Connections on links are reset, once.
    Reset,
}

impl Drawn {
    /// The faults that a seed draws.
    pub(super) fn faults(&self, seed: u64) -> Vec<Fault> {
        use What::*;
        let mut chance = StdRng::seed_from_u64(seed.rotate_left(24));
        let lists = [Cut, CutTo, CutFrom, Hold, Reset, Slow, Half];
        let groups = ["a third of dispatchers", "a quarter of dispatchers", "a fifth of dispatchers"];
        let mut faults = Vec::new();
        let mut at_s = self.from_s;
        while at_s < self.until_s {
            let kind = chance.random_range(0..10);
            let group = groups[chance.random_range(0..groups.len())];
            let links = format!("lists of {group}");
            let (what, who) = match kind {
                0..4 => (lists[chance.random_range(0..lists.len())], links),
                4..6 => (Stop, group.to_string()),
                6..8 => (Restart, "a tenth of dispatchers".to_string()),
                _ => ([Away, Resets, Mute, Gap, Whole, Half][chance.random_range(0..6)], String::new()),
            };
            let for_s = if what == Reset { 0.0 } else { chance.random_range(self.for_s[0]..=self.for_s[1]) };
            let by = if what == Slow { 0.3 } else { 0.0 };
            faults.push(Fault { at_s, for_s: for_s.min(self.until_s - at_s), what, who, by });
            at_s += self.each_s * chance.random_range(0.5..1.5);
        }
        faults
    }
}
