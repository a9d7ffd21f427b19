//! Laws of growth, found again in points that were drawn from them.

use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SIZES: [f64; 5] = [12.0, 60.0, 120.0, 300.0, 1_200.0];

fn drawn(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.map(|size| Point { size, cost: cost(size), spread: 0.0 }).to_vec()
}

#[test]
fn a_line_is_linear() {
    let fit = Fit::best(&drawn(|size| 3.0 + 0.25 * size));
    assert_eq!(fit.law, Law::Linear);
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 0.25).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && (fit.at(590.0) - 150.5).abs() < 1e-9);
}

#[test]
fn a_parabola_is_quadratic() {
    let fit = Fit::best(&drawn(|size| 5.0 + 0.002 * size * size));
    assert_eq!(fit.law, Law::Quadratic);
    assert!((fit.slope - 0.002).abs() < 1e-9);
}

#[test]
fn a_sort_is_between_them() {
    let fit = Fit::best(&drawn(|size| 1.0 + size * size.log2()));
    assert_eq!(fit.law, Law::LinearLog);
}

#[test]
fn what_does_not_grow_is_flat_and_so_is_what_its_own_runs_hide() {
    let fit = Fit::best(&drawn(|_| 7.0));
    assert_eq!((fit.law, fit.slope, fit.at(1e6)), (Law::Flat, 0.0, 7.0));
    let hidden = |size| Point { size, cost: 1.0 + size / 2_400.0, spread: 0.6 };
    assert_eq!(Fit::best(&SIZES.map(hidden)).law, Law::Flat);
    // The same growth, where runs agree, is none that is hidden.
    let seen = |size| Point { spread: 0.01, ..hidden(size) };
    assert_eq!(Fit::best(&SIZES.map(seen)).law, Law::Linear);
}

#[test]
fn noise_of_a_twentieth_changes_no_law() {
    for seed in 0..200 {
        let mut chance = StdRng::seed_from_u64(seed);
        let mut noisy = |law: Law| {
            let points = drawn(|size| 100.0 + law.shape(size));
            let noise = |point: Point| Point { cost: point.cost * chance.random_range(0.95..1.05), ..point };
            Fit::best(&points.into_iter().map(noise).collect::<Vec<_>>()).law
        };
        assert_eq!(noisy(Law::Quadratic), Law::Quadratic, "seed {seed}");
        let line = noisy(Law::Linear);
        assert!(matches!(line, Law::Linear | Law::LinearLog), "seed {seed}: {line:?}");
        assert_eq!(noisy(Law::Flat), Law::Flat, "seed {seed}");
    }
}

#[test]
fn no_points_and_one_size_are_no_division_by_zero() {
    assert!(Fit::of(Law::Linear, &[]).at(5.0) == 0.0);
    let one = [Point { size: 5.0, cost: 2.0, spread: 0.0 }; 3];
    assert_eq!((Fit::of(Law::Linear, &one).slope, Fit::best(&one).law), (0.0, Law::Flat));
}
