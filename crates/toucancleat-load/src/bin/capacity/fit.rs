//! Straight lines through measured points.

/// A line `base + slope * size` by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at size zero.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a part of the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line through points of size and value.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
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

    /// Returns the value at a size.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}
