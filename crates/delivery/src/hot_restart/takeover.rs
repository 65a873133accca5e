//! When a life that came up beside others takes over from them. Fed with what is seen of them and with time; gives the
//! next step. Nothing here waits, reads or writes.
//!
//! The order of steps: it stands beside until those who decide have handed over. That happens once they are told to
//! end; it asks for it where nobody tells them, so that what it takes on does not wait. One that does not react to
//! that is fenced off: it may have been stopped, and will find the fence before it decides anything again.

use marblefall_scheduler::{Span, Time};

/// Whoever starts a process beside another tells the other to end as soon as this one is ready. What is handed in here
/// meanwhile waits, so it is asked for after this; clients' shortest wishes are about a second.
pub const ASK_AFTER: Span = Span(800_000);
/// A life that runs looks for marks four times a second; what has not reacted after this does not run, or hardly.
pub const FENCE_AFTER: Span = Span(700_000);

/// What is seen of the lives before this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Those that still run.
    pub living: usize,
    /// Those of them that have neither handed over nor been fenced off: one of them may decide.
    pub unsettled: usize,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Ask those before to hand over.
    Ask,
    /// Keep those from deciding that have not reacted.
    Fence,
    /// Take up all messages, and decide from now on.
    TakeUp,
    /// Hear what those that still run have to tell.
    Follow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Beside { since: Time },
    Asked { since: Time },
    Fenced,
    Serving,
}

/// A life that came up beside others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover(Stage);

impl Takeover {
    /// One that came up at this time.
    pub fn new(now: Time) -> Takeover {
        Takeover(Stage::Beside { since: now })
    }

    /// Whether it decides.
    pub fn serves(&self) -> bool {
        self.0 == Stage::Serving
    }

    /// The next step after a look at the others.
    pub fn look(&mut self, now: Time, seen: Seen) -> Step {
        let step = match self.0 {
            Stage::Serving if seen.living > 0 => Step::Follow,
            Stage::Serving => Step::Wait,
            _ if seen.unsettled == 0 => Step::TakeUp,
            Stage::Beside { since } if now - since >= ASK_AFTER => Step::Ask,
            Stage::Asked { since } if now - since >= FENCE_AFTER => Step::Fence,
            Stage::Beside { .. } | Stage::Asked { .. } | Stage::Fenced => Step::Wait,
        };
        self.0 = match step {
            Step::Ask => Stage::Asked { since: now },
            Step::Fence => Stage::Fenced,
            Step::TakeUp => Stage::Serving,
            Step::Wait | Step::Follow => self.0,
        };
        step
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What becomes of a newcomer that looks every 10 ms, by what is to be seen at each millisecond.
    fn played(seen: impl Fn(i64, &[Step]) -> Seen) -> Vec<(i64, Step)> {
        let (mut newcomer, mut steps) = (Takeover::new(Time(0)), Vec::<(i64, Step)>::new());
        for ms in (0..4000).step_by(10) {
            let so_far: Vec<Step> = steps.iter().map(|(_, step)| *step).collect();
            let step = newcomer.look(Time(ms * 1000), seen(ms, &so_far));
            if steps.last().is_none_or(|(_, last)| *last != step) && step != Step::Wait {
                steps.push((ms, step));
            }
        }
        steps
    }

    const RUNS: Seen = Seen {
        living: 1,
        unsettled: 1,
    };
    const OVER: Seen = Seen {
        living: 1,
        unsettled: 0,
    };
    const GONE: Seen = Seen {
        living: 0,
        unsettled: 0,
    };

    #[test]
    fn it_takes_up_when_the_old_life_hands_over_and_follows_it_until_it_ends() {
        let steps = played(|ms, _| if ms < 130 { RUNS } else { OVER });
        assert_eq!(steps, [(130, Step::TakeUp), (140, Step::Follow)]);
    }

    #[test]
    fn it_takes_up_when_the_old_life_dies_without_a_word() {
        assert_eq!(
            played(|ms, _| if ms < 300 { RUNS } else { GONE }),
            [(300, Step::TakeUp)]
        );
    }

    #[test]
    fn it_asks_an_old_life_that_nobody_tells_to_end() {
        let steps = played(|_, steps| {
            if steps.contains(&Step::Ask) {
                OVER
            } else {
                RUNS
            }
        });
        assert_eq!(steps[..2], [(800, Step::Ask), (810, Step::TakeUp)]);
    }

    #[test]
    fn it_fences_off_one_that_does_not_react_and_only_then_decides() {
        let steps = played(|_, steps| {
            if steps.contains(&Step::Fence) {
                OVER
            } else {
                RUNS
            }
        });
        assert_eq!(
            steps[..3],
            [(800, Step::Ask), (1500, Step::Fence), (1510, Step::TakeUp)]
        );
    }

    #[test]
    fn it_never_decides_beside_one_that_cannot_be_fenced_off() {
        assert_eq!(played(|_, _| RUNS), [(800, Step::Ask), (1500, Step::Fence)]);
    }
}
