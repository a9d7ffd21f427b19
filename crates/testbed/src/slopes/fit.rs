//! Which law of growth measured points follow: least squares with an intercept for each law, compared by what they leave.

/// A more complex law is taken only if it leaves less than this part of what a simpler one leaves.
const CLEARLY_BETTER: f64 = 0.6;
/// Points that differ by less than this part of their mean, or than their runs do, are flat.
const FLAT_WITHIN: f64 = 0.1;

/// How a cost grows with a size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Law {
    /// Not at all.
    Flat,
    /// With the size.
    Linear,
    /// With the size times its logarithm.
    LinearLog,
    /// With its square.
    Quadratic,
}

impl Law {
    /// Those that grow, the simplest first.
    const GROWING: [Law; 3] = [Law::Linear, Law::LinearLog, Law::Quadratic];

    /// What the slope is multiplied by.
    fn shape(self, size: f64) -> f64 {
        match self {
            Law::Flat => 0.0,
            Law::Linear => size,
            Law::LinearLog => size * size.max(1.0).log2(),
            Law::Quadratic => size * size,
        }
    }

    /// The law as a formula, with the size as x.
    pub(super) fn formula(self) -> &'static str {
        match self {
            Law::Flat => "",
            Law::Linear => " x",
            Law::LinearLog => " x log2 x",
            Law::Quadratic => " x^2",
        }
    }

    /// Its name.
    pub(super) fn name(self) -> &'static str {
        match self {
            Law::Flat => "flat",
            Law::Linear => "linear",
            Law::LinearLog => "n log n",
            Law::Quadratic => "quadratic",
        }
    }
}

/// A measured cost at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Point {
    /// The size.
    pub size: f64,
    /// The cost, the median of runs.
    pub cost: f64,
    /// The largest of the runs less the smallest.
    pub spread: f64,
}

/// A law with the figures that fit best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fit {
    /// The law.
    pub law: Law,
    /// The cost at size 0.
    pub intercept: f64,
    /// What the law's shape is multiplied by.
    pub slope: f64,
    /// What is left: the root of the mean square, as a part of the mean cost.
    pub residual: f64,
}

impl Fit {
    /// The cost that it gives at a size.
    pub(super) fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.law.shape(size)
    }

    /// One law's best figures, by least squares.
    pub(super) fn of(law: Law, points: &[Point]) -> Fit {
        let count = points.len().max(1) as f64;
        let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let mean_shape = mean(&|point| law.shape(point.size));
        let mean_cost = mean(&|point| point.cost);
        let variance = mean(&|point| (law.shape(point.size) - mean_shape).powi(2));
        let covariance = mean(&|point| (law.shape(point.size) - mean_shape) * (point.cost - mean_cost));
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let mut fit = Fit { law, intercept: mean_cost - slope * mean_shape, slope, residual: 0.0 };
        let left = mean(&|point| (point.cost - fit.at(point.size)).powi(2)).sqrt();
        fit.residual = if mean_cost == 0.0 { left } else { left / mean_cost.abs() };
        fit
    }

    /// The simplest law that fits about as well as any.
    pub(super) fn best(points: &[Point]) -> Fit {
        let flat = Fit::of(Law::Flat, points);
        if is_flat(points) {
            return flat;
        }
        let fits = Law::GROWING.map(|law| Fit::of(law, points));
        let better =
            |best: Fit, fit: Fit| if fit.residual < CLEARLY_BETTER * best.residual { fit } else { best };
        fits.into_iter().reduce(better).unwrap_or(flat)
    }
}

/// Whether points differ by no more than their own runs do, or by too little to tell.
fn is_flat(points: &[Point]) -> bool {
    let costs = || points.iter().map(|point| point.cost);
    let range = costs().fold(f64::MIN, f64::max) - costs().fold(f64::MAX, f64::min);
    let spread = points.iter().map(|point| point.spread).fold(0.0, f64::max);
    let mean = costs().sum::<f64>() / points.len().max(1) as f64;
    range <= spread.max(FLAT_WITHIN * mean.abs())
}

#[cfg(test)]
#[path = "../tests/slopes_fit.rs"]
mod tests;
