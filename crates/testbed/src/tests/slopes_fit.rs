//! Tests that the fit recovers the law from which points were generated.

use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SIZES: [f64; 5] = [12.0, 60.0, 120.0, 300.0, 1_200.0];

fn points_of(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.map(|size| Point { size, cost: cost(size), spread: 0.0 }).to_vec()
}

#[test]
fn points_on_a_line_are_linear() {
    let fit = Fit::best(&points_of(|size| 3.0 + 0.25 * size));
    assert_eq!(fit.law, Law::Linear);
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 0.25).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && (fit.cost_at(590.0) - 150.5).abs() < 1e-9);
}

#[test]
fn points_on_a_parabola_are_quadratic() {
    let fit = Fit::best(&points_of(|size| 5.0 + 0.002 * size * size));
    assert_eq!(fit.law, Law::Quadratic);
    assert!((fit.slope - 0.002).abs() < 1e-9);
}

#[test]
fn n_log_n_points_are_linear_log() {
    let fit = Fit::best(&points_of(|size| 1.0 + size * size.log2()));
    assert_eq!(fit.law, Law::LinearLog);
}

#[test]
fn constant_cost_and_growth_within_the_spread_of_runs_are_flat() {
    let fit = Fit::best(&points_of(|_| 7.0));
    assert_eq!((fit.law, fit.slope, fit.cost_at(1e6)), (Law::Flat, 0.0, 7.0));
    let wide_spread = |size| Point { size, cost: 1.0 + size / 2_400.0, spread: 0.6 };
    assert_eq!(Fit::best(&SIZES.map(wide_spread)).law, Law::Flat);
    // The same growth with a small spread of runs is recognised.
    let narrow_spread = |size| Point { spread: 0.01, ..wide_spread(size) };
    assert_eq!(Fit::best(&SIZES.map(narrow_spread)).law, Law::Linear);
}

#[test]
fn noise_of_five_percent_keeps_the_law() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut noisy = |law: Law| {
            let points = points_of(|size| 100.0 + law.shape(size));
            let noise = |point: Point| Point { cost: point.cost * rng.random_range(0.95..1.05), ..point };
            Fit::best(&points.into_iter().map(noise).collect::<Vec<_>>()).law
        };
        assert_eq!(noisy(Law::Quadratic), Law::Quadratic, "seed {seed}");
        let line = noisy(Law::Linear);
        assert!(matches!(line, Law::Linear | Law::LinearLog), "seed {seed}: {line:?}");
        assert_eq!(noisy(Law::Flat), Law::Flat, "seed {seed}");
    }
}

#[test]
fn no_points_or_a_single_size_do_not_divide_by_zero() {
    assert!(Fit::least_squares(Law::Linear, &[]).cost_at(5.0) == 0.0);
    let one = [Point { size: 5.0, cost: 2.0, spread: 0.0 }; 3];
    assert_eq!((Fit::least_squares(Law::Linear, &one).slope, Fit::best(&one).law), (0.0, Law::Flat));
}
