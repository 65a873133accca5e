//! Plays a schedule on a group of processes and checks the invariants on the observations.

mod changes;
mod driver;
mod folder_faults;
mod observe;

use crate::invariants::{self, Violation};
use crate::schedule::{ProcessSettings, Schedule};
use driver::Driver;
use marblefall_process_harness::client::{ClientLoad, Clients};
use marblefall_process_harness::destination::Destination;
use marblefall_process_harness::group::{Group, GroupSettings};
use marblefall_process_harness::HarnessError;
use std::path::Path;
use std::time::Duration;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The violations, sorted by invariant.
    pub violations: Vec<Violation>,
    /// The actions of the run with their times. If there are violations, also the last lines of the members' logs.
    pub trace: Vec<String>,
    /// Number of events in the members' histories.
    pub events: usize,
    /// Number of submissions of clients, repeated ones included.
    pub submissions: usize,
    /// Number of submissions without a final response, which clients repeat.
    pub repeated_submissions: usize,
    /// Numbers of changes of the policy, by outcome.
    pub changes: ChangeCounts,
}

/// Numbers of changes of the policy, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeCounts {
    /// Changes for which operators ran `apply`.
    pub applied: usize,
    /// Changes that `apply` reported as in force.
    pub in_force: usize,
    /// Changes that `apply` reported as withdrawn.
    pub withdrawn: usize,
}

/// Plays a schedule with the program under test in a folder, and checks the invariants. An error during the schedule or
/// the recovery ends the run early and is added to the trace.
///
/// # Errors
/// The processes cannot be set up. The run is then inconclusive.
pub fn play(schedule: &Schedule, program: &Path, folder: &Path) -> Result<Report, HarnessError> {
    let settings = &schedule.processes;
    let destination = Destination::start(Duration::from_millis(settings.service_ms))?;
    let mut group = Group::found(group_settings(settings, &destination, program, folder))?;
    group.start_all()?;
    let load = ClientLoad {
        addresses: group.event_addresses(),
        clients: settings.clients,
        pause: Duration::from_millis(settings.pause_ms),
        run: schedule.seed,
    };
    let mut driver = Driver::new(group, schedule);
    let clients = Clients::start(&load);
    let finished = driver.play().and_then(|()| driver.recover());
    let submissions = clients.stop();
    let mut observation = driver.observe();
    observation.calls = destination.calls();
    observation.submissions = submissions;
    if let Err(error) = finished {
        driver.note_failure(&error);
    }
    let mut violations = invariants::check(&observation);
    violations.sort_by_key(|violation| violation.invariant);
    if !violations.is_empty() {
        driver.note_logs();
    }
    let submissions = observation.submissions.iter();
    Ok(Report {
        violations,
        changes: driver.change_counts(),
        trace: driver.into_trace(),
        events: observation.events.len(),
        repeated_submissions: submissions
            .filter(|submission| !submission.is_final())
            .count(),
        submissions: observation.submissions.len(),
    })
}

fn group_settings(
    settings: &ProcessSettings,
    destination: &Destination,
    program: &Path,
    folder: &Path,
) -> GroupSettings {
    GroupSettings {
        program: program.to_owned(),
        folder: folder.to_owned(),
        members: settings.members,
        voters: settings.voters,
        partition_policy: settings.partition_policy.clone(),
        lease_ms: settings.lease_ms,
        endpoints: destination.addresses.clone(),
    }
}
