//! Linear regression of measured points.

/// Line fitted by ordinary least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Change of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
}

impl Line {
    /// Fits a line through points (x, y). When all points have the same x, the slope is zero and
    /// the intercept is the mean of y.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_squares_x > 0.0 {
            sum_products / sum_squares_x
        } else {
            0.0
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
