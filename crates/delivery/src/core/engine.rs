//! Owns the decision module: inputs go in, orders come out. Keeps the module's events and the ledger in step,
//! so that everything the module is told is in the journal and everything it decides is carried out once.

mod lives;
mod places;
mod policy;
mod words;

pub use policy::{Change, Proposed, Standing};
pub use words::{Host, Input, Order, Setup};

use super::directory::Directory;
use super::lately::Lately;
use super::ledger::{Ledger, Leg, TakenUp};
use super::warmth::Warmth;
use super::{Answer, Authorisation, End, Origin, Route, Seq, Stamp, Ticket, Verdict};
use lives::Stage;
use marblefall_scheduler as m;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// What a decline tells a client where nothing better is known.
const COME_BACK_MS: u64 = 1000;
/// A repeat within a receiver's window must have arrived before it closes: left for the way there.
const WAY: m::Span = m::Span(200_000);

/// A message handed in within the batch at hand, and what an earlier try of it may have done.
struct Offer {
    seq: Seq,
    authorisation: Rc<Authorisation>,
    past: Option<Leg>,
    aliases: Vec<Vec<u8>>,
}

/// What is known of a message that is handed in.
enum Known {
    No(Option<Leg>),
    Joins(Seq),
    Ended(Seq, End),
    Says(Answer),
}

/// The one owner of the module.
pub struct Engine {
    module: m::Courier,
    ledger: Ledger,
    classes: Vec<m::Class>,
    /// For each kind of destination, whether its endpoints are routes of their own.
    apart: Vec<bool>,
    max_open: usize,
    remember_ms: Vec<i64>,
    remember_most: usize,
    names: HashMap<String, m::EndpointId>,
    /// The endpoints that are listed or that a held message was at, by the module's numbers for them.
    hosts: BTreeMap<m::EndpointId, String>,
    next_host: u32,
    /// Destinations that have had a host.
    destinations: BTreeSet<m::DestinationId>,
    /// Endpoints as the list has them last, so that one held out or let in again can be told anew.
    listing: BTreeMap<m::EndpointId, Host>,
    /// Names of the endpoints that operators keep out.
    held_out: BTreeSet<String>,
    /// All destinations, where most of them are idle, and which are not.
    directory: Option<Arc<Directory>>,
    warmth: Warmth,
    /// Identities of the platform's messages that are over.
    lately: Lately,
    waiting: BTreeMap<Seq, Vec<Ticket>>,
    wakes: BTreeSet<(m::Time, u64)>,
    /// Events that the next batch starts with: what became clear only while a batch was carried out.
    backlog: Vec<m::Event>,
    stop: Option<m::Time>,
    stage: Stage,
    /// Messages whose leg is out at another life, which the module knows ...
    away: BTreeSet<Seq>,
    /// ... and those which it is not told of before, as their host is not listed any more.
    parked: BTreeSet<Seq>,
    quiet: bool,
    out: usize,
    /// Whether it may act under its policy.
    standing: Standing,
    /// What came in while it may not, and when.
    deferred: Vec<(m::Time, Input)>,
}

/// What the module is told of the classes, and the classes as they are kept: a repeat must have arrived before its
/// receiver's window closes.
fn as_kept(mut settings: m::Settings) -> (m::Settings, Vec<m::Class>) {
    let classes = settings.classes.clone();
    for class in &mut settings.classes {
        if let m::Effect::Token { window, .. } = &mut class.effect {
            *window = m::Span((window.0 - WAY.0).max(0));
        }
    }
    (settings, classes)
}

fn apart(settings: &m::Settings) -> Vec<bool> {
    settings.kinds.iter().map(|kind| kind.apart).collect()
}

/// How long before the end of the process the last leg is begun, and the last message taken on.
const LAST_LEG: m::Span = m::Span(1_200_000);
const LAST_TAKEN: m::Span = m::Span(2_200_000);

impl Engine {
    /// Serves at once, with what the ledger holds from earlier lives; owed notices are ordered at once.
    pub fn new(setup: Setup, ledger: Ledger, now: Stamp, orders: &mut Vec<Order>) -> Engine {
        let mut engine = Engine::beside(setup, ledger);
        engine.serve(now, &TakenUp::default(), orders);
        engine
    }

    /// Stands beside another life: takes messages on, and decides nothing until it is told to take up.
    pub fn beside(setup: Setup, ledger: Ledger) -> Engine {
        let (settings, classes) = as_kept(setup.settings);
        let max_open = settings.caps.max_open;
        let apart = apart(&settings);
        Engine {
            module: m::Courier::new(settings, setup.seed),
            ledger,
            classes,
            apart,
            max_open,
            remember_ms: setup.remember_ms,
            remember_most: setup.remember_most,
            names: HashMap::new(),
            hosts: BTreeMap::new(),
            next_host: 0,
            destinations: BTreeSet::new(),
            listing: BTreeMap::new(),
            held_out: BTreeSet::new(),
            directory: None,
            warmth: Warmth::default(),
            lately: Lately::default(),
            waiting: BTreeMap::new(),
            wakes: BTreeSet::new(),
            backlog: Vec::new(),
            stop: None,
            stage: Stage::Beside,
            away: BTreeSet::new(),
            parked: BTreeSet::new(),
            quiet: false,
            out: 0,
            standing: Standing::Acts,
            deferred: Vec::new(),
        }
    }

    /// When the engine wants to be stepped even if nothing comes in.
    pub fn next_wake(&self) -> Option<m::Time> {
        if self.stage != Stage::Serving {
            return None;
        }
        self.wakes.first().map(|(at, _)| *at).into_iter().chain(self.warmth.next_due()).min()
    }

    /// Messages that have not ended, and legs that are out.
    pub fn load(&self) -> (usize, usize) {
        (self.ledger.open_count(), self.out)
    }

    /// Whether an earlier life left messages that the module has not seen yet.
    pub fn has_backlog(&self) -> bool {
        self.standing == Standing::Acts && !self.backlog.is_empty()
    }

    fn handed(&self, seq: Seq, authorisation: &Authorisation, now: Stamp) -> m::Handed {
        m::Handed {
            message: m::MessageId(seq),
            class: authorisation.class,
            tenant: None,
            key: None,
            expires: now.mono_of(authorisation.expires_ms),
            destination: authorisation.destination,
        }
    }

    /// Takes what came in since the last step, lets the module decide, and says what is to be done.
    pub fn step(&mut self, now: Stamp, mut inputs: Vec<Input>, orders: &mut Vec<Order>) {
        for input in &mut inputs {
            if !matches!(input, Input::Change(_)) {
                continue;
            }
            if let Input::Change(change) = std::mem::replace(input, Input::Look) {
                // Its list is news like any other, in its place among them.
                *input = self.change(now, *change, orders).map_or(Input::Look, Input::Directory);
            }
        }
        if self.stage != Stage::Serving || inputs.iter().any(lives::is_change) {
            return self.step_between_lives(now, inputs, orders);
        }
        if self.standing != Standing::Acts {
            return self.hold_still(now, inputs, orders);
        }
        if !self.deferred.is_empty() {
            let later = std::mem::replace(&mut inputs, self.resumed());
            inputs.extend(later);
        }
        self.decide(now, inputs, orders);
    }

    /// A step of the life that decides.
    fn decide(&mut self, now: Stamp, inputs: Vec<Input>, orders: &mut Vec<Order>) {
        self.lately.sweep(now.mono);
        let mut events = Vec::new();
        let mut offered = Vec::new();
        let rest = self.take_news(now, inputs, &mut events, orders);
        events.append(&mut self.backlog);
        for input in rest {
            self.take(now, input, &mut events, &mut offered, orders);
        }
        while let Some((at, token)) = self.wakes.first().copied().filter(|(at, _)| *at <= now.mono) {
            self.wakes.remove(&(at, token));
            events.push(m::Event::Due(token));
        }
        self.quiet |= self.stop.is_some_and(|stop| stop - now.mono <= LAST_LEG);
        if self.quiet {
            // A list without hosts keeps the module from beginning what could not finish in this life.
            events.push(m::Event::Listed(Vec::new()));
        }
        log_fault(self.ledger.sweep(now.unix_ms, self.remember_most), orders);
        let mut actions = Vec::new();
        self.module.handle(now.mono, &events, &mut actions);
        let lost = self.take_on(now, offered, &actions, orders);
        for action in actions {
            self.carry_out(now, action, &lost, orders);
        }
        self.cool(now, orders);
    }

    fn take(
        &mut self,
        now: Stamp,
        input: Input,
        events: &mut Vec<m::Event>,
        offered: &mut Vec<Offer>,
        orders: &mut Vec<Order>,
    ) {
        match input {
            Input::Offered(ticket, authorisation) => {
                let past = match self.known(&authorisation, offered) {
                    // The platform's clients give each hand-in an id of its own: who brings a known one is not the
                    // client that waits for it, and must not withdraw it by going away.
                    Known::Joins(seq) if authorisation.origin == Origin::Relay => {
                        let taken_on = self.ledger.get(seq).is_some();
                        let answer = if taken_on { Answer::TakenOn } else { Answer::Conflict };
                        return orders.push(Order::Answer(ticket, answer));
                    }
                    Known::Joins(seq) => {
                        self.waiting.entry(seq).or_default().push(ticket);
                        match offered.iter_mut().find(|offer| offer.seq == seq) {
                            Some(offer) => offer.aliases.push(authorisation.identity),
                            None => {
                                log_fault(self.ledger.alias(seq, &authorisation.identity), orders);
                                orders.push(Order::Answer(ticket, Answer::TakenOn));
                            }
                        }
                        return;
                    }
                    Known::Ended(seq, end) => {
                        log_fault(self.ledger.alias(seq, &authorisation.identity), orders);
                        return orders.push(Order::Answer(ticket, Answer::Ended(end)));
                    }
                    Known::Says(answer) => return orders.push(Order::Answer(ticket, answer)),
                    Known::No(past) => past,
                };
                let full = self.stage != Stage::HandedOver
                    && self.ledger.open_count() + offered.len() >= self.max_open;
                // What is taken on while another life decides is delivered by that one.
                let serving = self.stage == Stage::Serving;
                let leaving = serving && self.stop.is_some_and(|stop| stop - now.mono <= LAST_TAKEN);
                // The list may be late, so a destination that it has not named is declined, not refused for good.
                let unknown = !self.is_listed(authorisation.destination);
                if unknown || full || leaving || !self.ledger.has_room(&authorisation) {
                    return orders.push(Order::Answer(ticket, Answer::Declined(COME_BACK_MS)));
                }
                self.use_of(now, authorisation.destination, events, orders);
                let seq = self.ledger.number();
                let handed = self.handed(seq, &authorisation, now);
                events.push(match &past {
                    None => m::Event::Accepted(handed),
                    Some(leg) => {
                        let ran = Some((now.mono_of(leg.at_ms), self.host(&leg.host)));
                        m::Event::Resumed(handed, m::Past { attempts: 0, ran, out: None })
                    }
                });
                self.waiting.insert(seq, vec![ticket]);
                let (authorisation, aliases) = (Rc::new(authorisation), Vec::new());
                offered.push(Offer { seq, authorisation, past, aliases });
            }
            Input::Withdrawn(ticket) => {
                // What others wait for as well goes on, and an event goes on unwatched: its identity is known.
                let found = self.waiting.iter_mut().find(|(_, tickets)| tickets.contains(&ticket));
                let Some((&seq, tickets)) = found else { return };
                tickets.retain(|other| *other != ticket);
                let unwatched = tickets.is_empty();
                let just_now = offered.iter().position(|offer| {
                    offer.seq == seq && offer.authorisation.origin == Origin::Relay && unwatched
                });
                if let Some(place) = just_now {
                    // Nobody has heard of it, nor will: it is not taken on at all.
                    offered.remove(place);
                    self.waiting.remove(&seq);
                    events.push(m::Event::Gone(m::MessageId(seq)));
                    return;
                }
                let relay = self.ledger.get(seq).filter(|e| e.authorisation.origin == Origin::Relay);
                if unwatched && relay.is_some_and(|entry| entry.end.is_none()) {
                    events.push(m::Event::Gone(m::MessageId(seq)));
                    self.over(now, seq, orders);
                }
            }
            Input::LegEnded { seq, copy, outcome, took, verdict, report } => {
                self.out = self.out.saturating_sub(1);
                self.note_wait(now, seq, outcome, orders);
                if let Some(id) = self.ledger.get(seq).map(|entry| entry.authorisation.destination) {
                    self.use_of(now, id, events, orders);
                }
                log_fault(self.ledger.leg_ended(seq, !outcome.never_ran()), orders);
                let (message, copy) = (m::MessageId(seq), m::Copy(copy));
                let delivered = outcome == m::Outcome::Delivered;
                let last = delivered || verdict != Verdict::Open;
                // A host that will not have a message has answered: nothing is wrong with the host.
                let outcome = if verdict == Verdict::Failed { m::Outcome::Delivered } else { outcome };
                events.push(m::Event::Closed { message, copy, outcome, took, last, report });
                if delivered {
                    self.finish(now, seq, End::Delivered, orders);
                } else if verdict == Verdict::Failed {
                    self.finish(now, seq, End::Failed, orders);
                } else if verdict == Verdict::Over {
                    self.over(now, seq, orders);
                } else if self.parked.contains(&seq) {
                    self.resume(now, seq, false, orders);
                }
                self.parked.remove(&seq);
            }
            Input::NoticeTaken(seq) => {
                self.over(now, seq, orders);
            }
            Input::Stop { by, .. } => {
                self.stop = Some(by);
                self.wakes.insert((by - LAST_LEG, u64::MAX));
            }
            Input::Fits(proposed, answer) => {
                let _ = answer.try_send(self.fits(&proposed));
            }
            Input::Look | Input::Change(_) => {}
            // News of the list is taken before; what goes between lives, in a step of its own.
            Input::Listed(_) | Input::Changed(_) | Input::Directory(_) | Input::HeldOut(_) => {}
            Input::TakeUp { .. } | Input::Follow | Input::Settle(_) | Input::Adopt(_) => {}
        }
    }

    /// Whether a hand-in repeats an earlier one.
    fn known(&self, authorisation: &Authorisation, offered: &[Offer]) -> Known {
        let events = authorisation.origin == Origin::Events;
        let key = authorisation.repeat_key.as_ref().filter(|_| events);
        let alike = |first: &Authorisation| {
            let same_key = || key.is_some() && first.repeat_key.as_ref() == key;
            first.identity == authorisation.identity
                || first.destination == authorisation.destination && same_key()
        };
        if let Some(offer) = offered.iter().find(|offer| alike(&offer.authorisation)) {
            return match offer.authorisation.repeat_key == authorisation.repeat_key {
                true => Known::Joins(offer.seq),
                false => Known::Says(Answer::Conflict),
            };
        }
        let by_key = || self.ledger.by_key(authorisation.destination, key?);
        let seq = self.ledger.by_identity(&authorisation.identity).or_else(by_key);
        let Some((seq, entry)) = seq.and_then(|seq| Some((seq, self.ledger.get(seq)?))) else {
            // Sent again, what was delivered would run twice.
            let was = !events && self.lately.has(&authorisation.identity);
            return if was { Known::Says(Answer::Conflict) } else { Known::No(None) };
        };
        if entry.authorisation.repeat_key != authorisation.repeat_key {
            return Known::Says(Answer::Conflict);
        }
        match entry.end {
            None => Known::Joins(seq),
            // It was told to come again: a new try, bound by what the earlier one may have done.
            Some(End::Returned(_)) => Known::No(entry.ran.clone()),
            Some(end) => Known::Ended(seq, end),
        }
    }

    /// Journals what was handed in and is not ended already; gives those that the journal did not take.
    fn take_on(
        &mut self,
        now: Stamp,
        offered: Vec<Offer>,
        actions: &[m::Action],
        orders: &mut Vec<Order>,
    ) -> BTreeSet<Seq> {
        let mut lost = BTreeSet::new();
        for Offer { seq, authorisation, past, aliases } in offered {
            let ended = actions.iter().find_map(|action| match action {
                m::Action::Refuse { message, retry_in } if message.0 == seq => {
                    Some(match self.returned(now, &authorisation, past.as_ref(), *retry_in) {
                        End::Returned(after) => Answer::Declined(after),
                        end => Answer::Ended(end),
                    })
                }
                m::Action::Fail(message) if message.0 == seq => {
                    let late = now.unix_ms >= authorisation.expires_ms;
                    Some(Answer::Ended(if late { End::Expired } else { End::Failed }))
                }
                _ => None,
            });
            if let Some(answer) = ended {
                // Given up before it was taken on: the answer itself says so, and nothing is owed.
                self.answer(seq, answer, orders);
                continue;
            }
            if let Err(error) = self.ledger.take_on(seq, authorisation, past) {
                orders.push(Order::Log(format!("the journal does not take a message: {error}")));
                lost.insert(seq);
                self.backlog.push(m::Event::Gone(m::MessageId(seq)));
                self.answer(seq, Answer::Declined(COME_BACK_MS), orders);
                continue;
            }
            for alias in aliases {
                log_fault(self.ledger.alias(seq, &alias), orders);
            }
            let tickets = self.waiting.get(&seq).into_iter().flatten();
            orders.extend(tickets.map(|ticket| Order::Answer(*ticket, Answer::TakenOn)));
        }
        lost
    }

    fn answer(&mut self, seq: Seq, answer: Answer, orders: &mut Vec<Order>) {
        let tickets = self.waiting.remove(&seq).unwrap_or_default();
        orders.extend(tickets.into_iter().map(|ticket| Order::Answer(ticket, answer)));
    }

    fn carry_out(&mut self, now: Stamp, action: m::Action, lost: &BTreeSet<Seq>, orders: &mut Vec<Order>) {
        match action {
            m::Action::Send { message, endpoint, cut_at } => {
                let seq = message.0;
                let name = self.hosts.get(&endpoint).cloned().unwrap_or_default();
                let leg = Leg { at_ms: now.unix_ms, host: name };
                let attempts = self.ledger.get(seq).map_or(0, |entry| entry.attempts);
                let begun = if lost.contains(&seq) { Ok(()) } else { self.ledger.leg_begins(seq, leg) };
                let entry = self.ledger.get(seq).filter(|entry| begun.is_ok() && entry.end.is_none());
                let Some(entry) = entry else {
                    // What the journal does not know of must not go out: the module is owed an outcome.
                    log_fault(begun, orders);
                    let (outcome, took, last) = (m::Outcome::Moot, m::Span::ZERO, false);
                    let (copy, report) = (m::Copy(attempts), m::Report::default());
                    self.backlog.push(m::Event::Closed { message, copy, outcome, took, last, report });
                    self.wakes.insert((now.mono, u64::MAX));
                    return;
                };
                let window = self.classes.get(entry.authorisation.class.0).map(|class| class.effect);
                let write_by = match (window, &entry.ran) {
                    (Some(m::Effect::Token { window, .. }), Some(first)) => {
                        now.mono_of(first.at_ms) + window - WAY
                    }
                    _ => cut_at,
                };
                let authorisation = entry.authorisation.clone();
                let write_by = write_by.min(cut_at);
                let route = self.route(authorisation.destination, endpoint);
                self.out += 1;
                orders.push(Order::Leg {
                    seq,
                    copy: attempts,
                    host: endpoint,
                    route,
                    authorisation,
                    cut_at,
                    write_by,
                });
            }
            m::Action::Cancel { message, .. } => orders.push(Order::Abandon(message.0)),
            m::Action::Refuse { message, retry_in } => {
                let Some(entry) = self.ledger.get(message.0) else { return };
                let end = self.returned(now, &entry.authorisation, entry.ran.as_ref(), retry_in);
                self.finish(now, message.0, end, orders);
            }
            m::Action::Fail(message) => {
                let expires = self.ledger.get(message.0).map_or(0, |entry| entry.authorisation.expires_ms);
                let end = if now.unix_ms >= expires { End::Expired } else { End::Failed };
                self.finish(now, message.0, end, orders);
            }
            m::Action::Wake { at, token } => drop(self.wakes.insert((at, token))),
            m::Action::Close(endpoint) => orders.push(Order::CloseIdle(endpoint)),
            m::Action::Log(text) => orders.push(Order::Log(text)),
            // No site here lets couriers probe, and lists come unasked.
            m::Action::Probe(_) | m::Action::Subscribe => {}
        }
    }

    /// What an endpoint of a destination binds when it tells a wait.
    fn route(&self, destination: m::DestinationId, endpoint: m::EndpointId) -> Route {
        let kind = self.listing.get(&endpoint).map(|host| host.kind.0);
        let apart = kind.and_then(|kind| self.apart.get(kind)).is_some_and(|apart| *apart);
        Route { destination, endpoint: Some(endpoint).filter(|_| apart) }
    }

    /// How a message ends that the module has given up for now. An event that may have run and whose window
    /// will have closed when it comes again would then only be given up once more: it has failed. The
    /// platform's clients know the window themselves.
    fn returned(&self, now: Stamp, message: &Authorisation, ran: Option<&Leg>, retry_in: m::Span) -> End {
        let effect = self.classes.get(message.class.0).map(|class| class.effect);
        match (effect, ran.filter(|_| message.origin == Origin::Events)) {
            (Some(m::Effect::Token { window, .. }), Some(first))
                if now.mono + retry_in >= now.mono_of(first.at_ms) + window - WAY =>
            {
                End::Failed
            }
            _ => End::Returned((retry_in.ms() as u64).max(1)),
        }
    }

    /// Ends a message: once in the ledger, then towards whoever waits or is owed a notice.
    fn finish(&mut self, now: Stamp, seq: Seq, end: End, orders: &mut Vec<Order>) {
        let Some(entry) = self.ledger.get(seq) else { return };
        let (authorisation, relay) =
            (entry.authorisation.clone(), entry.authorisation.origin == Origin::Relay);
        let owed = relay && end != End::Delivered;
        let remember = self.remember_ms.get(authorisation.class.0).copied().unwrap_or(0);
        match self.ledger.end(seq, end, owed, now.unix_ms + remember) {
            Ok(false) => return,
            ended => log_fault(ended.map(|_| ()), orders),
        }
        orders.push(Order::Ended(end));
        self.answer(seq, Answer::Ended(end), orders);
        if owed {
            orders.push(Order::Notice(seq, authorisation, end));
        } else if relay {
            self.over(now, seq, orders);
        }
    }

    /// Forgets a message for which nothing is owed.
    fn over(&mut self, now: Stamp, seq: Seq, orders: &mut Vec<Order>) {
        self.waiting.remove(&seq);
        let relay = self.ledger.get(seq).filter(|entry| entry.authorisation.origin == Origin::Relay);
        if let Some(entry) = relay {
            self.lately.note(now.mono, &entry.authorisation.identity);
        }
        log_fault(self.ledger.forget(seq), orders);
    }
}

/// A journal that does not take a note is said; the message goes on as far as memory carries it.
fn log_fault(noted: std::io::Result<()>, orders: &mut Vec<Order>) {
    if let Err(error) = noted {
        orders.push(Order::Log(format!("the journal does not take a note: {error}")));
    }
}
