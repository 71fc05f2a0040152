//! The step time of an engine as a linear function of its batch size.

/// Factor by which each new report scales the weight of all earlier ones.
const DECAY_FACTOR: f64 = 0.98;

/// Least total weight of the reports from which a step time is predicted.
const FIT_WEIGHT_MIN: f64 = 4.0;

/// A weighted least-squares fit of step times in load reports: a constant, and a slope
/// for each sequence.
///
/// Reports lag, but each pairs a step time with the batch size at which it was measured,
/// so the lag doesn't affect the fit. The weight of a report decays with each later one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepTime {
    weight: f64,
    batch_sum: f64,
    step_ms_sum: f64,
    batch_squared_sum: f64,
    product_sum: f64,
}

impl StepTime {
    /// Adds one report; reports without a batch or a valid step time are ignored.
    pub fn observe(&mut self, batch_size: u32, step_ms: f64) {
        if batch_size == 0 || !step_ms.is_finite() || step_ms <= 0.0 {
            return;
        }
        let batch_size = f64::from(batch_size);
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.batch_sum, batch_size),
            (&mut self.step_ms_sum, step_ms),
            (&mut self.batch_squared_sum, batch_size * batch_size),
            (&mut self.product_sum, batch_size * step_ms),
        ];
        for (sum, value) in sums {
            *sum = *sum * DECAY_FACTOR + value;
        }
    }

    /// Predicts the step time for a batch size, in milliseconds; `None` before enough
    /// reports were added.
    pub fn predict_ms(&self, batch_size: u32) -> Option<f64> {
        if self.weight < FIT_WEIGHT_MIN {
            return None;
        }
        let mean_batch = self.batch_sum / self.weight;
        let mean_ms = self.step_ms_sum / self.weight;
        let variance = self.batch_squared_sum / self.weight - mean_batch * mean_batch;
        let covariance = self.product_sum / self.weight - mean_batch * mean_ms;
        // A larger batch never makes a step shorter; a negative slope is noise.
        let slope = if variance > 0.25 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        let step_ms = mean_ms + slope * (f64::from(batch_size) - mean_batch);
        Some(step_ms.max(mean_ms * 0.1))
    }
}
