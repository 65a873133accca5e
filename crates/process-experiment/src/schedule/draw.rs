//! Draws schedules. The schedule of a seed depends on the order of the random draws, which must not change.

use super::{Action, FaultKind, FolderFault, ProcessSettings, Schedule, Step};
use marblefall_process_harness::link_proxy::LinkState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Maximum duration of a cut of a flapping link, in milliseconds.
const MAX_FLAP_MS: u64 = 400;
/// Maximum number of bytes that a throttled link forwards at once.
const THROTTLED_BYTES: usize = 64;
/// Maximum time for which all members are down, in milliseconds.
const MAX_ALL_DOWN_MS: u64 = 500;

impl Schedule {
    /// Draws the schedule of a run with these settings from a seed.
    pub fn draw(processes: &ProcessSettings, seed: u64) -> Schedule {
        let mut rng = Pcg64::seed_from_u64(seed);
        let end_ms = (processes.seconds * 1000.0) as u64;
        let mut steps = draw_faults(processes, end_ms, &mut rng);
        steps.extend(draw_changes(processes, end_ms, &mut rng));
        steps.retain(|step| step.at_ms < end_ms);
        steps.sort_by_key(|step| step.at_ms);
        Schedule {
            seed,
            processes: processes.clone(),
            steps,
        }
    }
}

fn draw_faults(processes: &ProcessSettings, end_ms: u64, rng: &mut Pcg64) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < end_ms && !processes.faults.is_empty() {
        at_ms += draw_interval_ms(processes.fault_interval_ms, rng);
        let kind = processes.faults[rng.random_range(0..processes.faults.len())];
        let actions = FaultDraw::new(processes, rng).actions(kind);
        steps.extend(actions.into_iter().map(|action| Step { at_ms, action }));
    }
    steps
}

fn draw_changes(processes: &ProcessSettings, end_ms: u64, rng: &mut Pcg64) -> Vec<Step> {
    let mut steps = Vec::new();
    let (mut at_ms, mut number) = (0, 0);
    while at_ms < end_ms {
        at_ms += draw_interval_ms(processes.change_interval_ms, rng);
        number += 1;
        let drained_endpoint = [None, Some(0), Some(1)][rng.random_range(0..3usize)];
        let member = rng.random_range(0..processes.members);
        let action = Action::Change {
            member,
            number,
            drained_endpoint,
        };
        steps.push(Step { at_ms, action });
    }
    steps
}

/// Draws an interval from half to one and a half times the mean.
fn draw_interval_ms(mean_ms: u64, rng: &mut Pcg64) -> u64 {
    rng.random_range(mean_ms / 2..=mean_ms * 3 / 2)
}

/// The values drawn for every fault. All are drawn whatever the kind of the fault needs.
struct FaultDraw<'a> {
    rng: &'a mut Pcg64,
    /// The numbers of all members.
    members: Vec<usize>,
    /// The affected member.
    member: usize,
    /// The affected voter.
    voter: usize,
    /// Duration of the fault in milliseconds.
    ms: u64,
    /// The state of cut links: blackhole or refuse.
    cut: LinkState,
}

impl<'a> FaultDraw<'a> {
    fn new(processes: &ProcessSettings, rng: &'a mut Pcg64) -> FaultDraw<'a> {
        let member = rng.random_range(0..processes.members);
        let voter = rng.random_range(0..processes.voters);
        let ms = rng.random_range(10..=processes.max_fault_ms);
        let cut = [LinkState::Blackhole, LinkState::Refuse][rng.random_range(0..2usize)];
        FaultDraw {
            rng,
            members: (0..processes.members).collect(),
            member,
            voter,
            ms,
            cut,
        }
    }

    fn actions(mut self, kind: FaultKind) -> Vec<Action> {
        match kind {
            FaultKind::Kill => vec![self.restart(self.member, false, FolderFault::None)],
            FaultKind::Term => vec![self.restart(self.member, true, FolderFault::None)],
            FaultKind::Stop => vec![Action::Suspend {
                member: self.member,
                ms: self.ms,
            }],
            FaultKind::Cut => vec![self.links_of_member(self.cut, self.ms)],
            FaultKind::OneWay => vec![self.cut_one_way()],
            FaultKind::Split => self.partition(),
            FaultKind::Flap => vec![self.links_of_member(self.cut, self.ms.min(MAX_FLAP_MS))],
            FaultKind::Slow => {
                let state = self.draw_slow_state();
                vec![self.links_of_member(state, self.ms)]
            }
            FaultKind::CutFrames => vec![self.links_of_member(LinkState::CutFrames, self.ms)],
            FaultKind::LoseFolder => vec![self.restart(self.voter, false, FolderFault::Lost)],
            FaultKind::OldFolder => vec![self.restart(self.voter, false, FolderFault::Old)],
            FaultKind::TornFolder => vec![self.restart(self.voter, false, FolderFault::Torn)],
            FaultKind::FullDisk => vec![Action::FullDisk {
                member: self.voter,
                ms: self.ms,
            }],
            FaultKind::KillAll => vec![self.kill_all()],
        }
    }

    fn restart(&self, member: usize, gracefully: bool, folder: FolderFault) -> Action {
        Action::Restart {
            member,
            gracefully,
            down_ms: self.ms,
            folder,
        }
    }

    fn other_members(&self) -> Vec<usize> {
        let members = self.members.iter().copied();
        members.filter(|other| *other != self.member).collect()
    }

    fn links_of_member(&self, state: LinkState, ms: u64) -> Action {
        Action::Links {
            from: vec![self.member],
            to: self.other_members(),
            both: true,
            state,
            ms,
        }
    }

    fn cut_one_way(&mut self) -> Action {
        let (mut from, mut to) = (vec![self.member], self.other_members());
        if !self.rng.random_bool(0.5) {
            std::mem::swap(&mut from, &mut to);
        }
        Action::Links {
            from,
            to,
            both: false,
            state: self.cut,
            ms: self.ms,
        }
    }

    /// Assigns the members to two or three parts at random, and cuts all links between different parts.
    fn partition(&mut self) -> Vec<Action> {
        let parts = self.rng.random_range(2..=3usize);
        let part_of: Vec<usize> = (0..self.members.len())
            .map(|_| self.rng.random_range(0..parts))
            .collect();
        let members_of = |part: usize| {
            let members = self.members.iter().copied();
            members
                .filter(|member| part_of[*member] == part)
                .collect::<Vec<_>>()
        };
        let pairs = (0..parts).flat_map(|one| (one + 1..parts).map(move |other| (one, other)));
        pairs
            .map(|(one, other)| Action::Links {
                from: members_of(one),
                to: members_of(other),
                both: true,
                state: self.cut,
                ms: self.ms,
            })
            .collect()
    }

    fn draw_slow_state(&mut self) -> LinkState {
        if self.rng.random_bool(0.5) {
            LinkState::Delay(self.rng.random_range(5..60))
        } else {
            LinkState::Throttle(THROTTLED_BYTES)
        }
    }

    fn kill_all(&mut self) -> Action {
        let mut order = self.members.clone();
        for index in (1..order.len()).rev() {
            order.swap(index, self.rng.random_range(0..=index));
        }
        Action::KillAll {
            down_ms: self.ms.min(MAX_ALL_DOWN_MS),
            order,
        }
    }
}
