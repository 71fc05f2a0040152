//! The step time of an engine as a line over its batch.

/// Weight of a report against all earlier ones.
const FORGETTING: f64 = 0.98;

/// Least weight before the fitted line replaces the assumed one.
const WEIGHT_MIN: f64 = 4.0;

/// Step time fitted to load reports: a constant and a slope for each sequence.
///
/// Reports lag, but each pairs a step time with the batch that it was measured at, so the fit
/// doesn't suffer from the lag. Older reports are forgotten by degrees.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepTime {
    weight: f64,
    batch: f64,
    step_ms: f64,
    batch_squared: f64,
    product: f64,
}

impl StepTime {
    /// Takes in one report.
    pub fn observe(&mut self, batch: u32, step_ms: f64) {
        if batch == 0 || !step_ms.is_finite() || step_ms <= 0.0 {
            return;
        }
        let batch = f64::from(batch);
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.batch, batch),
            (&mut self.step_ms, step_ms),
            (&mut self.batch_squared, batch * batch),
            (&mut self.product, batch * step_ms),
        ];
        for (sum, value) in sums {
            *sum = *sum * FORGETTING + value;
        }
    }

    /// Predicts the step time at a batch; `None` before enough reports came.
    pub fn predict_ms(&self, batch: u32) -> Option<f64> {
        if self.weight < WEIGHT_MIN {
            return None;
        }
        let mean_batch = self.batch / self.weight;
        let mean_ms = self.step_ms / self.weight;
        let spread = self.batch_squared / self.weight - mean_batch * mean_batch;
        let covariance = self.product / self.weight - mean_batch * mean_ms;
        // A longer batch never makes a step shorter; a negative slope is noise.
        let slope = if spread > 0.25 {
            (covariance / spread).max(0.0)
        } else {
            0.0
        };
        let step_ms = mean_ms + slope * (f64::from(batch) - mean_batch);
        Some(step_ms.max(mean_ms * 0.1))
    }
}
