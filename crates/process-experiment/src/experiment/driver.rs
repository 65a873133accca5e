//! Carries out the steps of a schedule, and ends each fault at its time.

use super::changes::{is_operator_name, operator_name, Changes, PlannedChange};
use super::ChangeCounts;
use crate::observation::{HistoryEvent, Observation, Outcomes};
use crate::schedule::{Action, FolderFault, Schedule};
use marblefall_process_harness::group::{member_name, Group};
use marblefall_process_harness::link_proxy::LinkState;
use marblefall_process_harness::{wait_for, HarnessError, Signal};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// How long a member that got SIGTERM has before it is killed, at most.
const MAX_SHUTDOWN_MS: u64 = 500;
/// Delay between the starts of two members after all were killed.
const START_INTERVAL_MS: u64 = 20;
/// Bytes that are removed from a torn file.
const TORN_BYTES: usize = 5;
/// Voters of which one may lose its votes while a majority of the others remains.
const MIN_VOTERS_FOR_FOLDER_FAULT: usize = 3;

/// What ends a fault.
enum Reversal {
    Start(usize, FolderFault),
    Continue(usize),
    OpenLinks(Vec<(usize, usize)>),
    RepairDisk(usize),
}

/// A reversal with its time in the run.
struct DueReversal {
    at_ms: u64,
    reversal: Reversal,
}

/// Carries out a schedule.
pub struct Driver<'a> {
    group: Group,
    schedule: &'a Schedule,
    started_at: Instant,
    trace: Vec<String>,
    reversals: Vec<DueReversal>,
    suspended: BTreeSet<usize>,
    changes: Changes,
    /// The manifest that the group was founded with.
    founding_manifest: String,
    /// The votes of voters as they were at the start.
    old_votes: BTreeMap<usize, Vec<u8>>,
}

impl<'a> Driver<'a> {
    /// A driver of a group whose members all run. The schedule starts now.
    pub fn new(group: Group, schedule: &'a Schedule) -> Driver<'a> {
        let voters = 0..schedule.processes.voters;
        let old_votes = voters
            .filter_map(|voter| Some((voter, fs::read(group.vote_file(voter)).ok()?)))
            .collect();
        Driver {
            founding_manifest: group.manifest(&[]),
            group,
            schedule,
            started_at: Instant::now(),
            trace: Vec::new(),
            reversals: Vec::new(),
            suspended: BTreeSet::new(),
            changes: Changes::default(),
            old_votes,
        }
    }

    /// Carries out all steps at their times.
    pub fn play(&mut self) -> Result<(), HarnessError> {
        let schedule = self.schedule;
        for step in &schedule.steps {
            self.run_until(step.at_ms)?;
            self.carry_out(&step.action)?;
        }
        self.run_until((schedule.processes.seconds * 1000.0) as u64)
    }

    /// Ends all faults, and waits until all members act under one policy.
    pub fn recover(&mut self) -> Result<(), HarnessError> {
        for due in std::mem::take(&mut self.reversals) {
            self.reverse(due.reversal)?;
        }
        self.group.links.open_all();
        self.note("all faults have ended".to_owned());
        // Each `apply` ends once its change has an outcome, which now is soon.
        self.changes.wait_for_all();
        wait_for("all to act under one policy", || {
            let revision = self.group.status(0)["group"]["revision"].as_u64();
            revision.is_some_and(|revision| {
                let mut members = 0..self.group.member_count();
                members.all(|member| self.group.is_acting(member, revision))
            })
        })
    }

    /// Returns what members recorded and report. The destination and clients are not part of it.
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

    /// The outcomes of this run's changes, as a member reports them.
    fn reported_outcomes(&self, member: usize) -> Outcomes {
        let mut outcomes = Outcomes::new();
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

    /// The endpoints that revisions drain, by the first member that reports the change as in force.
    fn drained_endpoints(&self, reported: &[Outcomes]) -> BTreeMap<u64, HashSet<usize>> {
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

    /// How many changes had which outcome.
    pub fn change_counts(&self) -> ChangeCounts {
        let outcomes = self.changes.outcomes();
        let in_force = outcomes.values().flatten().count();
        ChangeCounts {
            applied: self.changes.applied(),
            in_force,
            withdrawn: outcomes.len() - in_force,
        }
    }

    /// Notes that the run did not come to its end.
    pub fn note_failure(&mut self, error: &HarnessError) {
        self.trace
            .push(format!("the run did not come to its end: {error}"));
    }

    /// Notes the last lines of all logs.
    pub fn note_logs(&mut self) {
        self.trace.push(self.group.recent_logs());
    }

    /// What was noted.
    pub fn into_trace(self) -> Vec<String> {
        self.trace
    }

    fn note(&mut self, text: String) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.trace.push(format!("{seconds:8.3} s {text}"));
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Waits for a time of the run, and carries out the reversals that are due until then.
    fn run_until(&mut self, at_ms: u64) -> Result<(), HarnessError> {
        loop {
            let reversals = self.reversals.iter().enumerate();
            let next = reversals
                .min_by_key(|(_, due)| due.at_ms)
                .map(|(index, due)| (index, due.at_ms));
            let wake_ms = next.map_or(at_ms, |(_, due_ms)| due_ms.min(at_ms));
            let wait_ms = wake_ms.saturating_sub(self.now_ms());
            thread::sleep(Duration::from_millis(wait_ms));
            match next {
                Some((index, due_ms)) if due_ms <= at_ms => {
                    let due = self.reversals.swap_remove(index);
                    self.reverse(due.reversal)?;
                }
                _ => return Ok(()),
            }
        }
    }

    fn carry_out(&mut self, action: &Action) -> Result<(), HarnessError> {
        match action {
            Action::Change {
                member,
                number,
                drained_endpoint,
            } => self.change(*member, *number, *drained_endpoint)?,
            Action::Restart {
                member,
                gracefully,
                down_ms,
                folder,
            } => self.restart(*member, *gracefully, *down_ms, *folder),
            Action::Suspend { member, ms } => self.suspend(*member, *ms),
            Action::Links {
                from,
                to,
                both,
                state,
                ms,
            } => self.set_links(&link_pairs(from, to, *both), *state, *ms),
            Action::FullDisk { member, ms } => self.fill_disk(*member, *ms),
            Action::KillAll { down_ms, order } => self.kill_all(*down_ms, order),
        }
        Ok(())
    }

    fn reverse_at(&mut self, at_ms: u64, reversal: Reversal) {
        self.reversals.push(DueReversal { at_ms, reversal });
    }

    fn restart(&mut self, member: usize, gracefully: bool, down_ms: u64, folder: FolderFault) {
        let now_ms = self.now_ms();
        let has_folder_fault = folder != FolderFault::None;
        let folder = if has_folder_fault && !self.may_inject_folder_fault(member) {
            FolderFault::None
        } else {
            folder
        };
        let Some(process) = self.group.process(member) else {
            return;
        };
        if gracefully {
            process.signal(Signal::TERM);
        }
        self.note(format!(
            "{} ends, gracefully {gracefully}, folder {folder:?}, for {down_ms} ms",
            member_name(member)
        ));
        if gracefully {
            thread::sleep(Duration::from_millis(down_ms.min(MAX_SHUTDOWN_MS)));
        }
        self.group.kill(member);
        self.suspended.remove(&member);
        self.reverse_at(now_ms + down_ms, Reversal::Start(member, folder));
    }

    /// Whether a voter's folder may be damaged now. Only one is at a time, and only while all voters run, vote and reach
    /// each other: otherwise it could not be known what a majority has acknowledged.
    fn may_inject_folder_fault(&self, member: usize) -> bool {
        let is_harmless = |due: &DueReversal| {
            matches!(
                due.reversal,
                Reversal::Start(_, FolderFault::None) | Reversal::Continue(_)
            )
        };
        let votes = |voter: usize| self.group.status(voter)["votes"]["takes_part"] == true;
        let mut voters = 0..self.schedule.processes.voters;
        voters.len() >= MIN_VOTERS_FOR_FOLDER_FAULT
            && self.reversals.iter().all(is_harmless)
            && self.suspended.is_empty()
            && voters.all(|voter| voter == member || votes(voter))
            && votes(member)
    }

    fn suspend(&mut self, member: usize, ms: u64) {
        let now_ms = self.now_ms();
        let Some(process) = self.group.process(member) else {
            return;
        };
        if self.suspended.insert(member) {
            process.signal(Signal::STOP);
            self.note(format!("{} is suspended for {ms} ms", member_name(member)));
            self.reverse_at(now_ms + ms, Reversal::Continue(member));
        }
    }

    fn set_links(&mut self, pairs: &[(usize, usize)], state: LinkState, ms: u64) {
        let now_ms = self.now_ms();
        for (from, to) in pairs {
            self.group.links.set(*from, *to, state);
        }
        self.note(format!("links {pairs:?} are {state:?} for {ms} ms"));
        self.reverse_at(now_ms + ms, Reversal::OpenLinks(pairs.to_vec()));
    }

    /// Makes the writing of votes fail, by a folder in the place of the file that is written first.
    fn fill_disk(&mut self, member: usize, ms: u64) {
        let now_ms = self.now_ms();
        let blocker = new_vote_file(&self.group.vote_file(member));
        // A file that is left there would keep the folder from being created.
        let _ = fs::remove_file(&blocker);
        if fs::create_dir(&blocker).is_ok() {
            self.note(format!(
                "the disk of {} takes no votes for {ms} ms",
                member_name(member)
            ));
            self.reverse_at(now_ms + ms, Reversal::RepairDisk(member));
        }
    }

    fn kill_all(&mut self, down_ms: u64, order: &[usize]) {
        let now_ms = self.now_ms();
        self.note(format!(
            "all are killed for {down_ms} ms, and start as {order:?}"
        ));
        let mut start_ms = now_ms + down_ms;
        for member in order {
            if self.group.process(*member).is_some() {
                self.group.kill(*member);
                self.reverse_at(start_ms, Reversal::Start(*member, FolderFault::None));
            }
            start_ms += START_INTERVAL_MS;
        }
        self.suspended.clear();
    }

    fn change(
        &mut self,
        member: usize,
        number: u64,
        drained_endpoint: Option<usize>,
    ) -> Result<(), HarnessError> {
        let mut manifest = self.group.changed_manifest(number as usize);
        if let Some(endpoint) = drained_endpoint {
            manifest = self.group.drain_endpoint(&manifest, endpoint);
        }
        let plan = self.group.plan(member, &manifest)?;
        self.note(format!(
            "change {number} is applied at {}, draining {drained_endpoint:?}",
            member_name(member)
        ));
        self.changes.apply(PlannedChange {
            program: self.group.settings.program.clone(),
            plan,
            home: self.group.home(member),
            number,
        });
        Ok(())
    }

    fn reverse(&mut self, reversal: Reversal) -> Result<(), HarnessError> {
        match reversal {
            Reversal::Start(member, folder) => {
                self.inject_folder_fault(member, folder)?;
                self.group.start(member)?;
                self.note(format!("{} starts", member_name(member)));
            }
            Reversal::Continue(member) => {
                let process = self.group.process(member);
                if let Some(process) = process.filter(|_| self.suspended.remove(&member)) {
                    process.signal(Signal::CONT);
                    self.note(format!("{} continues", member_name(member)));
                }
            }
            Reversal::OpenLinks(pairs) => {
                for (from, to) in &pairs {
                    self.group.links.set(*from, *to, LinkState::Open);
                }
                self.note(format!("links {pairs:?} are open"));
            }
            Reversal::RepairDisk(member) => {
                // The daemon may have removed it meanwhile.
                let _ = fs::remove_dir(new_vote_file(&self.group.vote_file(member)));
                self.note(format!("the disk of {} works again", member_name(member)));
            }
        }
        Ok(())
    }

    fn inject_folder_fault(
        &mut self,
        member: usize,
        fault: FolderFault,
    ) -> Result<(), HarnessError> {
        let votes = self.group.vote_file(member);
        match fault {
            FolderFault::None => Ok(()),
            FolderFault::Lost => self.lose_folder(member),
            FolderFault::Old => match self.old_votes.get(&member) {
                Some(old) => write(&votes, old),
                None => Ok(()),
            },
            FolderFault::Torn => {
                let bytes = fs::read(&votes);
                let bytes = bytes.map_err(HarnessError::io(votes.display().to_string()))?;
                let torn = &bytes[..bytes.len().saturating_sub(TORN_BYTES)];
                write(&votes, torn)
            }
        }
    }

    /// Removes the group's part of a home, and founds it again. The journal stays: messages that an instance accepted are
    /// another matter than what a voter acknowledged.
    fn lose_folder(&mut self, member: usize) -> Result<(), HarnessError> {
        let home = PathBuf::from(self.group.home(member));
        // What is not there need not be removed.
        let _ = fs::remove_dir_all(home.join("group"));
        let _ = fs::remove_file(home.join("applied.json"));
        self.group.found_member(member, &self.founding_manifest)
    }
}

/// The file that a voter writes before it replaces its votes.
fn new_vote_file(votes: &Path) -> PathBuf {
    votes.with_file_name("votes.new")
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), HarnessError> {
    fs::write(path, bytes).map_err(HarnessError::io(path.display().to_string()))
}

fn link_pairs(from: &[usize], to: &[usize], both: bool) -> Vec<(usize, usize)> {
    let forward = from
        .iter()
        .flat_map(|from| to.iter().map(move |to| (*from, *to)));
    let mut pairs: Vec<(usize, usize)> = forward.collect();
    if both {
        let backward: Vec<_> = pairs.iter().map(|(from, to)| (*to, *from)).collect();
        pairs.extend(backward);
    }
    pairs
}
