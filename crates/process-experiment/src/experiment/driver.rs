//! Carries out the steps of a schedule and ends each fault when its duration is over.

use super::changes::{Changes, PlannedChange};
use super::folder_faults::new_vote_file;
use crate::schedule::{Action, FolderFault, Schedule};
use marblefall_process_harness::group::{member_name, Group};
use marblefall_process_harness::link_proxy::LinkState;
use marblefall_process_harness::{wait_for, HarnessError, Signal};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time from SIGTERM to SIGKILL of a member, in milliseconds.
const MAX_SHUTDOWN_MS: u64 = 500;
/// Delay between the starts of two members after all were killed, in milliseconds.
const START_INTERVAL_MS: u64 = 20;

/// An operation that ends a fault.
pub(super) enum Reversal {
    /// Applies a folder fault to a member that is down, and starts the member.
    Start(usize, FolderFault),
    /// Resumes a suspended member.
    Continue(usize),
    /// Opens links, each given by the numbers of the sending and the receiving member.
    OpenLinks(Vec<(usize, usize)>),
    /// Lets a voter store its votes again.
    RepairDisk(usize),
}

/// A reversal and the time at which it is due.
pub(super) struct DueReversal {
    /// Milliseconds after the start of the run.
    at_ms: u64,
    pub(super) reversal: Reversal,
}

/// Carries out a schedule on a group.
pub struct Driver<'a> {
    pub(super) group: Group,
    pub(super) schedule: &'a Schedule,
    started_at: Instant,
    trace: Vec<String>,
    /// The reversals of all current faults.
    pub(super) reversals: Vec<DueReversal>,
    /// The members that are suspended.
    pub(super) suspended: BTreeSet<usize>,
    pub(super) changes: Changes,
    /// The manifest with which the group was founded.
    pub(super) founding_manifest: String,
    /// The contents of the voters' vote files at the start of the run.
    pub(super) initial_votes: BTreeMap<usize, Vec<u8>>,
}

impl<'a> Driver<'a> {
    /// Creates the driver of a group whose members all run. The time of the run starts here.
    pub fn new(group: Group, schedule: &'a Schedule) -> Driver<'a> {
        let voters = 0..schedule.processes.voters;
        let initial_votes = voters
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
            initial_votes,
        }
    }

    /// Carries out all steps at their times and waits for the end of the schedule.
    pub fn play(&mut self) -> Result<(), HarnessError> {
        let schedule = self.schedule;
        for step in &schedule.steps {
            self.run_until(step.at_ms)?;
            self.carry_out(&step.action)?;
        }
        self.run_until((schedule.processes.seconds * 1000.0) as u64)
    }

    /// Ends all faults and waits until all members act under the revision in force.
    pub fn recover(&mut self) -> Result<(), HarnessError> {
        for due in std::mem::take(&mut self.reversals) {
            self.reverse(due.reversal)?;
        }
        self.group.links.open_all();
        self.note("all faults have ended".to_owned());
        // Without faults, each change soon has an outcome, and its `apply` exits.
        self.changes.wait_for_all();
        wait_for("all members to act under one revision", || {
            let revision = self.group.status(0)["group"]["revision"].as_u64();
            revision.is_some_and(|revision| {
                let mut members = 0..self.group.member_count();
                members.all(|member| self.group.is_acting(member, revision))
            })
        })
    }

    /// Adds the error that ended the run early to the trace.
    pub fn note_failure(&mut self, error: &HarnessError) {
        self.trace.push(format!("the run ended early: {error}"));
    }

    /// Adds the last lines of all logs to the trace.
    pub fn note_logs(&mut self) {
        self.trace.push(self.group.recent_logs());
    }

    /// Returns the trace.
    pub fn into_trace(self) -> Vec<String> {
        self.trace
    }

    /// Adds a line with the current time to the trace.
    fn note(&mut self, text: String) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.trace.push(format!("{seconds:8.3} s {text}"));
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Waits until a time of the run and carries out the reversals that become due before.
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
            "{} is down for {down_ms} ms, gracefully {gracefully}, folder fault {folder:?}",
            member_name(member)
        ));
        if gracefully {
            thread::sleep(Duration::from_millis(down_ms.min(MAX_SHUTDOWN_MS)));
        }
        self.group.kill(member);
        self.suspended.remove(&member);
        self.reverse_at(now_ms + down_ms, Reversal::Start(member, folder));
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

    /// Makes writes of votes fail: a folder takes the path of the temporary file that a voter writes before it replaces
    /// its votes.
    fn fill_disk(&mut self, member: usize, ms: u64) {
        let now_ms = self.now_ms();
        let blocker = new_vote_file(&self.group.vote_file(member));
        // A leftover file at this path would prevent the creation of the folder.
        let _ = fs::remove_file(&blocker);
        if fs::create_dir(&blocker).is_ok() {
            self.note(format!(
                "the disk of {} rejects votes for {ms} ms",
                member_name(member)
            ));
            self.reverse_at(now_ms + ms, Reversal::RepairDisk(member));
        }
    }

    fn kill_all(&mut self, down_ms: u64, order: &[usize]) {
        let now_ms = self.now_ms();
        self.note(format!(
            "all members are killed for {down_ms} ms and start in the order {order:?}"
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
                    self.note(format!("{} is resumed", member_name(member)));
                }
            }
            Reversal::OpenLinks(pairs) => {
                for (from, to) in &pairs {
                    self.group.links.set(*from, *to, LinkState::Open);
                }
                self.note(format!("links {pairs:?} are open"));
            }
            Reversal::RepairDisk(member) => {
                // The daemon may have removed the folder in the meantime.
                let _ = fs::remove_dir(new_vote_file(&self.group.vote_file(member)));
                self.note(format!(
                    "the disk of {} accepts votes again",
                    member_name(member)
                ));
            }
        }
        Ok(())
    }
}

/// Returns the links from each member of `from` to each member of `to`, and the opposite links if `both` is set.
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
