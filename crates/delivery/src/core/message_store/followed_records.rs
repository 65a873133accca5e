//! Full records of messages in segments that compaction cannot remove yet.
//!
//! Compaction removes segments in the order of their numbers, so that a record is removed before the later records that
//! supersede it. The segment to which a running predecessor writes is an exception: it precedes all segments of this
//! incarnation, and remains until it is adopted. A replay finds the full records in it. Until the segment is removed,
//! each compaction therefore copies forward what supersedes them: the full records of messages that are still stored, and
//! the removals of the others. Without the removals, the next incarnation would deliver these messages again.

use crate::core::MessageId;
use std::collections::{BTreeMap, BTreeSet};

/// The segment of a removal whose position in the journal is not known. It precedes all segments.
const UNKNOWN_SEGMENT: u64 = 0;

/// The messages whose full records are in segments that remain although later segments are removed.
#[derive(Default)]
pub(super) struct FollowedRecords {
    /// The messages with a full record in each such segment.
    messages: BTreeMap<u64, BTreeSet<MessageId>>,
    /// The removed messages among them, each with the segment to which compaction last copied its removal.
    removals: BTreeMap<MessageId, u64>,
}

impl FollowedRecords {
    /// Adds a message with a full record in a segment.
    pub(super) fn insert(&mut self, segment: u64, id: MessageId) {
        self.messages.entry(segment).or_default().insert(id);
    }

    /// Adds the messages with full records in each of the given segments.
    pub(super) fn extend(&mut self, messages: BTreeMap<u64, BTreeSet<MessageId>>) {
        for (segment, ids) in messages {
            self.messages.entry(segment).or_default().extend(ids);
        }
    }

    /// Returns the messages with full records in any of the segments.
    pub(super) fn ids(&self) -> BTreeSet<MessageId> {
        self.messages.values().flatten().copied().collect()
    }

    /// Records that a message has been removed from the store.
    pub(super) fn message_removed(&mut self, id: MessageId) {
        if self.contains(id) {
            self.removals.insert(id, UNKNOWN_SEGMENT);
        }
    }

    /// Returns the messages whose removals may be in no segment after `segment`.
    pub(super) fn removals_until(&self, segment: u64) -> Vec<MessageId> {
        let removals = self.removals.iter();
        let until = removals.filter(|(_, removal)| **removal <= segment);
        until.map(|(id, _)| *id).collect()
    }

    /// Records that the removal of a message has been copied to a segment.
    pub(super) fn removal_copied(&mut self, id: MessageId, segment: u64) {
        self.removals.insert(id, segment);
    }

    /// Drops a segment that has been removed, and the removals that only superseded records in it.
    pub(super) fn segment_removed(&mut self, segment: u64) {
        if self.messages.remove(&segment).is_some() {
            let remaining = self.ids();
            self.removals.retain(|id, _| remaining.contains(id));
        }
    }

    fn contains(&self, id: MessageId) -> bool {
        self.messages.values().any(|ids| ids.contains(&id))
    }
}
