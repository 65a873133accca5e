//! Connection pressure of a destination kind: the frequency of calls that get no connection, or are lost on a stale one,
//! while other calls of the same route succeed.
//!
//! Idle connections of many instances can fill the connection table of an endpoint, and some endpoints drop idle
//! connections without closing them. Under high pressure, connections are closed after each call, at the cost of a
//! connect for each call.

use crate::interface::{Outcome, Span, Time};

/// Weight of one served call in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of a call that got no connection, as a number of served calls.
const CONNECT_FAILURE_WEIGHT: f64 = 5.0;
/// Weight of a call that was lost on a reused idle connection, as a number of served calls. It is lower because calls are
/// also lost for other reasons.
const IDLE_LOSS_WEIGHT: f64 = 2.0;
/// Pressure above which idle connections of the kind are closed.
const MAX_PRESSURE: f64 = 0.03;
/// Maximum time from a lost connection to the next success of the route for the loss to count.
const LOSS_RETENTION: Span = Span::from_secs(4.0);

/// A call that got no connection, or was lost on a reused idle connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostConnection {
    at: Time,
    weight: f64,
}

impl LostConnection {
    /// Returns the lost connection that an outcome indicates, if any.
    pub fn from_outcome(now: Time, outcome: Outcome, reused_idle: bool) -> Option<LostConnection> {
        let weight = match outcome {
            Outcome::ConnectFailed => CONNECT_FAILURE_WEIGHT,
            Outcome::TimedOut | Outcome::Reset if reused_idle => IDLE_LOSS_WEIGHT,
            _ => return None,
        };
        Some(LostConnection { at: now, weight })
    }

    /// Returns the weight of the loss in the pressure, or `None` if the loss is too old.
    pub fn recent_weight(self, now: Time) -> Option<f64> {
        (now - self.at < LOSS_RETENTION).then_some(self.weight)
    }
}

/// Moving average, over the served calls of one kind, of the weight of the connections lost before them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPressure {
    pressure: f64,
}

impl ConnectionPressure {
    /// Whether the pressure is so high that idle connections of the kind must be closed.
    pub fn is_high(&self) -> bool {
        self.pressure > MAX_PRESSURE
    }

    /// Records a served call. `lost_weight` is the weight of the connection that was lost before it, or 0 if none was.
    pub fn call_served(&mut self, lost_weight: f64) {
        self.pressure += SAMPLE_WEIGHT * (lost_weight - self.pressure);
    }
}
