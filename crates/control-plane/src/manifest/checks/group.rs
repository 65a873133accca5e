//! Checks of the group: its durations, its voters, and the assignment of instances to members.

use super::entries::name_is_valid;
use super::{Checker, EntryLocation};
use crate::manifest::error::FaultCause;
use crate::manifest::group::GroupSection;
use crate::manifest::{MemberSpec, PartitionPolicy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Permitted range of the durations of leases and timeouts.
const DURATIONS_MS: RangeInclusive<u64> = 200..=600_000;
/// Maximum number of voters.
const MAX_VOTERS: usize = 9;
/// Margin by which a timeout must exceed the time after which a member's lease has certainly expired.
const TIMEOUT_MARGIN_MS: u64 = 1000;

/// The addresses and instances that are assigned to the members checked so far.
#[derive(Default)]
struct Assignments<'a> {
    /// Member names by the address of their link.
    links: BTreeMap<SocketAddr, &'a str>,
    /// Member names by the instance that they run.
    instances: BTreeMap<&'a str, &'a str>,
}

impl Checker<'_> {
    /// Checks the group, if the document has one.
    pub(super) fn check_group(&mut self) {
        let Some(group) = &self.document.group else {
            return;
        };
        let location = EntryLocation::unnamed("group", group);
        let group = group.get_ref();
        if !name_is_valid(&group.name) {
            self.report(location, FaultCause::InvalidName);
        }
        self.check_durations(location, group);
        self.check_voters(location, group);
        let mut assignments = Assignments::default();
        for (name, member) in &group.members {
            let location = EntryLocation::named("member", name, member);
            self.check_member(location, name, member.get_ref(), &mut assignments);
        }
        self.check_instances_are_run(&assignments);
    }

    fn check_durations(&mut self, location: EntryLocation<'_>, group: &GroupSection) {
        let timeouts = [
            ("check_ms", group.check_timeout_ms),
            ("stop_ms", group.quiesce_timeout_ms),
        ];
        for (key, ms) in [("term_ms", group.lease_ms)].into_iter().chain(timeouts) {
            if !DURATIONS_MS.contains(&ms) {
                self.report(location, FaultCause::DurationOutOfRange { key });
            }
        }
        if group.partition_policy == PartitionPolicy::Serve {
            return;
        }
        let min_ms = min_timeout_ms(group.lease_ms);
        for (key, ms) in timeouts {
            if ms < min_ms {
                let lease_ms = group.lease_ms;
                let cause = FaultCause::ShorterThanLease {
                    key,
                    min_ms,
                    lease_ms,
                };
                self.report(location, cause);
            }
        }
    }

    fn check_voters(&mut self, location: EntryLocation<'_>, group: &GroupSection) {
        let members = group.members.values();
        let voters = members.filter(|member| member.get_ref().votes).count();
        if voters == 0 {
            self.report(location, FaultCause::NoVoters);
        }
        if voters > MAX_VOTERS {
            self.report(location, FaultCause::TooManyVoters(voters));
        }
    }

    fn check_member<'d>(
        &mut self,
        location: EntryLocation<'_>,
        name: &'d str,
        member: &'d MemberSpec,
        assignments: &mut Assignments<'d>,
    ) {
        if !name_is_valid(name) {
            self.report(location, FaultCause::InvalidName);
        }
        if member.link.port() == 0 {
            self.report(location, FaultCause::LinkWithoutPort);
        }
        if let Some(other) = assignments.links.insert(member.link, name) {
            self.report(location, FaultCause::DuplicateLink(other.to_owned()));
        }
        for instance in &member.instances {
            if !self.document.instances.contains_key(instance) {
                self.report(location, FaultCause::UnknownInstance(instance.clone()));
            }
            if let Some(other) = assignments.instances.insert(instance, name) {
                let cause = FaultCause::InstanceRunTwice {
                    instance: instance.clone(),
                    member: other.to_owned(),
                };
                self.report(location, cause);
            }
        }
    }

    fn check_instances_are_run(&mut self, assignments: &Assignments<'_>) {
        for (name, instance) in &self.document.instances {
            if !assignments.instances.contains_key(name.as_str()) {
                let location = EntryLocation::named("instance", name, instance);
                self.report(location, FaultCause::InstanceNotRun);
            }
        }
    }
}

/// Returns the minimum timeout for a lease of this duration. A change completes without an unreachable member only after
/// the member's lease has expired, which is certain after one and a quarter times its duration.
fn min_timeout_ms(lease_ms: u64) -> u64 {
    lease_ms
        .saturating_add(lease_ms / 4)
        .saturating_add(TIMEOUT_MARGIN_MS)
}
