//! Exponential moving average of latencies.

use crate::interface::Span;

/// Weight of the newest sample, so that about the last eight count.
const SAMPLE_WEIGHT: f64 = 0.12;
/// A sample counts as this multiple of the mean at most: latencies have long tails.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// The least mean that bounds a sample, in ms.
const MIN_CLIPPING_MEAN_MS: f64 = 1.0;

/// Mean latency of successful calls; empty until the first of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanLatency {
    mean_ms: Option<f64>,
}

impl MeanLatency {
    /// A mean that was measured earlier, in ms.
    pub fn restored(mean_ms: Option<f64>) -> MeanLatency {
        MeanLatency { mean_ms }
    }

    /// The mean in ms.
    pub fn ms(self) -> Option<f64> {
        self.mean_ms
    }

    /// Adds the latency of one call.
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
