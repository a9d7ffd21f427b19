//! Groups of dispatchers as faults name them: all, from one number to another, a part drawn from the seed, a location.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Parts that have a name.
const PARTS: [(&str, usize); 5] =
    [("half", 2), ("a third", 3), ("a quarter", 4), ("a fifth", 5), ("a tenth", 10)];

/// The dispatchers that a name means, of so many in so many locations; nothing where it means none. The same seed draws
/// the same.
pub(crate) fn named(name: &str, count: usize, zones: usize, seed: u64) -> Option<Vec<usize>> {
    let zone = |at: &usize| at % zones.max(1);
    let found: Vec<usize> = if name == "dispatchers" {
        (0..count).collect()
    } else if let Some(range) = name.strip_prefix("dispatchers ") {
        let (from, to) = range.split_once('-').unwrap_or((range, range));
        let (from, to): (usize, usize) = (from.parse().ok()?, to.parse().ok()?);
        (from..=to).take_while(|at| *at < count).collect()
    } else if let Some(of) = name.strip_prefix("zone ") {
        let of: usize = of.parse().ok()?;
        (0..count).filter(|at| zone(at) == of).collect()
    } else {
        let part = name.strip_suffix(" of dispatchers")?;
        let share = PARTS.iter().find(|known| known.0 == part)?.1;
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut StdRng::seed_from_u64(seed));
        all.truncate(count.div_ceil(share));
        all.sort();
        all
    };
    (!found.is_empty()).then_some(found)
}

#[cfg(test)]
#[path = "tests/groups.rs"]
mod tests;
