//! Whether a run kept the rules, judged by what is seen from outside alone.

use crate::observation::{End, Seen};
use crate::scenario::Scenario;
use crate::simulation::{play, Make};
use marblefall_scheduler::{EndpointStatus, Idempotency, Outcome, Span, Time};
use std::collections::HashMap;
use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One end for each message that was taken on.
    OneEnd,
    /// Every message that was taken on has an end by its deadline, also over a courier's death.
    NothingLost,
    /// One leg of a message out at a time.
    OneLeg,
    /// Repeats only as the class permits.
    Repeats,
    /// Nothing to a partner before a wait is over that it told this courier.
    ToldWaits,
    /// Nothing new to an endpoint that the list took away, 250 ms later.
    Drains,
    /// No returning partner pushed over.
    Toppling,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneEnd => "one end for each message",
            Rule::NothingLost => "nothing lost",
            Rule::OneLeg => "one leg out at a time",
            Rule::Repeats => "repeats as the class permits",
            Rule::ToldWaits => "told waits kept",
            Rule::Drains => "drains kept",
            Rule::Toppling => "no returning partner pushed over",
        })
    }
}

/// A rule that was broken, and how it came to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at: Time,
    /// What happened.
    pub what: String,
    /// What was seen of the message until then.
    pub trace: Vec<(Time, Seen)>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6} s: {}: {}",
            self.at.ms() / 1000.0,
            self.rule,
            self.what
        )?;
        for (at, seen) in &self.trace {
            write!(f, "\n    {:.6} s: {seen:?}", at.ms() / 1000.0)?;
        }
        Ok(())
    }
}

/// How long a list's news may take until nothing new comes any more.
const GRACE: Span = Span(250_000);
/// An end may come so long after the deadline: the leg that is cut there has to end first.
const SLACK: Span = Span(1_000_000);
/// Breaches that are kept whole; of further ones only the number is.
const KEPT: usize = 20;
/// Events that are kept of a message.
const TRACE: usize = 40;

struct Open {
    courier: usize,
    class: usize,
    expires: Time,
    /// Where a leg is out, and since when.
    out: Option<(u32, Time)>,
    /// When the first leg was sent that may have run.
    ran: Option<Time>,
    ended: bool,
    trace: Vec<(Time, Seen)>,
}

/// Watches a run.
pub struct Watch<'s> {
    scenario: &'s Scenario,
    places: Vec<(usize, usize)>,
    open: HashMap<u64, Open>,
    /// Waits that a partner told a courier.
    waits: HashMap<(usize, usize), Time>,
    /// Since when the list has had an endpoint taken away.
    away: HashMap<u32, Time>,
    broken: Vec<Breach>,
    count: u64,
}

impl<'s> Watch<'s> {
    /// One that has seen nothing.
    pub fn new(scenario: &'s Scenario) -> Watch<'s> {
        Watch {
            scenario,
            places: scenario.places(),
            open: HashMap::new(),
            waits: HashMap::new(),
            away: HashMap::new(),
            broken: Vec::new(),
            count: 0,
        }
    }

    fn breach(&mut self, rule: Rule, at: Time, message: Option<u64>, what: String) {
        self.count += 1;
        if self.broken.len() < KEPT {
            let trace = message
                .and_then(|id| self.open.get(&id))
                .map_or_else(Vec::new, |open| open.trace.clone());
            self.broken.push(Breach {
                rule,
                at,
                what,
                trace,
            });
        }
    }

    /// Takes what was seen, in its order.
    pub fn see(&mut self, at: Time, seen: &Seen) {
        if let Some(open) = seen.message().and_then(|id| self.open.get_mut(&id)) {
            if open.trace.len() < TRACE {
                open.trace.push((at, *seen));
            }
        }
        match *seen {
            Seen::TakenOn {
                message,
                courier,
                class,
                expires,
                ..
            } => {
                let trace = vec![(at, *seen)];
                let open = Open {
                    courier,
                    class,
                    expires,
                    out: None,
                    ran: None,
                    ended: false,
                    trace,
                };
                self.open.insert(message, open);
            }
            Seen::Ended { message, end } => self.ended(at, message, end),
            Seen::Sent {
                message,
                courier,
                endpoint,
            } => self.sent(at, message, courier, endpoint),
            Seen::Came { message, endpoint } => {
                if let Some(since) = self
                    .away
                    .get(&endpoint)
                    .filter(|since| at - **since > GRACE)
                {
                    let late = (at - *since).ms();
                    let what = format!("message {message} came to endpoint {endpoint} {late:.0} ms after the list took it away");
                    self.breach(Rule::Drains, at, Some(message), what);
                }
            }
            Seen::Closed {
                message,
                courier,
                endpoint,
                outcome,
            } => {
                self.closed(at, message, courier, endpoint, outcome);
            }
            Seen::Listed { endpoint, listing } => {
                if listing == EndpointStatus::Active {
                    self.away.remove(&endpoint);
                } else {
                    self.away.entry(endpoint).or_insert(at);
                }
            }
            Seen::Fell { partner } => {
                let what = format!("{} fell", self.scenario.partners[partner].name);
                self.breach(Rule::Toppling, at, None, what);
            }
            Seen::Died { courier } => {
                // Its legs are over for it, and may have run; a told wait ends with the process.
                for open in self
                    .open
                    .values_mut()
                    .filter(|open| open.courier == courier)
                {
                    if let Some((_, sent)) = open.out.take() {
                        open.ran.get_or_insert(sent);
                    }
                }
                self.open
                    .retain(|_, open| open.courier != courier || !open.ended);
                self.waits.retain(|(told, _), _| *told != courier);
            }
            Seen::Began { .. } => {}
        }
    }

    fn ended(&mut self, at: Time, message: u64, end: End) {
        match self.open.get_mut(&message) {
            Some(open) if !open.ended => {
                open.ended = true;
                let late = at - open.expires;
                if late > SLACK && end == End::Delivered {
                    let what = format!(
                        "message {message} was delivered {:.0} ms after its deadline",
                        late.ms()
                    );
                    self.breach(Rule::NothingLost, at, Some(message), what);
                }
                // Kept while a leg is out, whose end still counts; a second end shows as one of what is unknown.
                if self
                    .open
                    .get(&message)
                    .is_some_and(|open| open.out.is_none())
                {
                    self.open.remove(&message);
                }
            }
            _ => {
                let what =
                    format!("message {message} ended once more, or was never taken on: {end:?}");
                self.breach(Rule::OneEnd, at, Some(message), what);
            }
        }
    }

    fn sent(&mut self, at: Time, message: u64, courier: usize, endpoint: u32) {
        let partner = self.places[endpoint as usize].0;
        if let Some(until) = self
            .waits
            .get(&(courier, partner))
            .filter(|until| at < **until)
        {
            let early = (*until - at).ms();
            let what = format!(
                "message {message} went out {early:.3} ms before the wait was over that was told"
            );
            self.breach(Rule::ToldWaits, at, Some(message), what);
        }
        let Some(open) = self.open.get_mut(&message) else {
            let what = format!("a leg of message {message}, which is over or was never taken on");
            return self.breach(Rule::OneEnd, at, None, what);
        };
        if let Some((other, since)) = open.out.replace((endpoint, at)) {
            let what = format!(
                "a leg of message {message} while another is out since {:.6} s to endpoint {other}",
                since.ms() / 1000.0
            );
            return self.breach(Rule::OneLeg, at, Some(message), what);
        }
        let repeat = open.ran.map(|ran| at - ran);
        let why = match (self.scenario.classes[open.class].class.idempotency, repeat) {
            (Idempotency::NonIdempotent, Some(_)) => {
                "is of a class that is never repeated".to_owned()
            }
            (Idempotency::IdempotencyKey { window, .. }, Some(age)) if age >= window => {
                format!(
                    "first went out {:.1} s ago, and its key is known for {:.1} s",
                    age.secs(),
                    window.secs()
                )
            }
            _ => return,
        };
        self.breach(
            Rule::Repeats,
            at,
            Some(message),
            format!("message {message} went out again, though it {why}"),
        );
    }

    fn closed(&mut self, at: Time, message: u64, courier: usize, endpoint: u32, outcome: Outcome) {
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            let until = self
                .waits
                .entry((courier, self.places[endpoint as usize].0))
                .or_insert(at);
            *until = (*until).max(at + wait);
        }
        let Some(open) = self.open.get_mut(&message) else {
            return;
        };
        if let Some((_, sent)) = open.out.take() {
            if !outcome.proves_not_executed() {
                open.ran.get_or_insert(sent);
            }
        }
        if open.ended {
            self.open.remove(&message);
        }
    }

    /// The run is over: what is still open was lost.
    pub fn close(mut self, at: Time) -> Verdict {
        let mut lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| !open.ended && open.expires + SLACK < at)
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for message in lost {
            self.breach(
                Rule::NothingLost,
                at,
                Some(message),
                format!("message {message} never ended"),
            );
        }
        Verdict {
            breaches: self.broken,
            count: self.count,
        }
    }
}

/// Plays a scenario and judges it.
pub fn judge(scenario: &Scenario, seed: u64, make: Make<'_>) -> Verdict {
    let mut watch = Watch::new(scenario);
    let played = play(scenario, seed, make, &mut |at, seen| watch.see(at, seen));
    watch.close(played.over)
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The first breaches.
    pub breaches: Vec<Breach>,
    /// How many there are in all.
    pub count: u64,
}

impl Verdict {
    /// Whether all rules were kept.
    pub fn is_clean(&self) -> bool {
        self.count == 0
    }
}
