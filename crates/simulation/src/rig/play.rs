//! Plays a schedule on processes, gathers what everybody wrote down, and judges it; looks for seeds that break a promise, and
//! takes away from a schedule what is not needed for it.

use super::clients::Clients;
use super::daemons::{name, Group, Setting};
use super::history::{Breach, Did, Outcomes, Promise, Seen};
use super::partner::Partner;
use super::relay::Does;
use super::schedule::{Deed, Schedule, Tamper};
use super::{wait_for, Fault};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// What was done when, and what the logs said last.
    pub trace: Vec<String>,
    /// Acts that members wrote down.
    pub acts: usize,
    /// Answers to clients, and those that were told to come again.
    pub answers: (usize, usize),
    /// Changes that were applied, came into force, and were withdrawn.
    pub changes: (usize, usize, usize),
}

/// What is undone at a time.
enum Later {
    Start(usize, Tamper),
    Continue(usize),
    Heal(Vec<(usize, usize)>),
    Empty(usize),
}

struct Run<'a> {
    group: Group,
    schedule: &'a Schedule,
    began: Instant,
    trace: Vec<String>,
    later: Vec<(u64, Later)>,
    old: BTreeMap<usize, Vec<u8>>,
    applying: Vec<JoinHandle<()>>,
    applied: Arc<Mutex<Outcomes>>,
    proposed: usize,
    stopped: BTreeSet<usize>,
    founding: String,
}

/// Plays a schedule in a folder with a program.
///
/// # Errors
/// Where the rig cannot be set up or does not come to its end; that proves nothing about the program but that it does not
/// come back to service.
pub fn play(schedule: &Schedule, program: &Path, folder: &Path) -> Result<Report, Fault> {
    let processes = &schedule.processes;
    let partner = Partner::start(Duration::from_millis(processes.call_ms))?;
    let setting = Setting {
        program: program.to_owned(),
        folder: folder.to_owned(),
        members: processes.members,
        voters: processes.voters,
        on_cut: processes.on_cut.clone(),
        term_ms: processes.term_ms,
        partner: partner.at.to_vec(),
    };
    let mut group = Group::found(setting)?;
    group.start_all()?;
    let founding = group.file(&[]);
    let (trace, later, applying, applied, proposed) = Default::default();
    let old =
        (0..processes.voters).filter_map(|voter| Some((voter, fs::read(group.votes(voter)).ok()?)));
    let old = old.collect();
    let crowd = schedule.seed;
    let rest = Duration::from_millis(processes.rest_ms);
    let clients = Clients::start(&group.listens, processes.clients, rest, crowd);
    let began = Instant::now();
    let stopped = BTreeSet::new();
    let mut run = Run {
        group,
        schedule,
        began,
        trace,
        later,
        old,
        applying,
        applied,
        proposed,
        stopped,
        founding,
    };
    let done = run.play();
    let healed = done.and_then(|()| run.heal());
    let answers = clients.end();
    let mut seen = run.gather()?;
    (seen.calls, seen.answers) = (partner.calls(), answers);
    if let Err(fault) = healed {
        run.trace
            .push(format!("the run did not come to its end: {fault}"));
    }
    let mut breaches = seen.judge();
    breaches.sort_by_key(|breach| breach.promise);
    if !breaches.is_empty() {
        run.trace.push(run.group.logs());
    }
    let again = seen
        .answers
        .iter()
        .filter(|answer| matches!(answer.status, 0 | 429 | 503))
        .count();
    let applied = run
        .applied
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let in_force = applied.values().flatten().count();
    let changes = (run.proposed, in_force, applied.len() - in_force);
    let (acts, answers) = (seen.did.len(), (seen.answers.len(), again));
    Ok(Report {
        breaches,
        trace: run.trace,
        acts,
        answers,
        changes,
    })
}

impl Run<'_> {
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn note(&mut self, what: String) {
        self.trace.push(format!(
            "{:8.3} s {what}",
            self.began.elapsed().as_secs_f64()
        ));
    }

    fn play(&mut self) -> Result<(), Fault> {
        let schedule = self.schedule;
        for step in &schedule.steps {
            self.until(step.at_ms)?;
            self.strike(&step.deed)?;
        }
        self.until((schedule.processes.seconds * 1000.0) as u64)
    }

    /// Waits for a time of the schedule, and undoes what is due until then.
    fn until(&mut self, at_ms: u64) -> Result<(), Fault> {
        loop {
            let due = self
                .later
                .iter()
                .enumerate()
                .min_by_key(|(_, (at, _))| *at)
                .map(|(which, (at, _))| (which, *at));
            let next = due.map_or(at_ms, |(_, at)| at.min(at_ms));
            let wait = next.saturating_sub(self.now_ms());
            thread::sleep(Duration::from_millis(wait));
            match due {
                Some((which, at)) if at <= at_ms => {
                    let (_, later) = self.later.swap_remove(which);
                    self.undo(later)?;
                }
                _ => return Ok(()),
            }
        }
    }

    fn strike(&mut self, deed: &Deed) -> Result<(), Fault> {
        let now = self.now_ms();
        match deed {
            Deed::Change {
                member,
                number,
                drains,
            } => return self.change(*member, *number, *drains),
            Deed::Restart {
                member,
                politely,
                down_ms,
                folder,
            } => {
                // One folder at a time is tampered with: of most of them nobody could know what they had acknowledged.
                let tampered = |(_, later): &(u64, Later)| matches!(later, Later::Start(_, tamper) if *tamper != Tamper::Nothing);
                let folder = if *folder != Tamper::Nothing && !self.may_tamper(*member, tampered) {
                    Tamper::Nothing
                } else {
                    *folder
                };
                if self.group.daemon(*member).is_none() {
                    return Ok(());
                }
                self.note(format!(
                    "{} is ended, politely {politely}, folder {folder:?}, for {down_ms} ms",
                    name(*member)
                ));
                if *politely {
                    if let Some(daemon) = self.group.daemon(*member) {
                        daemon.signal("TERM");
                    }
                    // A fleet's daemon ends within 3.4 s; what is still there then is killed.
                    thread::sleep(Duration::from_millis((*down_ms).min(500)));
                }
                self.group.kill(*member);
                self.stopped.remove(member);
                self.later
                    .push((now + down_ms, Later::Start(*member, folder)));
            }
            Deed::Stop { member, ms } => {
                if let Some(daemon) = self
                    .group
                    .daemon(*member)
                    .filter(|_| self.stopped.insert(*member))
                {
                    daemon.signal("STOP");
                    self.note(format!("{} is stopped for {ms} ms", name(*member)));
                    self.later.push((now + ms, Later::Continue(*member)));
                }
            }
            Deed::Links {
                from,
                to,
                both,
                does,
                ms,
            } => {
                let mut pairs: Vec<(usize, usize)> = from
                    .iter()
                    .flat_map(|from| to.iter().map(move |to| (*from, *to)))
                    .collect();
                if *both {
                    pairs.extend(pairs.clone().into_iter().map(|(from, to)| (to, from)));
                }
                pairs
                    .iter()
                    .for_each(|(from, to)| self.group.ways.set(*from, *to, *does));
                self.note(format!(
                    "{does:?} from {from:?} to {to:?}, both ways {both}, for {ms} ms"
                ));
                self.later.push((now + ms, Later::Heal(pairs)));
            }
            Deed::FullDisk { member, ms } => {
                // A folder in the way of the file that would be written.
                let beside = self.group.votes(*member).with_file_name("votes.new");
                let _ = fs::remove_file(&beside);
                if fs::create_dir(&beside).is_ok() {
                    self.note(format!(
                        "the disk of {} takes no votes for {ms} ms",
                        name(*member)
                    ));
                    self.later.push((now + ms, Later::Empty(*member)));
                }
            }
            Deed::KillAll { down_ms, order } => {
                self.note(format!(
                    "all are killed for {down_ms} ms, and start as {order:?}"
                ));
                for (place, member) in order.iter().enumerate() {
                    if self.group.daemon(*member).is_some() {
                        self.group.kill(*member);
                        self.later.push((
                            now + down_ms + 20 * place as u64,
                            Later::Start(*member, Tamper::Nothing),
                        ));
                    }
                }
                self.stopped.clear();
            }
        }
        Ok(())
    }

    /// Whether a voter's folder may be tampered with now: all other voters run, vote, and hear each other.
    fn may_tamper(&self, member: usize, tampered: impl Fn(&(u64, Later)) -> bool) -> bool {
        let voters = 0..self.schedule.processes.voters;
        let votes = |voter: usize| self.group.status(voter)["votes"]["takes_part"] == true;
        let healthy = self
            .later
            .iter()
            .all(|(_, later)| !matches!(later, Later::Heal(_) | Later::Empty(_)));
        self.schedule.processes.voters > 2
            && healthy
            && !self.later.iter().any(tampered)
            && self.stopped.is_empty()
            && voters
                .into_iter()
                .all(|voter| votes(voter) || voter == member)
            && votes(member)
    }

    fn undo(&mut self, later: Later) -> Result<(), Fault> {
        match later {
            Later::Start(member, tamper) => {
                self.tamper(member, tamper)?;
                self.group.start(member)?;
                self.note(format!("{} starts", name(member)));
            }
            Later::Continue(member) => {
                if let Some(daemon) = self
                    .group
                    .daemon(member)
                    .filter(|_| self.stopped.remove(&member))
                {
                    daemon.signal("CONT");
                    self.note(format!("{} goes on", name(member)));
                }
            }
            Later::Heal(pairs) => {
                pairs
                    .iter()
                    .for_each(|(from, to)| self.group.ways.set(*from, *to, Does::Passes));
                self.note(format!("{} ways pass again", pairs.len()));
            }
            Later::Empty(member) => {
                let _ = fs::remove_dir(self.group.votes(member).with_file_name("votes.new"));
                self.note(format!("the disk of {} works again", name(member)));
            }
        }
        Ok(())
    }

    fn tamper(&mut self, member: usize, tamper: Tamper) -> Result<(), Fault> {
        let votes = self.group.votes(member);
        match tamper {
            Tamper::Nothing => {}
            Tamper::Lost => {
                // Its journal stays: what a courier owes is another matter than what a voter acknowledged.
                let home = PathBuf::from(self.group.home(member));
                let _ = fs::remove_dir_all(home.join("group"));
                let _ = fs::remove_file(home.join("applied.json"));
                let founding = self.founding.clone();
                self.group.found_one(member, &founding)?;
            }
            Tamper::Old => {
                if let Some(old) = self.old.get(&member) {
                    fs::write(&votes, old).map_err(Fault::at(votes.display().to_string()))?;
                }
            }
            Tamper::Torn => {
                let bytes = fs::read(&votes).map_err(Fault::at(votes.display().to_string()))?;
                let torn = &bytes[..bytes.len().saturating_sub(5)];
                fs::write(&votes, torn).map_err(Fault::at(votes.display().to_string()))?;
            }
        }
        Ok(())
    }

    /// Applies a change beside what goes on.
    fn change(&mut self, member: usize, number: u64, drains: Option<usize>) -> Result<(), Fault> {
        let wanted = format!("wanted_ms = {}", 2500 + number);
        let mut file = self.group.file(&[("wanted_ms = 2500", &wanted)]);
        if let Some(endpoint) = drains {
            for letter in ['a', 'b'] {
                let at = self.group.setting.partner[endpoint];
                let entry = format!("{{ name = \"{letter}-{endpoint}\", address = \"{at}\"");
                file = file.replace(&entry, &format!("{entry}, draining = true"));
            }
        }
        let plan = self.group.plan(member, &file)?;
        let (program, home) = (self.group.setting.program.clone(), self.group.home(member));
        let (applied, key) = (self.applied.clone(), format!("c{number}"));
        self.note(format!(
            "change {number} is applied at {}, draining {drains:?}",
            name(member)
        ));
        self.proposed += 1;
        self.applying.push(thread::spawn(move || {
            let words = ["apply", &plan, &home];
            let done = Command::new(program)
                .args(words)
                .env("USER", &key)
                .stdin(Stdio::null())
                .output();
            let Ok(done) = done else { return };
            let said = String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned();
            let outcome = match said.split("in force everywhere as revision ").nth(1) {
                Some(revision) => revision.trim().parse().ok(),
                None if said.contains("withdrawn everywhere") => None,
                // Stale, or another was open, or the daemon died: it says nothing of an outcome.
                None => return,
            };
            applied
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(key, outcome);
        }));
        Ok(())
    }

    /// Lets all heal, and waits until all act under one policy.
    fn heal(&mut self) -> Result<(), Fault> {
        for (_, later) in std::mem::take(&mut self.later) {
            self.undo(later)?;
        }
        self.group.ways.heal();
        self.note("all is healed".to_owned());
        let members = self.schedule.processes.members;
        // Those that apply end once their change has an outcome, which now is soon.
        for one in self.applying.drain(..) {
            let _ = one.join();
        }
        wait_for("all to act under one policy", || {
            let holds = self.group.status(0)["group"]["revision"].as_u64();
            holds.is_some_and(|holds| {
                (0..members).all(|member| self.group.acts_under(member, holds))
            })
        })
    }

    fn gather(&mut self) -> Result<Seen, Fault> {
        let members = self.schedule.processes.members;
        let mut seen = Seen::default();
        let holds =
            (0..members).find_map(|member| self.group.status(member)["group"]["revision"].as_u64());
        for member in 0..members {
            let text = fs::read_to_string(self.group.history_file(member)).unwrap_or_default();
            seen.did.extend(Did::read_all(&text));
            seen.in_step
                .push(holds.is_some_and(|holds| self.group.acts_under(member, holds)));
            let mut told = Outcomes::new();
            for change in self.group.outcomes(member).as_array().into_iter().flatten() {
                let by = change["by"]
                    .as_str()
                    .unwrap_or_default()
                    .split(' ')
                    .next()
                    .unwrap_or_default();
                if by.starts_with('c') {
                    told.insert(by.to_owned(), change["revision"].as_u64());
                }
            }
            seen.told.push(told);
        }
        seen.applied = self
            .applied
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for step in &self.schedule.steps {
            let Deed::Change {
                number,
                drains: Some(endpoint),
                ..
            } = step.deed
            else {
                continue;
            };
            let key = format!("c{number}");
            if let Some(revision) = seen
                .told
                .iter()
                .find_map(|told| told.get(&key).copied().flatten())
            {
                seen.drained.insert(revision, HashSet::from([endpoint]));
            }
        }
        Ok(seen)
    }
}

/// Takes steps away from a schedule that breaks a promise for as long as it still breaks it: halves first, then less.
pub fn shrink(
    schedule: &Schedule,
    promise: Promise,
    runs: u32,
    mut play: impl FnMut(&Schedule) -> Vec<Promise>,
) -> Schedule {
    let (mut least, mut left) = (schedule.clone(), runs);
    let mut many = least.steps.len().div_ceil(2);
    while many > 0 {
        let mut from = 0;
        while from < least.steps.len() && left > 0 {
            let less = least.without(from, many);
            left -= 1;
            match play(&less).contains(&promise) {
                true => least = less,
                false => from += many,
            }
        }
        if many == 1 || left == 0 {
            break;
        }
        many = many.div_ceil(2);
    }
    least
}

#[cfg(test)]
mod tests {
    use super::super::schedule::{Processes, Step};
    use super::*;

    #[test]
    fn a_schedule_shrinks_to_what_breaks_the_promise() {
        let processes = Processes {
            members: 3,
            voters: 3,
            on_cut: "stop".to_owned(),
            term_ms: 500,
            seconds: 5.0,
            clients: 1,
            rest_ms: 1,
            call_ms: 1,
            change_every_ms: 100,
            fault_every_ms: 100,
            longest_ms: 100,
            faults: Vec::new(),
        };
        let step = |at_ms: u64| Step {
            at_ms,
            deed: Deed::Stop {
                member: 0,
                ms: at_ms,
            },
        };
        let schedule = Schedule {
            seed: 1,
            processes,
            steps: (0..50).map(step).collect(),
        };
        // Two steps together do it.
        let breaks = |schedule: &Schedule| {
            let has = |at: u64| schedule.steps.iter().any(|step| step.at_ms == at);
            if has(7) && has(31) {
                vec![Promise::NoMixture]
            } else {
                Vec::new()
            }
        };
        let least = shrink(&schedule, Promise::NoMixture, 500, breaks);
        assert_eq!(least.steps, [step(7), step(31)]);
    }
}
