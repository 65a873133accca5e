//! Silence: a route without successful calls for a while may have been out of service although too few calls
//! failed to eject it, for example because calls hang. When the route answers again, its backlog is sent
//! along the recovery ramp.

use crate::interface::{DestinationId, Span, Time};
use crate::pending_queue::DestinationQueue;
use crate::scheduler::Scheduler;
use crate::state::RouteId;

/// Minimum time without a successful call after which a route counts as silent.
const MIN_SILENCE: Span = Span::from_secs(5.0);
/// Minimum backlog at all instances together for which a silence starts the ramp, in messages.
const MIN_BACKLOG: f64 = 24.0;
/// Minimum backlog at each instance for which a silence starts the ramp, in messages.
const MIN_BACKLOG_PER_INSTANCE: f64 = 2.0;

impl Scheduler {
    /// Starts the recovery ramp of a route that answers after a silence, or after rejecting every call. Must
    /// be called before the success is recorded.
    pub(super) fn ramp_after_silence(&mut self, now: Time, id: RouteId) {
        let min_backlog = (MIN_BACKLOG / self.instances())
            .ceil()
            .max(MIN_BACKLOG_PER_INSTANCE) as usize;
        let queue = self.pending.of_destination(id.destination);
        let has_backlog = queue.map_or(0, DestinationQueue::len) >= min_backlog;
        let route = self.route_mut(id);
        let was_silent = has_backlog && route.baseline_rate.is_silent_for(now, MIN_SILENCE);
        if was_silent || route.failures.was_rejecting_all(now) {
            route.ramp.answered_after_silence(now);
        }
    }

    /// Treats the routes of a destination as silent unless they have answered this incarnation. Called for a
    /// message that an earlier incarnation attempted without success.
    pub(crate) fn assume_silence(&mut self, now: Time, id: DestinationId) {
        for endpoint in self.destinations.get(&id).into_iter().flatten() {
            let route = self.routes.get_mut(&self.endpoints[endpoint].route);
            let route = route.expect("an endpoint has a route");
            route.baseline_rate.assume_updated_at(now - MIN_SILENCE);
        }
    }
}
