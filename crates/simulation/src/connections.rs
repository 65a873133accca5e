//! Connections between couriers and partners, as couriers keep them: used again last first, retired before the time that
//! couriers are told, limited by the endpoint, and closed by it without a word.

use crate::destination::Wire;
use marblefall_scheduler::{Span, Time};
use std::collections::HashMap;

/// Couriers give an idle connection up at this part of the time that they are told.
const RETIRED_PART: f64 = 0.85;

/// What a leg finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// A connection that is kept.
    Kept,
    /// One that its endpoint has closed meanwhile: it breaks as it is used.
    Closed,
    /// None, so one is opened.
    New,
    /// None, and the endpoint takes no more.
    NoRoom,
}

/// The connections of all couriers.
#[derive(Debug, Default)]
pub struct Wires {
    /// By courier and endpoint since when each that is kept has been idle, the longest first.
    idle: HashMap<(usize, u32), Vec<Time>>,
    /// Legs out, by endpoint.
    busy: HashMap<u32, usize>,
    /// So long couriers are told that an idle connection lasts.
    told: Span,
}

impl Wires {
    /// None yet.
    pub fn new(told: Span) -> Wires {
        Wires {
            told,
            ..Wires::default()
        }
    }

    /// A leg goes out: takes a connection or opens one. What is not taken has no leg on it.
    pub fn take(&mut self, now: Time, courier: usize, endpoint: u32, wire: &Wire) -> Found {
        let retired = Span((self.told.0 as f64 * RETIRED_PART) as i64);
        let idle = self.idle.entry((courier, endpoint)).or_default();
        idle.retain(|since| now - *since < retired);
        let lives = |since: &Time| wire.idle_close.is_none_or(|after| now - *since < after);
        let found = match idle.pop() {
            Some(since) if lives(&since) => Found::Kept,
            Some(_) => return Found::Closed,
            None => {
                let kept = self
                    .idle
                    .iter()
                    .filter(|((_, at), _)| *at == endpoint)
                    .map(|(_, idle)| idle);
                let open =
                    kept.flatten().filter(|since| lives(since)).count() + self.busy(endpoint);
                if wire.most.is_some_and(|most| open >= most) {
                    return Found::NoRoom;
                }
                Found::New
            }
        };
        *self.busy.entry(endpoint).or_default() += 1;
        found
    }

    /// Legs out to an endpoint.
    pub fn busy(&self, endpoint: u32) -> usize {
        self.busy.get(&endpoint).copied().unwrap_or(0)
    }

    /// A leg has ended; its connection stays if its answer came whole.
    pub fn give_back(&mut self, now: Time, courier: usize, endpoint: u32, whole: bool) {
        if let Some(busy) = self.busy.get_mut(&endpoint) {
            *busy = busy.saturating_sub(1);
        }
        if whole {
            self.idle.entry((courier, endpoint)).or_default().push(now);
        }
    }

    /// A courier closes its idle connections to an endpoint.
    pub fn close_idle(&mut self, courier: usize, endpoint: u32) {
        self.idle.remove(&(courier, endpoint));
    }

    /// A courier is gone; its legs are given back one by one.
    pub fn died(&mut self, courier: usize) {
        self.idle.retain(|(whose, _), _| *whose != courier);
    }
}
