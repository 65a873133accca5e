//! Loss rate: the share of calls without a response although later calls on the same route were answered.

/// Weight of one call in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Loss rate above which losses are regular rather than random.
const LOSSY_RATE: f64 = 0.022;
/// Value of the sample for a lost call while calls are lost regularly; otherwise it is 1.
const LOSSY_SAMPLE: f64 = 0.5;

/// Moving average of the share of lost calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LossRate {
    rate: f64,
}

impl LossRate {
    /// Whether calls are lost regularly.
    pub fn is_lossy(&self) -> bool {
        self.rate > LOSSY_RATE
    }

    /// Records a call that succeeded.
    pub fn call_succeeded(&mut self) {
        self.rate -= SAMPLE_WEIGHT * self.rate;
    }

    /// Records a call that was lost.
    pub fn call_lost(&mut self) {
        let sample = if self.is_lossy() { LOSSY_SAMPLE } else { 1.0 };
        self.rate += SAMPLE_WEIGHT * (sample - self.rate);
    }
}
