//! What processes did, on one clock, and whether they kept to what a group promises. Judged from what members, the partner
//! and clients wrote down; nothing here asks a daemon.

use super::clients::Answer;
use super::partner::Call;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Nobody does anything under a revision once anybody did under a later one.
    NoMixture,
    /// Of each change all members tell the same outcome, and it is the one that the operator was told.
    OneOutcome,
    /// In the end all act under the revision in force.
    NobodyLeftBehind,
    /// Each event that was taken on has an end, and the end does not change.
    OneEnd,
    /// Each event that was answered as delivered took effect.
    Delivered,
    /// No effect is doubled beyond what the class permits.
    NotDoubled,
    /// One leg of an event out at a time, at one courier's hands.
    OneLeg,
    /// Nothing new to an endpoint that a policy in force drains, 250 ms later.
    Drains,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Promise::NoMixture => "no mixture of policies",
            Promise::OneOutcome => "one outcome for each change",
            Promise::NobodyLeftBehind => "nobody left behind",
            Promise::OneEnd => "one end for each event",
            Promise::Delivered => "what is said to be delivered is",
            Promise::NotDoubled => "no effect doubled",
            Promise::OneLeg => "one leg out at a time",
            Promise::Drains => "drains kept",
        })
    }
}

/// A promise that was broken, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// What one line of a member's history says.
#[derive(Clone, Debug, PartialEq)]
pub struct Did {
    /// The machine's clock.
    pub micros: i64,
    /// The instance; `-` is the gate of all.
    pub instance: String,
    /// `takes`, `leg`, or how the gate stands.
    pub what: String,
    /// Under which revision.
    pub revision: u64,
}

impl Did {
    /// Reads a line; `None` where it is half written or something else.
    pub fn read(line: &str) -> Option<Did> {
        let mut parts = line.split(' ');
        let mut next = || parts.next();
        let (micros, instance, what, revision) = (next()?, next()?, next()?, next()?);
        let (micros, revision) = (micros.parse().ok()?, revision.parse().ok()?);
        Some(Did {
            micros,
            instance: instance.to_owned(),
            what: what.to_owned(),
            revision,
        })
    }

    /// Reads a whole history.
    pub fn read_all(text: &str) -> Vec<Did> {
        text.lines().filter_map(Did::read).collect()
    }
}

/// What a change came to, as a member or the operator was told: by the operator's word for it, the revision or none.
pub type Outcomes = BTreeMap<String, Option<u64>>;

/// All that was seen of a run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// What all members did.
    pub did: Vec<Did>,
    /// The partner's calls.
    pub calls: Vec<Call>,
    /// Answers to clients, those of one event in their order.
    pub answers: Vec<Answer>,
    /// What each member tells of changes.
    pub told: Vec<Outcomes>,
    /// What operators were told when they applied.
    pub applied: Outcomes,
    /// Which members act under the last revision in the end.
    pub in_step: Vec<bool>,
    /// Endpoints that a revision drains.
    pub drained: BTreeMap<u64, HashSet<usize>>,
}

/// A leg that was on its way when the policy changed comes no later than this, in microseconds.
const GRACE: i64 = 250_000;

impl Seen {
    /// Judges it; the first breaches of each promise.
    pub fn judge(&self) -> Vec<Breach> {
        let mut all = Vec::new();
        let mut say = |promise, what: String| {
            if all
                .iter()
                .filter(|breach: &&Breach| breach.promise == promise)
                .count()
                < 3
            {
                all.push(Breach { promise, what });
            }
        };
        self.mixture(&mut say);
        self.outcomes(&mut say);
        self.ends(&mut say);
        self.effects(&mut say);
        self.drains(&mut say);
        for (member, in_step) in self.in_step.iter().enumerate() {
            if !in_step {
                say(
                    Promise::NobodyLeftBehind,
                    format!("member {member} does not act under the revision in force"),
                );
            }
        }
        all
    }

    fn in_order(&self) -> Vec<&Did> {
        let mut did: Vec<&Did> = self.did.iter().filter(|did| did.instance != "-").collect();
        did.sort_by_key(|did| did.micros);
        did
    }

    fn mixture(&self, say: &mut impl FnMut(Promise, String)) {
        let mut latest: Option<&Did> = None;
        for did in self.in_order() {
            match latest {
                Some(after) if did.revision < after.revision => {
                    say(Promise::NoMixture, format!("{did:?} after {after:?}"));
                }
                _ => latest = Some(did),
            }
        }
    }

    fn outcomes(&self, say: &mut impl FnMut(Promise, String)) {
        let mut all: BTreeMap<&String, Option<u64>> = BTreeMap::new();
        for (key, outcome) in self.told.iter().chain([&self.applied]).flatten() {
            let first = all.entry(key).or_insert(*outcome);
            if *first != *outcome {
                say(
                    Promise::OneOutcome,
                    format!("change {key}: {first:?} and {outcome:?}"),
                );
            }
        }
        let mut revisions: BTreeMap<u64, &String> = BTreeMap::new();
        for (key, revision) in all
            .into_iter()
            .filter_map(|(key, outcome)| Some((key, outcome?)))
        {
            if let Some(other) = revisions.insert(revision, key) {
                say(
                    Promise::OneOutcome,
                    format!("revision {revision} is change {other} and change {key}"),
                );
            }
        }
    }

    fn ends(&self, say: &mut impl FnMut(Promise, String)) {
        let mut last: HashMap<&str, u16> = HashMap::new();
        for answer in &self.answers {
            let had = last.insert(&answer.id, answer.status);
            if had == Some(204) && answer.status != 204 {
                say(
                    Promise::OneEnd,
                    format!(
                        "{} was delivered and then answered {}",
                        answer.id, answer.status
                    ),
                );
            }
        }
        for (id, status) in last
            .into_iter()
            .filter(|(_, status)| matches!(status, 0 | 429 | 503))
        {
            say(
                Promise::OneEnd,
                format!("{id} has no end, last answered {status}"),
            );
        }
    }

    fn effects(&self, say: &mut impl FnMut(Promise, String)) {
        let mut effects: HashMap<&str, u32> = HashMap::new();
        let mut calls: Vec<&Call> = self.calls.iter().collect();
        calls.sort_by_key(|call| call.begun);
        let mut out: HashMap<&str, &Call> = HashMap::new();
        for call in calls {
            *effects.entry(&call.key).or_default() += u32::from(call.effect);
            if let Some(before) = out
                .insert(&call.key, call)
                .filter(|before| before.ended > call.begun)
            {
                say(Promise::OneLeg, format!("{call:?} while {before:?}"));
            }
        }
        for (key, count) in effects.iter().filter(|(_, count)| **count > 1) {
            say(
                Promise::NotDoubled,
                format!("{key} took effect {count} times"),
            );
        }
        for answer in self.answers.iter().filter(|answer| answer.status == 204) {
            if !effects.contains_key(answer.id.as_str()) {
                say(
                    Promise::Delivered,
                    format!(
                        "{} was answered as delivered by member {}",
                        answer.id, answer.member
                    ),
                );
            }
        }
    }

    fn drains(&self, say: &mut impl FnMut(Promise, String)) {
        // From when a revision is surely in force: the first act under it.
        let mut since: BTreeMap<u64, i64> = BTreeMap::new();
        for did in self.in_order() {
            since.entry(did.revision).or_insert(did.micros);
        }
        for (revision, endpoints) in &self.drained {
            let Some(from) = since.get(revision).map(|from| from + GRACE) else {
                continue;
            };
            let until = since
                .range(revision + 1..)
                .next()
                .map_or(i64::MAX, |(_, until)| *until);
            for call in self
                .calls
                .iter()
                .filter(|call| endpoints.contains(&call.endpoint))
            {
                if (from..until).contains(&call.begun) {
                    say(
                        Promise::Drains,
                        format!("{call:?} under revision {revision}, in force since {from}"),
                    );
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn did(micros: i64, what: &str, revision: u64) -> Did {
        Did {
            micros,
            instance: "m00-1".to_owned(),
            what: what.to_owned(),
            revision,
        }
    }

    fn call(key: &str, endpoint: usize, begun: i64, effect: bool) -> Call {
        Call {
            key: key.to_owned(),
            endpoint,
            begun,
            ended: begun + 100,
            effect,
        }
    }

    fn answer(id: &str, status: u16) -> Answer {
        Answer {
            id: id.to_owned(),
            member: 0,
            status,
        }
    }

    fn sound() -> Seen {
        let told: Outcomes = [("one".to_owned(), Some(2)), ("two".to_owned(), None)].into();
        Seen {
            did: vec![
                did(10, "takes", 1),
                did(20, "leg", 1),
                did(900_000, "takes", 2),
                did(900_010, "leg", 2),
            ],
            calls: vec![
                call("x", 0, 25, true),
                call("y", 1, 1_000_000, true),
                call("y", 1, 1_200_000, false),
            ],
            answers: vec![
                answer("x", 204),
                answer("y", 0),
                answer("y", 429),
                answer("y", 204),
            ],
            told: vec![told.clone(), told.clone()],
            applied: told,
            in_step: vec![true, true],
            drained: [(2, HashSet::from([0]))].into(),
        }
    }

    /// Each checker finds the breach that it is for, and nothing in what is sound.
    #[test]
    fn every_promise_that_is_broken_is_found() {
        assert_eq!(sound().judge(), []);
        type Spoils = fn(&mut Seen);
        let spoilt: [(Promise, Spoils); 10] = [
            (Promise::NoMixture, |seen| {
                seen.did.push(did(900_005, "leg", 1))
            }),
            (Promise::OneOutcome, |seen| {
                seen.told[1].extend([("two".to_owned(), Some(3))])
            }),
            (Promise::OneOutcome, |seen| {
                seen.applied.extend([("three".to_owned(), Some(2))])
            }),
            (Promise::NobodyLeftBehind, |seen| seen.in_step[1] = false),
            (Promise::OneEnd, |seen| seen.answers.push(answer("z", 429))),
            (Promise::OneEnd, |seen| seen.answers.push(answer("x", 502))),
            (Promise::Delivered, |seen| {
                seen.answers.push(answer("never", 204))
            }),
            (Promise::NotDoubled, |seen| {
                seen.calls.push(call("x", 1, 8_000_000, true))
            }),
            (Promise::OneLeg, |seen| {
                seen.calls.push(call("x", 1, 60, false))
            }),
            (Promise::Drains, |seen| {
                seen.calls.push(call("late", 0, 1_200_000, true))
            }),
        ];
        for (promise, spoil) in spoilt {
            let mut seen = sound();
            spoil(&mut seen);
            let found: Vec<Promise> = seen
                .judge()
                .into_iter()
                .map(|breach| breach.promise)
                .collect();
            assert_eq!(found, [promise], "{promise}");
        }
    }

    #[test]
    fn half_written_lines_are_no_acts() {
        assert_eq!(
            Did::read_all("12 a takes 3\n13 a le"),
            [Did {
                instance: "a".to_owned(),
                ..did(12, "takes", 3)
            }]
        );
    }
}
