//! Least-squares fit of a straight line to measured points.

/// A line `base + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at size zero.
    pub base: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest absolute value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of size and value.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let mut line = Line {
            base: mean_y - slope * mean_x,
            slope,
            residual: 0.0,
        };
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let distance = points.iter().map(|&(x, y)| (y - line.at(x)).abs());
        if largest > 0.0 {
            line.residual = distance.fold(0.0, f64::max) / largest;
        }
        line
    }

    /// Returns the value at a size, at least 0.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}
