//! Groups of dispatchers as faults name them: all, from one number to another, a part drawn from the seed, a location.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Parts that have a name.
const PARTS: [(&str, usize); 5] =
    [("half", 2), ("a third", 3), ("a quarter", 4), ("a fifth", 5), ("a tenth", 10)];

/// The dispatchers that a name means, of so many in so many locations; nothing where it means none. The same seed draws
/// the same.
pub fn named(name: &str, count: usize, zones: usize, seed: u64) -> Option<Vec<usize>> {
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
mod tests {
    use super::named;

    #[test]
    fn a_name_means_the_same_dispatchers_for_the_same_seed() {
        assert_eq!(named("dispatchers", 3, 1, 1), Some(vec![0, 1, 2]));
        assert_eq!(named("dispatchers 1-2", 9, 1, 1), Some(vec![1, 2]));
        assert_eq!(named("dispatchers 7", 9, 1, 1), Some(vec![7]));
        assert_eq!(named("dispatchers 8-20", 9, 1, 1), Some(vec![8]));
        assert_eq!(named("zone 2", 9, 3, 1), Some(vec![2, 5, 8]));
        let third = named("a third of dispatchers", 300, 1, 7);
        assert!(third.as_ref().is_some_and(|third| third.len() == 100));
        assert_eq!(third, named("a third of dispatchers", 300, 1, 7));
        assert_ne!(third, named("a third of dispatchers", 300, 1, 8));
        for none in ["dispatchers 9", "zone 4", "a seventh of dispatchers", "caches", "dispatchers x"] {
            assert_eq!(named(none, 9, 3, 1), None, "{none}");
        }
    }
}
