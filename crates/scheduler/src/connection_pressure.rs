//! Connection pressure of a destination kind: how often calls fail for lack of a connection, or on a stale one, while
//! other calls of the same route succeed.
//!
//! Idle connections of many instances can fill the connection table of an endpoint, and some endpoints drop idle
//! connections without closing them. Under high pressure connections are closed after each call. The cost is a
//! connect for each call.

use crate::interface::{Outcome, Span, Time};

/// Weight of one served call in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of a call that got no connection, in served calls.
const CONNECT_FAILURE_WEIGHT: f64 = 5.0;
/// Weight of a call that was lost on a reused idle connection, in served calls: calls are lost for other reasons too.
const IDLE_LOSS_WEIGHT: f64 = 2.0;
/// Pressure above which idle connections of the kind are closed.
const MAX_PRESSURE: f64 = 0.03;
/// How long a lost connection is held against the next call that succeeds.
const LOSS_MEMORY: Span = Span::from_secs(4.0);

/// A call that got no connection, or was lost on a reused idle one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostConnection {
    at: Time,
    weight: f64,
}

impl LostConnection {
    /// The lost connection that an outcome stands for, if it does.
    pub fn from_outcome(now: Time, outcome: Outcome, reused_idle: bool) -> Option<LostConnection> {
        let weight = match outcome {
            Outcome::ConnectFailed => CONNECT_FAILURE_WEIGHT,
            Outcome::TimedOut | Outcome::Reset if reused_idle => IDLE_LOSS_WEIGHT,
            _ => return None,
        };
        Some(LostConnection { at: now, weight })
    }

    /// Weight of the loss in the pressure, `None` once it is too old.
    pub fn recent_weight(self, now: Time) -> Option<f64> {
        (now - self.at < LOSS_MEMORY).then_some(self.weight)
    }
}

/// Moving average of the weights of lost connections over the served calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPressure {
    pressure: f64,
}

impl ConnectionPressure {
    /// Whether idle connections of the kind are to be closed.
    pub fn is_high(&self) -> bool {
        self.pressure > MAX_PRESSURE
    }

    /// Records a served call, with the weight of the connection that was lost before it; 0 if none was.
    pub fn call_served(&mut self, lost_weight: f64) {
        self.pressure += SAMPLE_WEIGHT * (lost_weight - self.pressure);
    }
}
