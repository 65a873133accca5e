//! The engine under a policy that others decide on as well: while nobody may act under it nothing is taken on and no leg is
//! begun, but what is owed keeps its deadlines; and another policy is taken up in place, with all that is held.

use super::{Engine, Input, Known as Kept, Order, Setup, Stage, LAST_LEG};
use crate::core::directory::Directory;
use crate::core::ledger::{Known, TakenUp};
use crate::core::{Answer, End, Seq, Stamp};
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What a hand-in is told that comes while nobody knows which policy holds.
const COME_BACK_MS: u64 = 1000;
/// A hand-in waits for a change of policy no longer than its class is wanted in, and no longer than this.
const HELD_MOST: m::Span = m::Span(3_000_000);

/// Whether the engine may act.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    #[default]
    Acts,
    /// A change of policy is under way: what is handed in waits.
    Still,
    /// It may not, for nobody knows how long: what is handed in is told to come again.
    Shut,
}

/// Another policy, for an engine that runs.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its number.
    pub revision: u64,
    /// What the module decides by. A class keeps its place for as long as the engine runs; new ones follow.
    pub setup: Setup,
    /// The names of the classes, in their order.
    pub classes: Vec<String>,
    /// All destinations, where they change with it.
    pub directory: Option<Arc<Directory>>,
}

/// What a policy that is proposed has room for.
#[derive(Clone, Debug)]
pub struct Proposed {
    /// The names of its classes.
    pub classes: BTreeSet<String>,
    /// Its destinations.
    pub destinations: BTreeSet<m::DestinationId>,
    /// How many messages may be held.
    pub max_open: usize,
}

impl Engine {
    /// Says whether it may act from the next step on.
    pub fn stands(&mut self, standing: Standing) {
        self.standing = standing;
    }

    /// A step in which nothing is decided: ends of legs and what is over are written down, hand-ins wait or are told to
    /// come again, and what has no time left ends.
    pub(super) fn hold_still(&mut self, now: Stamp, inputs: Vec<Input>, orders: &mut Vec<Order>) {
        let mut events = std::mem::take(&mut self.backlog);
        for input in inputs {
            match input {
                // What is known already needs no policy, and must not be sent elsewhere while it is held here.
                Input::Offered(_, ref authorisation)
                    if !matches!(self.known(authorisation, &[]), Kept::No(_)) =>
                {
                    self.take(now, input, &mut events, &mut Vec::new(), orders);
                }
                Input::Offered(..) | Input::Listed(_) | Input::Changed(_) | Input::Directory(_) => {
                    self.deferred.push((now.mono, input));
                }
                Input::HeldOut(_) => self.deferred.push((now.mono, input)),
                Input::Withdrawn(ticket) => {
                    let theirs =
                        |input: &Input| matches!(input, Input::Offered(offered, _) if *offered == ticket);
                    self.deferred.retain(|(_, input)| !theirs(input));
                    self.take(now, input, &mut events, &mut Vec::new(), orders);
                }
                input => self.take(now, input, &mut events, &mut Vec::new(), orders),
            }
        }
        self.backlog = events;
        self.thin_out(now, orders);
        let over = |entry: &crate::core::ledger::Entry| {
            entry.end.is_none() && entry.out.is_none() && entry.authorisation.expires_ms <= now.unix_ms
        };
        let late: Vec<Seq> =
            self.ledger.entries().iter().filter(|(_, entry)| over(entry)).map(|(seq, _)| *seq).collect();
        for seq in late {
            self.finish(now, seq, End::Expired, orders);
            self.backlog.push(m::Event::Gone(m::MessageId(seq)));
        }
    }

    /// Hand-ins that wait too long for a change, or would be too many, are told to come again.
    fn thin_out(&mut self, now: Stamp, orders: &mut Vec<Order>) {
        let mut room = self.max_open.saturating_sub(self.ledger.open_count());
        let (standing, classes) = (self.standing, &self.classes);
        self.deferred.retain(|(since, input)| {
            let Input::Offered(ticket, authorisation) = input else { return true };
            let wanted = classes.get(authorisation.class.0).map_or(HELD_MOST, |class| class.promise);
            let waits = standing == Standing::Still && now.mono - *since < wanted.min(HELD_MOST) && room > 0;
            if waits {
                room -= 1;
            } else {
                orders.push(Order::Answer(*ticket, Answer::Declined(COME_BACK_MS)));
            }
            waits
        });
    }

    /// What waited while nothing was decided, in its order.
    pub(super) fn resumed(&mut self) -> Vec<Input> {
        self.deferred.drain(..).map(|(_, input)| input).collect()
    }

    /// When the engine wants to be stepped while it may not act.
    pub fn wakes_still(&self, now: Stamp) -> Option<m::Time> {
        let open = self.ledger.entries().values().filter(|entry| entry.end.is_none() && entry.out.is_none());
        let ends = open.map(|entry| now.mono_of(entry.authorisation.expires_ms + 1)).min();
        let waits = (!self.deferred.is_empty()).then(|| now.mono + m::Span(20_000));
        ends.into_iter().chain(waits).min()
    }

    /// Whether a proposed policy has room for what is held.
    ///
    /// # Errors
    /// Why it has not, for those who proposed it.
    pub(super) fn fits(&self, proposed: &Proposed) -> Result<(), String> {
        let open = self.ledger.entries().values().filter(|entry| entry.end.is_none());
        let mut held = 0;
        for entry in open {
            held += 1;
            let message = &entry.authorisation;
            let class = self.ledger.class_names().get(message.class.0);
            if let Some(class) = class.filter(|class| !proposed.classes.contains(*class)) {
                return Err(format!("a message of class {class} is held, and the class would be gone"));
            }
            if !proposed.destinations.contains(&message.destination) {
                return Err("a message for a destination is held that would be gone".to_owned());
            }
        }
        if held > proposed.max_open {
            return Err(format!("{held} messages are held, and no more than {} could be", proposed.max_open));
        }
        Ok(())
    }

    /// Takes another policy up in place: a module that decides by it gets all that is held, the legs that are out, what
    /// was learned of routes and the waits that were told. Gives the list that came with it.
    pub(super) fn change(
        &mut self,
        now: Stamp,
        change: Change,
        orders: &mut Vec<Order>,
    ) -> Option<Arc<Directory>> {
        let Change { revision, setup, classes, directory } = change;
        if self.stage != Stage::Serving {
            // Another life decides, and reads for itself what it decides by.
            orders.push(Order::Changed(revision));
            return directory;
        }
        let unix = |at: m::Time| m::Time(now.unix_ms * 1000 + (at - now.mono).0);
        let known = self.module.known(now.mono).into_iter().map(|(destination, host, cold)| -> Known {
            (destination, host.and_then(|host| self.hosts.get(&host).cloned()), cold.told_by(unix))
        });
        let known = known.collect();
        self.ledger.name_classes(classes);
        let (settings, own) = super::as_kept(setup.settings);
        self.apart = super::apart(&settings);
        (self.classes, self.max_open) = (own, settings.caps.max_open);
        (self.remember_ms, self.remember_most) = (setup.remember_ms, setup.remember_most);
        self.module = m::Courier::new(settings, setup.seed);
        self.wakes.clear();
        self.wakes.extend(self.stop.map(|by| (by - LAST_LEG, u64::MAX)));
        let hosts = self.listing.values().cloned().collect();
        let entries = self.listed(hosts, false, orders);
        // Told at once: what waits for the next step is news that came later.
        self.backlog.clear();
        self.tell(now, &[m::Event::Changed(entries)], orders);
        let (away, parked, out) = (self.away.clone(), self.parked.clone(), self.out);
        let open = self.ledger.entries().iter().filter(|(_, entry)| entry.out.is_some());
        let ours = open.map(|(seq, _)| *seq).collect();
        self.parked.clear();
        // That it was taken up is no news, and the notices that are owed are on their way.
        self.serve(now, &TakenUp { known, away: ours }, &mut Vec::new());
        // Whose legs they are has not changed, nor how many are out.
        (self.away, self.out) = (away, out);
        self.parked.extend(parked);
        orders.push(Order::Changed(revision));
        directory
    }
}
