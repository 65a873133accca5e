//! Collects the histories and the status reports of the members.

use super::changes::{is_operator_name, operator_name};
use super::driver::Driver;
use super::ChangeCounts;
use crate::observation::{ChangeOutcomes, HistoryEvent, Observation};
use crate::schedule::Action;
use std::collections::{BTreeMap, HashSet};
use std::fs;

impl Driver<'_> {
    /// Returns the observations of the members. The caller adds the calls of the destination and the submissions.
    pub fn observe(&self) -> Observation {
        let mut observation = Observation {
            applied_outcomes: self.changes.outcomes(),
            ..Observation::default()
        };
        let members = 0..self.group.member_count();
        let revision = members
            .clone()
            .find_map(|member| self.group.status(member)["group"]["revision"].as_u64());
        for member in members {
            let history = fs::read_to_string(self.group.history_file(member)).unwrap_or_default();
            observation.events.extend(HistoryEvent::parse_all(&history));
            let caught_up = revision.is_some_and(|revision| self.group.is_acting(member, revision));
            observation.caught_up.push(caught_up);
            observation
                .reported_outcomes
                .push(self.reported_outcomes(member));
        }
        observation.drained_endpoints = self.drained_endpoints(&observation.reported_outcomes);
        observation
    }

    /// Returns the outcomes of the run's changes as a member reports them.
    fn reported_outcomes(&self, member: usize) -> ChangeOutcomes {
        let mut outcomes = ChangeOutcomes::new();
        let history = self.group.change_history(member);
        for change in history.as_array().into_iter().flatten() {
            let author = change["by"].as_str().unwrap_or_default();
            let operator = author.split(' ').next().unwrap_or_default();
            if is_operator_name(operator) {
                outcomes.insert(operator.to_owned(), change["revision"].as_u64());
            }
        }
        outcomes
    }

    /// Returns the drained endpoints by revision. The revision of a change is taken from the first member that reports
    /// the change as in force.
    fn drained_endpoints(&self, reported: &[ChangeOutcomes]) -> BTreeMap<u64, HashSet<usize>> {
        let mut drained = BTreeMap::new();
        for step in &self.schedule.steps {
            let Action::Change {
                number,
                drained_endpoint: Some(endpoint),
                ..
            } = step.action
            else {
                continue;
            };
            let name = operator_name(number);
            let mut revisions = reported
                .iter()
                .filter_map(|outcomes| outcomes.get(&name).copied().flatten());
            if let Some(revision) = revisions.next() {
                drained.insert(revision, HashSet::from([endpoint]));
            }
        }
        drained
    }

    /// Returns the numbers of changes by outcome.
    pub fn change_counts(&self) -> ChangeCounts {
        let outcomes = self.changes.outcomes();
        let in_force = outcomes.values().flatten().count();
        ChangeCounts {
            applied: self.changes.applied(),
            in_force,
            withdrawn: outcomes.len() - in_force,
        }
    }
}
