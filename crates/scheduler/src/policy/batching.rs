//! Batching: selects the pending messages that share a call.

use crate::interface::{EndpointId, MessageId, Time};
use crate::pending_queue::DestinationQueue;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Returns the messages of one call to an endpoint: `first`, then others by decreasing decayed weight.
    pub(super) fn batch(
        &self,
        now: Time,
        first: MessageId,
        endpoint: EndpointId,
    ) -> Vec<MessageId> {
        let target = &self.endpoints[&endpoint];
        let kind = self.settings.kinds.get(target.kind.0);
        let max_batch = kind.map_or(1, |kind| kind.max_batch.max(1));
        let mut batch = vec![first];
        if max_batch == 1 {
            return batch;
        }
        let may_join = |id: &MessageId| {
            let message = &self.messages[id];
            let permitted_at = self.ordering_permits_at(*id, message);
            *id != first
                && self.may_send(now, message, endpoint, target)
                && permitted_at.is_some_and(|at| at <= now)
        };
        let queue = self.pending.of_destination(target.route.destination);
        let pending = queue.into_iter().flat_map(DestinationQueue::all);
        let mut others: Vec<MessageId> = pending.filter(may_join).collect();
        let weight = |id: &MessageId| self.decayed_weight(now, &self.messages[id]);
        others.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.cmp(b)));
        batch.extend(others.into_iter().take(max_batch - 1));
        batch
    }
}
