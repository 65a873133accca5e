//! What happens in a run, drawn from one seed and written down, so that it can be played again and made smaller.

use super::relay::Does;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A fault that a scenario may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL, and a start some time later.
    Kill,
    /// SIGTERM, and a start once it has ended.
    Term,
    /// SIGSTOP, and SIGCONT some time later.
    Stop,
    /// One member is cut off from all.
    Cut,
    /// What one member says to the others does not arrive, or the other way round.
    OneWay,
    /// The members fall into two or three parts.
    Split,
    /// One member's links come and go.
    Flap,
    /// One member's links are slow, or carry little.
    Slow,
    /// One member's links are cut in the middle of what passes.
    CutFrames,
    /// A voter's folder is empty when it comes back.
    LoseFolder,
    /// A voter's folder is an old copy when it comes back.
    OldFolder,
    /// The last bytes of what a voter keeps are gone when it comes back.
    TornFolder,
    /// A voter's disk takes nothing for a while.
    FullDisk,
    /// All are killed at once, and start in any order.
    KillAll,
}

/// A scenario for processes, as its file has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Form {
    /// What it is about.
    pub title: String,
    /// The daemons, and what is done to them.
    pub processes: Processes,
}

/// The daemons, and what is done to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processes {
    /// How many, 3 to 40.
    pub members: usize,
    /// How many of them vote.
    pub voters: usize,
    /// What a cut costs a member: `stop` or `serve`.
    pub on_cut: String,
    /// The term in milliseconds.
    pub term_ms: u64,
    /// How long things happen.
    pub seconds: f64,
    /// Clients that hand events in without a pause ...
    pub clients: usize,
    /// ... but this one between two of them, in milliseconds.
    pub rest_ms: u64,
    /// How long the partner takes for a call, in milliseconds.
    pub call_ms: u64,
    /// A change of policy is applied as often as this.
    pub change_every_ms: u64,
    /// A fault strikes as often as this.
    pub fault_every_ms: u64,
    /// It lasts this long at most.
    pub longest_ms: u64,
    /// What may strike.
    #[serde(default)]
    pub faults: Vec<Kind>,
}

impl Form {
    /// Reads a scenario's file.
    ///
    /// # Errors
    /// What is wrong with it, with the file and the line.
    pub fn read(path: &Path) -> Result<Form, String> {
        let at = |why: String| format!("{}: {why}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| at(error.to_string()))?;
        let form: Form =
            toml::from_str(&text).map_err(|error| at(error.to_string().trim_end().to_owned()))?;
        form.processes
            .fault()
            .map_or(Ok(form), |why| Err(at(format!("processes: {why}"))))
    }
}

impl Processes {
    fn fault(&self) -> Option<&'static str> {
        if !(2..=40).contains(&self.members)
            || self.voters == 0
            || self.voters > self.members.min(9)
        {
            return Some("members are 2 to 40, and 1 to 9 of them vote");
        }
        if !["stop", "serve"].contains(&self.on_cut.as_str()) {
            return Some("on_cut is \"stop\" or \"serve\"");
        }
        if !(1.0..=7200.0).contains(&self.seconds) || self.clients > 64 {
            return Some("seconds are 1 to 7200, and clients 64 at most");
        }
        if self.change_every_ms < 50 || self.fault_every_ms < 50 || self.longest_ms < 10 {
            return Some("change_every_ms and fault_every_ms are 50 at least, longest_ms 10");
        }
        (self.term_ms < 200 || self.term_ms > 3000).then_some("term_ms is 200 to 3000")
    }
}

/// Something that is done in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Deed {
    /// A member is killed, or told to end, and started again; its folder may be tampered with between.
    Restart {
        /// Which.
        member: usize,
        /// SIGTERM instead of SIGKILL.
        politely: bool,
        /// How long it is down.
        down_ms: u64,
        /// What is done to its folder.
        folder: Tamper,
    },
    /// A member is stopped and goes on.
    Stop {
        /// Which.
        member: usize,
        /// For how long.
        ms: u64,
    },
    /// What some say to others is treated so.
    Links {
        /// Who says it.
        from: Vec<usize>,
        /// To whom.
        to: Vec<usize>,
        /// And the other way round.
        both: bool,
        /// What is done.
        does: Does,
        /// For how long.
        ms: u64,
    },
    /// A voter's disk takes nothing.
    FullDisk {
        /// Whose.
        member: usize,
        /// For how long.
        ms: u64,
    },
    /// All are killed, and started in this order.
    KillAll {
        /// How long they are down.
        down_ms: u64,
        /// The order.
        order: Vec<usize>,
    },
    /// A change is applied at a member.
    Change {
        /// Which.
        member: usize,
        /// Its number in the run.
        number: u64,
        /// The endpoint that it drains.
        drains: Option<usize>,
    },
}

/// What is done to a folder while its daemon is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tamper {
    /// Nothing.
    Nothing,
    /// All of the group's part is removed, and the home founded anew.
    Lost,
    /// What the voter keeps is put back to how it was early in the run.
    Old,
    /// Its last bytes are cut off.
    Torn,
}

/// A deed and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds after the beginning.
    pub at_ms: u64,
    /// What is done.
    #[serde(flatten)]
    pub deed: Deed,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// From what it was drawn.
    pub seed: u64,
    /// The daemons and clients.
    pub processes: Processes,
    /// What happens, in its order.
    #[serde(default)]
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Draws what happens in a scenario.
    pub fn draw(processes: &Processes, seed: u64) -> Schedule {
        let mut rng = Pcg64::seed_from_u64(seed);
        let until = (processes.seconds * 1000.0) as u64;
        let mut steps = Vec::new();
        let mut at_ms = 0;
        while at_ms < until && !processes.faults.is_empty() {
            at_ms +=
                rng.random_range(processes.fault_every_ms / 2..=processes.fault_every_ms * 3 / 2);
            let kind = processes.faults[rng.random_range(0..processes.faults.len())];
            steps.extend(
                strike(kind, processes, &mut rng)
                    .into_iter()
                    .map(|deed| Step { at_ms, deed }),
            );
        }
        let (mut at_ms, mut number) = (0, 0);
        while at_ms < until {
            at_ms +=
                rng.random_range(processes.change_every_ms / 2..=processes.change_every_ms * 3 / 2);
            number += 1;
            let drains = [None, Some(0), Some(1)][rng.random_range(0..3usize)];
            let member = rng.random_range(0..processes.members);
            steps.push(Step {
                at_ms,
                deed: Deed::Change {
                    member,
                    number,
                    drains,
                },
            });
        }
        steps.retain(|step| step.at_ms < until);
        steps.sort_by_key(|step| step.at_ms);
        Schedule {
            seed,
            processes: processes.clone(),
            steps,
        }
    }

    /// The same without some of its steps.
    pub fn without(&self, from: usize, many: usize) -> Schedule {
        let mut less = self.clone();
        less.steps.drain(from..(from + many).min(self.steps.len()));
        less
    }
}

fn strike(kind: Kind, processes: &Processes, rng: &mut Pcg64) -> Vec<Deed> {
    let members: Vec<usize> = (0..processes.members).collect();
    let member = rng.random_range(0..processes.members);
    let voter = rng.random_range(0..processes.voters);
    let ms = rng.random_range(10..=processes.longest_ms);
    let others = |of: usize| {
        members
            .iter()
            .copied()
            .filter(|other| *other != of)
            .collect::<Vec<_>>()
    };
    let cut = [Does::Swallows, Does::Refuses][rng.random_range(0..2usize)];
    let links = |from: Vec<usize>, to: Vec<usize>, both: bool, does: Does, ms: u64| Deed::Links {
        from,
        to,
        both,
        does,
        ms,
    };
    let restart = |member: usize, politely: bool, folder: Tamper| {
        vec![Deed::Restart {
            member,
            politely,
            down_ms: ms,
            folder,
        }]
    };
    match kind {
        Kind::Kill => restart(member, false, Tamper::Nothing),
        Kind::Term => restart(member, true, Tamper::Nothing),
        Kind::Stop => vec![Deed::Stop { member, ms }],
        Kind::Cut => vec![links(vec![member], others(member), true, cut, ms)],
        Kind::OneWay if rng.random_bool(0.5) => {
            vec![links(vec![member], others(member), false, cut, ms)]
        }
        Kind::OneWay => vec![links(others(member), vec![member], false, cut, ms)],
        Kind::Split => {
            let parts = rng.random_range(2..=3usize);
            let part: Vec<usize> = members.iter().map(|_| rng.random_range(0..parts)).collect();
            let of = |which: usize| {
                members
                    .iter()
                    .copied()
                    .filter(|at| part[*at] == which)
                    .collect::<Vec<_>>()
            };
            let pairs = (0..parts).flat_map(|a| (a + 1..parts).map(move |b| (a, b)));
            pairs
                .map(|(a, b)| links(of(a), of(b), true, cut, ms))
                .collect()
        }
        // Each second a short while: the rest of it passes.
        Kind::Flap => vec![links(vec![member], others(member), true, cut, ms.min(400))],
        Kind::Slow if rng.random_bool(0.5) => {
            vec![links(
                vec![member],
                others(member),
                true,
                Does::Delays(rng.random_range(5..60)),
                ms,
            )]
        }
        Kind::Slow => vec![links(
            vec![member],
            others(member),
            true,
            Does::Throttles(64),
            ms,
        )],
        Kind::CutFrames => vec![links(
            vec![member],
            others(member),
            true,
            Does::CutsFrames,
            ms,
        )],
        Kind::LoseFolder => restart(voter, false, Tamper::Lost),
        Kind::OldFolder => restart(voter, false, Tamper::Old),
        Kind::TornFolder => restart(voter, false, Tamper::Torn),
        Kind::FullDisk => vec![Deed::FullDisk { member: voter, ms }],
        Kind::KillAll => {
            let mut order = members.clone();
            for at in (1..order.len()).rev() {
                order.swap(at, rng.random_range(0..=at));
            }
            vec![Deed::KillAll {
                down_ms: ms.min(500),
                order,
            }]
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn processes() -> Processes {
        toml::from_str(
            "members = 5\nvoters = 3\non_cut = \"stop\"\nterm_ms = 600\nseconds = 20\nclients = 4\nrest_ms = 5\n\
             call_ms = 5\nchange_every_ms = 500\nfault_every_ms = 400\nlongest_ms = 1500\n\
             faults = [\"kill\", \"term\", \"stop\", \"cut\", \"one-way\", \"split\", \"flap\", \"slow\", \"cut-frames\",\
             \"lose-folder\", \"old-folder\", \"torn-folder\", \"full-disk\", \"kill-all\"]",
        )
        .expect("sound")
    }

    #[test]
    fn a_schedule_is_the_same_from_the_same_seed_and_over_its_file() {
        let drawn = Schedule::draw(&processes(), 7);
        assert_eq!(drawn, Schedule::draw(&processes(), 7));
        assert_ne!(drawn.steps, Schedule::draw(&processes(), 8).steps);
        assert!(drawn.steps.len() > 60 && drawn.steps.is_sorted_by_key(|step| step.at_ms));
        let text = toml::to_string(&drawn).expect("a table");
        assert_eq!(toml::from_str::<Schedule>(&text).expect("the same"), drawn);
        assert_eq!(drawn.without(3, 5).steps.len(), drawn.steps.len() - 5);
    }

    #[test]
    fn a_file_that_makes_no_sense_is_refused_with_its_place() {
        let dir = std::env::temp_dir().join(format!("marblefall-form-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let path = dir.join("bad.toml");
        for (text, why) in [
            (
                "title = \"x\"\n[processes]\nmembers = 3\nvotres = 3\n",
                "line 4",
            ),
            (
                &*format!(
                    "title = \"x\"\n[processes]\n{}",
                    toml::to_string(&Processes {
                        voters: 0,
                        ..processes()
                    })
                    .expect("a table")
                ),
                "1 to 9 of them vote",
            ),
        ] {
            std::fs::write(&path, text).expect("written");
            let said = Form::read(&path).expect_err("refused");
            assert!(said.contains("bad.toml") && said.contains(why), "{said}");
        }
        let _ = std::fs::remove_dir_all(&dir);
    }
}
