//! Exponential moving average of latencies.

use crate::interface::Span;

/// Weight of the newest sample, with which the mean covers about the last eight samples.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Upper bound of a sample as a multiple of the mean, because latencies have long tails.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Minimum mean in the bound of a sample, in ms.
const MIN_CLIPPING_MEAN_MS: f64 = 1.0;

/// Mean latency of successful calls; empty until the first success.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanLatency {
    mean_ms: Option<f64>,
}

impl MeanLatency {
    /// Creates a mean from a value that was measured earlier, in ms.
    pub fn restored(mean_ms: Option<f64>) -> MeanLatency {
        MeanLatency { mean_ms }
    }

    /// Returns the mean in ms, or `None` before the first call.
    pub fn ms(self) -> Option<f64> {
        self.mean_ms
    }

    /// Adds the latency of a call to the mean.
    pub fn observe(&mut self, latency: Span) {
        let sample = latency.ms();
        self.mean_ms = Some(match self.mean_ms {
            None => sample,
            Some(mean) => {
                let clipped = sample.min(MAX_SAMPLE_FACTOR * mean.max(MIN_CLIPPING_MEAN_MS));
                mean + SAMPLE_WEIGHT * (clipped - mean)
            }
        });
    }
}
