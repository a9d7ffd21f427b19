//! Finds the law of growth that measured points follow. Fits each law with an intercept by least squares and compares
//! the residuals; `Fit::best` returns the chosen law with its coefficients.

/// A more complex law is preferred only if its residual is less than this share of the simpler law's residual.
const COMPLEX_LAW_RESIDUAL_RATIO: f64 = 0.6;
/// Points whose range is at most this share of their mean, or at most the spread of their runs, count as flat.
const FLAT_RELATIVE_RANGE: f64 = 0.1;

/// How a cost grows with a size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Law {
    /// Constant.
    Flat,
    /// Proportional to the size.
    Linear,
    /// Proportional to the size times its logarithm.
    LinearLog,
    /// Proportional to the square of the size.
    Quadratic,
}

impl Law {
    /// The laws that grow, the simplest first.
    const GROWING: [Law; 3] = [Law::Linear, Law::LinearLog, Law::Quadratic];

    /// The value that the slope is multiplied by at this size.
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

    /// Name of the law, as printed.
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
    /// The cost: the median of the runs.
    pub cost: f64,
    /// Largest cost of the runs minus the smallest.
    pub spread: f64,
}

/// A law with its fitted coefficients.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fit {
    /// The law.
    pub law: Law,
    /// The cost at size 0.
    pub intercept: f64,
    /// Coefficient of the law's shape.
    pub slope: f64,
    /// Root mean square of the residuals as a share of the mean cost; absolute if the mean cost is 0.
    pub residual: f64,
}

impl Fit {
    /// The predicted cost at a size.
    pub(super) fn cost_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.law.shape(size)
    }

    /// Fits one law by least squares.
    pub(super) fn least_squares(law: Law, points: &[Point]) -> Fit {
        let count = points.len().max(1) as f64;
        let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let mean_shape = mean(&|point| law.shape(point.size));
        let mean_cost = mean(&|point| point.cost);
        let variance = mean(&|point| (law.shape(point.size) - mean_shape).powi(2));
        let covariance = mean(&|point| (law.shape(point.size) - mean_shape) * (point.cost - mean_cost));
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let mut fit = Fit { law, intercept: mean_cost - slope * mean_shape, slope, residual: 0.0 };
        let residual = mean(&|point| (point.cost - fit.cost_at(point.size)).powi(2)).sqrt();
        fit.residual = if mean_cost == 0.0 { residual } else { residual / mean_cost.abs() };
        fit
    }

    /// Returns the simplest law that fits about as well as any other.
    pub(super) fn best(points: &[Point]) -> Fit {
        let flat = Fit::least_squares(Law::Flat, points);
        if is_flat(points) {
            return flat;
        }
        let fits = Law::GROWING.map(|law| Fit::least_squares(law, points));
        let better = |best: Fit, fit: Fit| {
            if fit.residual < COMPLEX_LAW_RESIDUAL_RATIO * best.residual { fit } else { best }
        };
        fits.into_iter().reduce(better).unwrap_or(flat)
    }
}

/// Whether the points' range is no larger than the spread of their runs or than `FLAT_RELATIVE_RANGE` of their mean.
fn is_flat(points: &[Point]) -> bool {
    let costs = || points.iter().map(|point| point.cost);
    let range = costs().fold(f64::MIN, f64::max) - costs().fold(f64::MAX, f64::min);
    let spread = points.iter().map(|point| point.spread).fold(0.0, f64::max);
    let mean = costs().sum::<f64>() / points.len().max(1) as f64;
    range <= spread.max(FLAT_RELATIVE_RANGE * mean.abs())
}

#[cfg(test)]
#[path = "../tests/slopes_fit.rs"]
mod tests;
