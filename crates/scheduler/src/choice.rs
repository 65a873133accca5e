//! Every decision of a courier: what it sends where and when, and how it ends what it cannot send.
//! The types that come in and go out are in `interface.rs`.
//!
//! The ordinary path: whenever a slot frees or a message arrives, the held message with the highest
//! worth x exp(-decay x age) x call rate goes out, unless its route's pace or wait forbids it (`best`).
//! Everything else guards that path: `open` says what a route may be sent, `send` is the only way out,
//! `end` the only way to give a message up.

mod carry;
mod fold;
mod route;

use crate::allowance::{self, Allowance};
use crate::held::{Held, Line};
use crate::interface::*;
use crate::limits::{Pace, Sight};
use crate::recovery::{Comeback, Part, Stage, Terms};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Decay follows the way worth falls after the aim: by half with each further one, or, if in a line, as the
/// exponential from the start to what is left at the deadline; this at least, as none comes to nothing.
const LEAST_LATE: f64 = 0.05;
const FIRST_GUESS_MS: f64 = 400.0; // Call time taken for granted before any call has come back, in ms.
const MEAN_WEIGHT: f64 = 0.12; // Weight of the newest call time in a mean: about the last eight count.
const TAIL_CLIP: f64 = 4.0; // Call times have long tails: one moves a mean by this multiple of it at most.
const PATIENCE: f64 = 6.0; // An attempt is abandoned after this many mean calls ...
const LEAST_PATIENCE_MS: f64 = 1200.0; // ... but never before: short calls say little of a busy moment.
/// Each attempt abandoned since the last answer multiplies a route's patience, not that of all routes:
const BACKOFF: f64 = 1.7;
const BACKOFF_MOST: i32 = 3; // ... up to this many times over.
const UNSAFE_PATIENCE: f64 = 3.0; // As many times the patience for what may not be repeated once abandoned.
/// From this moving share of calls on that get lost while later ones are answered, patience is cut to a part.
const LOSSY: f64 = 0.022;
const LOSSY_PART: f64 = 0.35;
const SILENCE: f64 = 3.0; // A route is silent if a call is out for so many means and none sent since is back.
const SILENT_CALLS: usize = 2; // Calls that must be overdue: one alone may be lost, or one of the long tail.
/// A route that answered nothing for so long may have been out, though too few calls failed to judge it so.
/// It matters where so many messages wait for it at all couriers together, of which each sees its part.
const SILENT_LONG: Span = Span(5_000_000);
const SILENT_BACKLOG: f64 = 24.0;
const SILENT_LEAST: f64 = 2.0; // ... or so many at each.
const SILENCE_MS: f64 = 300.0; // Added, so that quick routes are not called silent over a network hiccup.
const ROUTE_PART: f64 = 0.6; // Part of the slots that one route may hold: one that hangs must leave some.
/// Part of the slots that all routes in trouble (`sick`) may hold together: hangs strike several at once.
const SICK_PART: f64 = 0.34;
const UNMET_CALLS: f64 = 2.0; // Calls out at once to a route that has not answered yet.
const RECENT: Span = Span(3_000_000); // Span over which the recent send rate of a route is taken.
const LEAST_RECENT: Span = Span(1_000_000); // ... or over this at least, where the first of them is younger.
const USUAL_S: f64 = 10.0; // Time constant of a usual rate, in s: long against a burst, short against a day.
/// A pace never sinks under this part of a call a second, shared by all couriers: no route starves for good.
const PACE_LEAST: f64 = 1.2;
/// A refusal holds a destination back for this part of the time between two calls of this courier's part,
/// if a limit is told or listed: a hundred that come back sooner would keep it used up by refused calls ...
const CROWD_PART: f64 = 1.0;
const CROWD_GUESSED: f64 = 0.25; // ... and for this part of it where the share is a guess ...
/// ... twice as long with each further one running, over all its routes, up to this many times.
const CROWD_MOST: u32 = 2;
/// So does an answer that tells of less than this share of the allowance: the next call would be refused.
const LEFT_LEAST: f64 = 0.3;
/// Failed calls running, with no success sent since, after which a route is out: fewer get lost at random.
const FAILS_OUT: f64 = 3.0;
const REFUSED_PART: f64 = 0.1; // A refusal counts for less: only a long run of them says a route is shut.
/// ... unless so many come for so long: no limit refuses all for more than one span of its window.
const SHUT_CALLS: u32 = 6;
const SHUT_AFTER: Span = Span(2_500_000);
const TRIALS: usize = 2; // Trials of a route out at once: one that hangs must not hide the return.
const LISTED_PART: f64 = 0.67; // A rate may be half too high, unless the list tells exact ones.
const CATCH_UP: f64 = 1.2; // Part of its rate that what came back bears while messages wait for it.
const LEAST_RATE: f64 = 1.0; // Calls a second that a route bears, from all couriers, if nothing else tells.
/// Weight of a served call in a kind's share of calls that got no connection; one after such counts more ...
const CROWD_WEIGHT: f64 = 0.02;
const CROWD_JUMP: f64 = 5.0;
const REAP_JUMP: f64 = 2.0; // ... as does one lost after a pause, though calls get lost otherwise too.
const CROWDED: f64 = 0.03; // ... and above this the kind's connections are not kept.
/// A connection refused while others are up caps its endpoint's calls; after this, successes lift the cap.
const CAP_REST: Span = Span(1_000_000);
const PAUSE: Span = Span(500_000); // A connection unused for longer may have been dropped unseen.
const SHUN: Span = Span(4_000_000); // So long what failed last is passed over while another one works.
const TOLL_WEIGHT: f64 = 20.0; // How much a fee of a message's worth weighs against call time.
const CONNECT_PART: f64 = 0.5; // A new connection costs about this part of a call more.
/// Couriers that know the same must not do the same: each has seeded draws of its own, for the endpoints it
/// favours and the time it stays away. Up to this many see enough of the load to go by what they see ...
const FEW_COURIERS: f64 = 4.0;
const TASTE: [f64; 2] = [0.03, 0.15]; // ... with this least weight of a draw, on shared and on own limits.
const HOLD_PART: f64 = 0.95; // Part of the messages that may be held; the rest is room for a clump.
/// What was taken on and never ran is owed a try for this part of its time; to end it before costs a price.
const OWED_PART: f64 = 0.7;
const OWED_PRICE: f64 = 0.3;
const QUOTA_S: f64 = 3.0; // Span over which a tenant's traffic is held against its share, in s.
const RETRY_MS: f64 = 1000.0; // Client's advice where nothing better is known, in ms.
/// A failed subscription is asked for again after about this, doubled with each failure running ...
const RESUBSCRIBE_MS: f64 = 1000.0;
const RESUBSCRIBE_MOST: i32 = 3; // ... up to this many times, and within half the time that the rule allows.

/// What limits, waits, pace, health and fail-back hold for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct RouteId(DestinationId, Option<EndpointId>);

#[derive(Default)]
struct Route {
    mean: Option<f64>,
    timeouts: i32,                 // Attempts abandoned since the last answer.
    refusals: Option<(Time, u32)>, // Refusals since the last success: the first one's time, and how many.
    pace: Option<Pace>,
    wait_until: Option<Time>,
    usual: f64, // Calls a second that came back delivered, as a moving mean over the times when it was well.
    usual_at: Option<Time>,
    streak: f64, // Failed calls running.
    health: Comeback,
    out: Vec<Time>, // Send times of the calls that are out.
    probing: bool,
    /// The last call that got no connection, or was lost after a pause, and what it counts for.
    unconnected: Option<(Time, f64)>,
    last_good_send: Option<Time>,
    share: f64,
    phase: f64, // This courier's own draw for the route, in 0..1.
    destination: Option<DestinationId>,
    limit: Option<f64>, // Calls a second that answers told.
    allowance: Allowance,
}

#[derive(Default)]
struct Endpoint {
    kind: KindId,
    zone: ZoneId,
    listing: EndpointStatus,
    route: RouteId,
    mean: Option<f64>,
    out: usize,
    conns: usize,
    used: Option<Time>,
    failed: Option<Time>,
    conn_cap: Option<(usize, Time)>, // Calls out at most, and since when.
    weight: Option<f64>,
    turn: f64,          // When its last call was due in the order of turns that weights make.
    back: Option<Time>, // When it first answered after a failure.
}

struct Message {
    class: ClassId,
    destination: DestinationId,
    key: Option<OrderingKey>,
    worth: f64,
    born: Time,
    taken: Option<Time>, // When this life took it on; none if an earlier one did.
    expires: Time,
    attempts: u32,
    out: Option<Attempt>,
    ran: Option<(Time, EndpointId)>, // The first attempt that may have run.
    ended: bool,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    call: u64,
    endpoint: EndpointId,
    sent: Time,
    idled: bool,   // Sent over a connection that had been idle.
    hurried: bool, // Cut at its message's deadline, before its patience was over.
}

#[derive(Default)]
struct KeyLine {
    queue: VecDeque<MessageId>,
    rest_until: Time,
}

/// The decisions of one courier.
#[derive(Default)]
pub struct Scheduler {
    set: Settings,
    seed: u64,
    messages: BTreeMap<MessageId, Message>,
    held: Held,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Vec<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    /// Refusals of a destination running, over all its routes, and until when they hold it back.
    crowds: BTreeMap<DestinationId, (u32, Time)>,
    refusals: u64,
    /// Calls that are out: their route, and the number of messages that still lack their outcome.
    calls: BTreeMap<u64, (RouteId, usize)>,
    keys: BTreeMap<OrderingKey, KeyLine>,
    flows: Vec<(f64, Time)>, // For each tenant its rate as it was at a time.
    typical: Option<f64>,
    taken: f64, // Messages taken since the start, and when that was.
    began: Option<Time>,
    next_call: u64,
    outs: BTreeSet<RouteId>, // Routes that are out.
    some_gone: bool,         // Endpoints may be gone and not forgotten yet.
    /// For each kind, the moving share of calls that got no connection where others were served.
    crowded: BTreeMap<KindId, f64>,
    timer: Option<(Time, u64)>,
    next_token: u64,
    resubscribe: Option<Time>,
    list_failures: i32, // Calls for the list that failed, running.
    lost: f64, // Moving share of calls that later ones at their route overtook and that never came back.
    notes: Vec<String>,
}

impl Scheduler {
    /// A courier that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        let flows = vec![(0.0, Time(0)); settings.tenants.len()];
        Scheduler { flows, set: settings, seed, ..Scheduler::default() }
    }

    /// Takes all that one batch brought, then decides.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let ask = self.set.discovery == DiscoveryMode::Subscribe;
        if ask && (self.began.is_none() || self.resubscribe.is_some_and(|at| at <= now)) {
            self.resubscribe = None;
            actions.push(Action::Subscribe);
        }
        self.began.get_or_insert(now);
        events.iter().for_each(|event| self.absorb(now, event, actions));
        self.forget_gone();
        self.give_up(now, actions);
        self.probe(now, actions);
        self.release(now, actions);
        self.make_room(now, actions);
        self.arm(now, actions);
        self.keys.retain(|_, line| !line.queue.is_empty() || line.rest_until > now);
        actions.extend(self.notes.drain(..).map(Action::Log));
    }

    fn absorb(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Accepted(handed) => self.accept(now, handed, None, actions),
            Event::Resumed(handed, past) => self.accept(now, handed, Some(past), actions),
            Event::AttemptFinished {
                message,
                outcome,
                duration: took,
                is_final: last,
                rate_limit: report,
                ..
            } => {
                if let Some(was) = self.closed(now, *message, *outcome, *last) {
                    let route = self.routes.get_mut(&self.endpoints[&was.endpoint].route);
                    let told = report.limit.filter(|limit| *limit > 0.0 && limit.is_finite());
                    let even = 1.0 / self.set.instances.max(1) as f64;
                    route.into_iter().for_each(|route| route.told_limit(told, even));
                    // A call cut short by its message's deadline says nothing of its route.
                    let short = was.hurried && *outcome == Outcome::TimedOut;
                    let outcome = if short { Outcome::Cancelled } else { *outcome };
                    self.learn(now, was.endpoint, was.sent, Some(*took), outcome);
                    let low = report.remaining.is_some_and(|left| left < LEFT_LEAST);
                    if low && outcome == Outcome::Delivered {
                        self.spare(now, self.endpoints[&was.endpoint].route);
                    }
                    self.learn_connections(now, &was, outcome, actions);
                }
            }
            Event::Cancelled(message) => self.gone(*message, actions),
            Event::RouteRestored(id, endpoint, cold) => self.recall(now, RouteId(*id, *endpoint), cold),
            Event::BackoffNotified(to, endpoint, until) => self.waits(*to, *endpoint, *until),
            Event::TimerFired(token) => self.timer = self.timer.filter(|(_, set)| set != token),
            Event::HealthChecked { endpoint, outcome, .. } => {
                let route = self.endpoints.get(endpoint).and_then(|e| self.routes.get_mut(&e.route));
                route.into_iter().for_each(|route| route.probing = false);
                self.learn(now, *endpoint, now, None, *outcome);
            }
            Event::EndpointsReplaced(entries) | Event::EndpointsUpdated(entries) => {
                self.list_failures = 0;
                if matches!(event, Event::EndpointsReplaced(_)) {
                    self.endpoints
                        .values_mut()
                        .for_each(|endpoint| endpoint.listing = EndpointStatus::Removed);
                    self.some_gone = true;
                }
                self.list(entries);
            }
            Event::EndpointListFailed => {
                let own = 0.5 + self.draw(u64::MAX >> 8 ^ self.list_failures as u64);
                let wait = RESUBSCRIBE_MS * 2f64.powi(self.list_failures.min(RESUBSCRIBE_MOST)) * own;
                let most = Some(self.set.rules.max_poll_interval.ms() / 2.0).filter(|most| *most > 0.0);
                self.list_failures += 1;
                self.resubscribe = Some(now + Span::from_ms(most.map_or(wait, |most| wait.min(most))));
            }
        }
    }

    fn list(&mut self, entries: &[EndpointUpdate]) {
        for entry in entries {
            self.some_gone |= entry.status == EndpointStatus::Removed;
            let apart = self.set.kinds.get(entry.kind.0).is_some_and(|kind| kind.separate_routes);
            let route = RouteId(entry.destination, Some(entry.endpoint).filter(|_| apart));
            let phase = self.draw(u64::from(entry.endpoint.0) << 32);
            // Couriers that learn of it together do not all begin with it.
            let turn = self.reached(entry.destination) - entry.weight.map_or(0.0, |weight| phase / weight);
            let place = Endpoint { route, kind: entry.kind, zone: entry.zone, turn, ..Endpoint::default() };
            let known = self.endpoints.entry(entry.endpoint).or_insert(place);
            (known.listing, known.weight) = (entry.status, entry.weight);
            let all = self.destinations.entry(entry.destination).or_default();
            if !all.contains(&entry.endpoint) {
                all.push(entry.endpoint);
            }
            let route = self.routes.entry(route).or_insert_with(|| Route { phase, ..Route::default() });
            route.share = entry.advertised_rate;
            route.destination = Some(entry.destination);
        }
    }

    /// What is gone and carries no call is forgotten, with its route where that is its own.
    fn forget_gone(&mut self) {
        if !std::mem::take(&mut self.some_gone) {
            return;
        }
        for (id, endpoint) in &self.endpoints {
            if endpoint.listing != EndpointStatus::Removed || endpoint.out > 0 {
                self.some_gone |= endpoint.listing == EndpointStatus::Removed;
                continue;
            }
            if let Some(all) = self.destinations.get_mut(&endpoint.route.0) {
                all.retain(|other| other != id);
            }
            if endpoint.route.1.is_some() {
                self.routes.remove(&endpoint.route);
                self.outs.remove(&endpoint.route);
            }
        }
        self.endpoints.retain(|_, endpoint| endpoint.listing != EndpointStatus::Removed || endpoint.out > 0);
    }

    fn accept(
        &mut self,
        now: Time,
        handed: &NewMessage,
        past: Option<&PriorAttempts>,
        actions: &mut Vec<Action>,
    ) {
        let Some(class) = self.set.classes.get(handed.class.0) else {
            return actions.push(Action::Fail(handed.message));
        };
        // A deadline of its own may lie farther off than the class's; nothing is younger than new.
        let born = (handed.deadline - class.deadline).min(now);
        let (worth, ordered) = (class.priority_weight, class.ordered);
        let over = handed.tenant.is_some_and(|tenant| self.over_share(now, tenant));
        let key = handed.ordering_key.filter(|_| ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(handed.message);
        }
        self.taken += 1.0;
        let worth = if over { worth * self.set.over_quota_weight } else { worth };
        let (class, destination, expires) = (handed.class, handed.destination, handed.deadline);
        // The window, the count of attempts and what a repeat may do hold across the lives of a courier.
        let (attempts, ran) = past.map_or((0, None), |past| (past.attempts, past.first_executed));
        if attempts > 0 {
            // An earlier life tried in vain: to this one the route is one that has not answered of late.
            for id in self.destinations.get(&destination).into_iter().flatten() {
                let route = self.routes.get_mut(&self.endpoints[id].route).expect("an endpoint has a route");
                route.usual_at.get_or_insert(now - SILENT_LONG);
            }
        }
        let (out, ended) = (past.and_then(|past| self.still_out(past.in_flight?)), false);
        if let Some(known) = self.messages.get(&handed.message) {
            self.held.remove(known.destination, known.expires, handed.message);
        }
        if out.is_none() {
            self.held.insert(destination, expires, handed.message, attempts > 0 || ran.is_some());
        }
        let taken = Some(now).filter(|_| past.is_none());
        let message =
            Message { class, destination, key, worth, born, taken, expires, attempts, out, ran, ended };
        self.messages.insert(handed.message, message);
    }

    /// Counts a message against its tenant's share and says whether it lies beyond it. This courier's
    /// part of a share is what its part of the other tenants' traffic suggests, 1/n at the least.
    fn over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let fade = |(rate, at): (f64, Time)| rate * (-(now - at).secs() / QUOTA_S).exp();
        let Some(flow) = self.flows.get_mut(tenant.0) else { return false };
        *flow = (fade(*flow) + 1.0 / QUOTA_S, now);
        let others = (0..self.flows.len()).filter(|other| *other != tenant.0);
        let (rates, quotas) = others.fold((0.0, 0.0), |(rates, quotas), other| {
            (rates + fade(self.flows[other]), quotas + self.set.tenants[other].quota_per_s)
        });
        let even = 1.0 / self.set.instances.max(1) as f64;
        let part = if quotas > 0.0 { even.max(rates / quotas) } else { even };
        let allowed = self.set.tenants[tenant.0].quota_per_s * part;
        self.flows[tenant.0].0 > allowed + 2.0 * (allowed / QUOTA_S).sqrt()
    }

    fn gone(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.out.is_some() && self.set.limits.cancellation_allowed {
            actions.push(Action::Cancel { message: id, attempt: AttemptNumber(message.attempts - 1) });
        }
        self.finish(id);
    }

    /// Forgets a message that is over, or as much of it as its attempt does not still need.
    fn finish(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.held.remove(message.destination, message.expires, id);
        message.ended = true;
        if message.out.is_some() {
            return;
        }
        if let Some(line) = message.key.and_then(|key| self.keys.get_mut(&key)) {
            line.queue.retain(|queued| *queued != id);
        }
        self.messages.remove(&id);
    }

    /// Takes the end of an attempt; gives it back if with it the whole call has ended.
    fn closed(&mut self, now: Time, id: MessageId, outcome: Outcome, last: bool) -> Option<Attempt> {
        let message = self.messages.get_mut(&id)?;
        let attempt = message.out.take()?;
        let never_ran = outcome.not_executed();
        if !never_ran && message.ran.is_none() {
            message.ran = Some((attempt.sent, attempt.endpoint));
        }
        let ended = matches!(outcome, Outcome::Delivered | Outcome::Error);
        let running = !never_ran && !ended;
        if let (Some(line), true) = (message.key.and_then(|key| self.keys.get_mut(&key)), running) {
            line.rest_until = now + self.set.rules.ordering_pause;
        }
        if message.ended || last {
            self.finish(id);
        } else {
            self.held.insert(message.destination, message.expires, id, true);
        }
        // A told wait binds at once, whatever becomes of the other messages of the same call.
        if let Outcome::Rejected { retry_after: Some(wait) } = outcome {
            let route = self.endpoints[&attempt.endpoint].route;
            self.routes.get_mut(&route).expect("an endpoint has a route").told(now + wait);
        }
        let (_, left) = self.calls.get_mut(&attempt.call)?;
        *left -= 1;
        if *left > 0 {
            return None;
        }
        self.calls.remove(&attempt.call);
        Some(attempt)
    }

    /// Idle connections do harm where so many couriers keep them that an endpoint takes no more, and where
    /// they are dropped unseen: calls get no connection, or get lost after a pause, while others are served.
    /// Then those of such a kind are closed after each call. Harm: each call pays for a new one.
    fn learn_connections(&mut self, now: Time, was: &Attempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let vary = self.vary();
        let Some(endpoint) = self.endpoints.get_mut(&was.endpoint) else { return };
        let route = self.routes.get_mut(&endpoint.route).expect("an endpoint has a route");
        let (kind, crowded) = (endpoint.kind, self.crowded.entry(endpoint.kind).or_default());
        let before = *crowded;
        match outcome {
            Outcome::ConnectFailed => route.unconnected = Some((now, CROWD_JUMP)),
            Outcome::TimedOut | Outcome::Reset if was.idled => route.unconnected = Some((now, REAP_JUMP)),
            Outcome::Delivered => {
                let lately = route.unconnected.take().filter(|(at, _)| now - *at < SHUN);
                let warm = route.health.stage() == Stage::Warm;
                let jump = lately.filter(|_| warm).map_or(0.0, |(_, jump)| jump);
                *crowded += CROWD_WEIGHT * (jump * vary - *crowded);
            }
            _ => {}
        }
        // All that are idle go at once when it is found out: each would hold its place for long.
        let (found, idle) = (before <= CROWDED, |e: &Endpoint| e.out == 0 && e.used.is_some());
        for (id, other) in self.endpoints.iter_mut().filter(|_| *crowded > CROWDED) {
            if (*id == was.endpoint || found && other.kind == kind) && idle(other) {
                actions.push(Action::CloseIdleConnections(*id));
                other.used = None;
            }
        }
    }

    /// Leaves a destination alone for about the time between two calls of this courier's part of its limit.
    fn spare(&mut self, now: Time, id: RouteId) {
        let Some(rate) = self.allowed(&self.routes[&id]) else { return };
        self.refusals += 1;
        let phase = self.draw(self.refusals << 20);
        self.crowds.insert(id.0, (0, now + Span::from_ms(1000.0 / rate * CROWD_PART * (0.5 + phase))));
    }

    /// What the end of a call, which took some time, or of a probe tells of its endpoint and its route.
    fn learn(&mut self, now: Time, id: EndpointId, sent: Time, call: Option<Span>, outcome: Outcome) {
        let (phase, vary) = (self.draw(self.refusals << 20), self.vary());
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        // Time between two calls, in ms, if this courier kept to its part of all of the destination's routes.
        let routes = endpoint.route.1.map_or(1, |_| self.destinations[&endpoint.route.0].len());
        let interval = 1000.0 / (self.own_rate(now, &self.routes[&endpoint.route]) * routes as f64);
        let part = self.allowed(&self.routes[&endpoint.route]).map_or(CROWD_GUESSED, |_| CROWD_PART);
        let sight = self.sight(&self.routes[&endpoint.route]).filter(|_| vary == 0.0);
        let endpoint = self.endpoints.get_mut(&id).expect("just found");
        let route = self.routes.get_mut(&endpoint.route).expect("an endpoint has a route");
        if call.is_some() {
            endpoint.out = endpoint.out.saturating_sub(1);
            endpoint.used = Some(now);
            if let Some(place) = route.out.iter().position(|out| *out == sent) {
                route.out.swap_remove(place);
            }
        }
        match outcome {
            Outcome::Delivered => {
                self.lost -= CROWD_WEIGHT * self.lost;
                if let Some(took) = call {
                    let means = [&mut endpoint.mean, &mut route.mean, &mut self.typical];
                    means.into_iter().for_each(|mean| blend(mean, took.ms()));
                }
                endpoint.back = endpoint.failed.take().map(|_| now).or(endpoint.back);
                if let Some((cap, since)) = &mut endpoint.conn_cap {
                    *cap += usize::from(now - *since > CAP_REST);
                }
                let quiet = route.usual_at.is_some_and(|at| now - at >= SILENT_LONG);
                if quiet {
                    let waiting = self.held.line(endpoint.route.0).map_or(0, Line::len);
                    let many = (SILENT_BACKLOG / self.set.instances.max(1) as f64).ceil().max(SILENT_LEAST);
                    if waiting >= many as usize {
                        route.health.woke(now);
                    }
                }
                route.good(now, sent, self.set.rules.ramp_duration, sight);
                self.crowds.remove(&endpoint.route.0);
            }
            Outcome::Rejected { retry_after: wait } => {
                route.told(now + wait.unwrap_or(Span::ZERO));
                route.refused(now, sent, PACE_LEAST / self.set.instances.max(1) as f64, sight);
                // No limit makes anyone wait longer than the span of the rule: it is shut. Harm: one does.
                if wait.is_some_and(|wait| wait > self.set.rules.overload_window) {
                    route.streak = route.streak.max(FAILS_OUT);
                }
                self.refusals += 1;
                let (running, until) = self.crowds.entry(endpoint.route.0).or_default();
                let times = f64::from(1u32 << (*running).min(CROWD_MOST));
                *running += 1;
                let told = wait.map_or(0.0, Span::ms);
                let hold = Span::from_ms(vary * (told + interval * part * times * (0.5 + phase)));
                *until = now + hold;
            }
            Outcome::ConnectFailed if endpoint.out > 0 && endpoint.failed.is_none() => {
                endpoint.conn_cap = Some((endpoint.out, now));
            }
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                endpoint.failed = Some(now);
                endpoint.conns = endpoint.out;
                let timed_out = call.is_some() && outcome == Outcome::TimedOut;
                let overtaken = Some(sent) < route.last_good_send;
                route.timeouts += i32::from(timed_out && !overtaken);
                if timed_out && overtaken {
                    let counts = if self.lost > LOSSY { 0.5 } else { 1.0 };
                    self.lost += CROWD_WEIGHT * (counts - self.lost);
                }
                route.failed(sent, 1.0);
            }
            // Hosts drop kept connections by the dozen; taken for failures, routes would go out by chance.
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
        let route = endpoint.route;
        self.judge(now, route, sent, outcome == Outcome::Delivered);
    }

    /// Judges whether a route is out, and whether one that was out has come back.
    fn judge(&mut self, now: Time, id: RouteId, sent: Time, answered: bool) {
        // As many failed calls running as come in the time that three take at a busy route, or a least.
        let (cold, least) = (self.set.rules.ramp_duration, FAILS_OUT - self.vary());
        let held = || self.held.line(id.0).is_some();
        let route = self.routes.get_mut(&id).expect("only routes in use are judged");
        let failing = route.streak >= (FAILS_OUT * route.usual).clamp(least, FAILS_OUT);
        if !route.health.judged(now, sent, answered, failing, held, cold) {
            return;
        }
        let is_out = route.health.is_down();
        let text = if is_out { "judged out" } else { "answers again" };
        if is_out {
            self.outs.insert(id);
            (route.usual, route.usual_at) = (route.usual(now), Some(now));
        } else {
            self.outs.remove(&id);
        }
        self.notes.push(format!("{id:?} {text}"));
    }

    /// Calls a second that this courier may count on as its own part of a route's full rate: what it is used
    /// to delivering there, drawn towards an even part of the reported or listed rate, or of its own traffic
    /// over all destinations. So the parts of all couriers add up to no more than the route bears.
    fn own_rate(&self, now: Time, route: &Route) -> f64 {
        let couriers = self.set.instances.max(1) as f64;
        let listed = Some(route.share.max(LEAST_RATE)).filter(|_| self.set.rate_hints != RateHints::Absent);
        let age = self.began.map_or(0.0, |began| (now - began).secs()).max(USUAL_S);
        let mine = self.taken.max(1.0) / age / self.destinations.len().max(1) as f64;
        let part = if self.set.rate_hints == RateHints::Exact { 1.0 } else { LISTED_PART };
        let even = |rate: Option<f64>| rate.map_or(mine, |rate| rate * part / couriers);
        let settled = route.health.settled(now, self.set.rules.ramp_duration);
        let usual = if settled { route.usual(now) } else { route.usual };
        let few = (1.0 - self.vary()) * usual.max(even(listed)).max(LEAST_RATE / couriers);
        let own = few.max((1.0 + usual * USUAL_S) / (1.0 / even(route.limit.or(listed)).max(1e-6) + USUAL_S));
        // Where a limit is told, one among many may count on its even part, whatever it sent there before.
        route.limit.map_or(own, |limit| own + self.vary() * (limit / couriers - own))
    }

    /// How far this courier can tell refusals by chance from a route's limit: not at all among others that
    /// share a route nobody has listed.
    fn sight(&self, route: &Route) -> Option<Sight> {
        let couriers = self.set.instances.max(1) as f64;
        let alone = Some(f64::INFINITY).filter(|_| couriers == 1.0);
        Some(Sight { couriers, room: self.listed(route).map(|rate| rate / couriers).or(alone)? })
    }

    /// Calls a second that a route is listed to bear from all couriers together, if the list says so.
    fn listed(&self, route: &Route) -> Option<f64> {
        Some(route.share).filter(|rate| self.set.rate_hints != RateHints::Absent && *rate > LEAST_RATE)
    }

    /// From when on the rule of fail-back leaves a route that is out, or just back, another call.
    fn spaced(&self, now: Time, route: &Route) -> Time {
        let couriers = self.set.instances.max(1) as f64;
        let terms = Terms { rules: &self.set.rules, couriers, vary: self.vary() };
        // What it is listed to bear, or was seen to bear where that is more, and a little to catch up with.
        let most = self.listed(route).map(|rate| CATCH_UP * route.usual.max(rate / couriers));
        let own = self.own_rate(now, route);
        let part = Part { own, most, phase: route.phase, wait_until: route.wait_until };
        route.health.opens(now, &terms, &part)
    }

    /// The latest turn of a destination's endpoints so far.
    fn reached(&self, id: DestinationId) -> f64 {
        let all = self.destinations.get(&id).into_iter().flatten();
        all.map(|id| self.endpoints[id].turn).fold(0.0, f64::max)
    }

    /// Where weights are given, calls go by turns: each puts its endpoint's next one part in its weight off.
    /// None lies before the last call's: nobody makes up for what it missed while it was out or weighed less.
    fn turn(&self, now: Time, endpoint: &Endpoint) -> Option<f64> {
        let weight = endpoint.weight?;
        let back = endpoint.failed.map(|_| now).or(endpoint.back);
        let warmth = back.map_or(1.0, |at| self.set.rules.warmth(now - at));
        Some(self.reached(endpoint.route.0).max(endpoint.turn + 1.0 / (weight * warmth).max(1e-9)))
    }

    /// The routes of a destination's listed endpoints.
    fn routes_of(&self, id: DestinationId) -> impl Iterator<Item = &Route> {
        let places = self.destinations.get(&id).into_iter().flatten().map(|id| &self.endpoints[id]);
        places.filter(|place| place.listing == EndpointStatus::Active).map(|place| &self.routes[&place.route])
    }

    /// The call time to expect of a route, in ms.
    fn mean(&self, route: &Route) -> f64 {
        route.mean.or(self.typical).unwrap_or(FIRST_GUESS_MS)
    }

    /// Calls of a route that are out for long, with none sent since that has come back.
    fn overdue(&self, now: Time, route: &Route) -> usize {
        let limit = now - Span::from_ms(SILENCE * self.mean(route) + SILENCE_MS);
        route.out.iter().filter(|sent| **sent < limit && Some(**sent) > route.last_good_send).count()
    }

    fn sick(&self, now: Time, route: &Route) -> bool {
        route.health.is_down() || route.streak >= 1.0 || self.overdue(now, route) > 0
    }

    /// Slots held by routes in trouble.
    fn sick_calls(&self, now: Time) -> usize {
        self.calls.values().filter(|(route, _)| self.sick(now, &self.routes[route])).count()
    }

    /// Calls a second that are this courier's among many, where a limit is told or listed.
    fn allowed(&self, route: &Route) -> Option<f64> {
        allowance::part(route.limit.or(self.listed(route))?, self.set.instances, self.vary())
    }

    /// From when on one more call may go to a route; `None` while only an outcome can open it.
    fn open(&self, now: Time, route: &Route) -> Option<Time> {
        let mut at = route.wait_until.map_or(now, |until| until.max(now));
        let crowd = route.destination.and_then(|id| self.crowds.get(&id));
        at = crowd.map_or(at, |(_, until)| at.max(*until));
        let silent = self.overdue(now, route) >= SILENT_CALLS;
        let slots = self.set.limits.max_in_flight as f64;
        if self.sick(now, route) && self.sick_calls(now) >= ((slots * SICK_PART) as usize).max(1) {
            return None;
        }
        let share = (slots * ROUTE_PART).ceil();
        let most = if route.mean.is_some() { share } else { UNMET_CALLS };
        // Each failed call since the last good one leaves a route fewer slots, long before it is judged out.
        let most = (most / (1.0 + route.streak)).ceil().max(1.0) as usize;
        let out = route.health.is_down();
        if !out && (route.out.len() >= most || silent) || out && (route.out.len() >= TRIALS || route.probing)
        {
            return None;
        }
        at = at.max(self.spaced(now, route));
        at = self.allowed(route).map_or(at, |rate| at.max(route.allowance.next(now, rate)));
        Some(route.pace.as_ref().map_or(at, |pace| at.max(pace.next(now))))
    }

    /// Whether a message may go to an endpoint as far as its effect is concerned.
    fn permitted(&self, now: Time, message: &Message, id: EndpointId, endpoint: &Endpoint) -> bool {
        let Some((first, earlier)) = message.ran else { return true };
        match self.set.classes[message.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        self.endpoints.get(&earlier).is_some_and(|e| e.zone == endpoint.zone)
                    }
                    DeduplicationScope::Endpoint => id == earlier,
                };
                same && now - first < window
            }
        }
    }

    /// The endpoint that a message would go to now: the one expected to answer soonest, fees counted.
    /// Of none in particular, it is one that never ran and may go anywhere.
    fn pick(&self, now: Time, to: DestinationId, message: Option<&Message>) -> Option<(EndpointId, f64)> {
        let all = self.destinations.get(&to)?;
        let vary = self.vary();
        let mut best: Option<(f64, EndpointId, f64)> = None;
        for &id in all {
            let endpoint = &self.endpoints[&id];
            let route = &self.routes[&endpoint.route];
            let capped = endpoint.conn_cap.is_some_and(|(cap, _)| endpoint.out >= cap);
            if endpoint.listing != EndpointStatus::Active
                || capped
                || message.is_some_and(|message| !self.permitted(now, message, id, endpoint))
                || self.open(now, route).is_none_or(|at| at > now)
            {
                continue;
            }
            let mean = self.mean(route);
            let own = endpoint.mean.unwrap_or(mean);
            let mut cost = own * (1.0 + 0.5 * endpoint.out as f64);
            let streams = self.set.limits.streams_per_connection.max(1);
            let idle = endpoint.used.is_none_or(|at| now - at > self.set.limits.idle_timeout);
            if idle || endpoint.out >= endpoint.conns * streams {
                cost += CONNECT_PART * mean;
            }
            if endpoint.route.1.is_some() {
                cost *= 1.0 + TOLL_WEIGHT * self.set.zone_fees.get(endpoint.zone.0).copied().unwrap_or(0.0);
            }
            let shunned = if endpoint.failed.is_some_and(|at| now - at < SHUN) { 1000.0 } else { 1.0 };
            // Exponential draws over rates: the least falls to each endpoint by its part of the rates.
            let draw = -self.draw(u64::from(id.0)).clamp(0.02, 0.98).ln();
            let taste = vary.max(TASTE[usize::from(endpoint.route.1.is_some())]);
            cost *= shunned * (draw / route.share.max(0.01)).powf(taste);
            cost = self.turn(now, endpoint).map_or(cost, |turn| turn + (shunned - 1.0) * 1e9);
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, id, mean));
            }
        }
        best.map(|(_, id, mean)| (id, mean))
    }

    /// How little of the load this courier sees.
    fn vary(&self) -> f64 {
        (1.0 - FEW_COURIERS / self.set.instances.max(1) as f64).max(0.0)
    }

    /// A number in 0..1 that this courier keeps for something with a number.
    fn draw(&self, of: u64) -> f64 {
        let mixed = (self.seed ^ of.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD134_2543_DE82_EF95);
        ((mixed ^ (mixed >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64
    }

    fn decayed(&self, now: Time, message: &Message) -> f64 {
        let class = &self.set.classes[message.class.0];
        let halvings = match self.set.value_decay {
            ValueDecay::Halving => 1.0 / class.latency_objective.ms().max(1.0),
            ValueDecay::Linear => {
                -class.late_value.clamp(LEAST_LATE, 1.0).log2() / class.deadline.ms().max(1.0)
            }
        };
        message.worth * (-halvings * (now - message.born).ms()).exp2()
    }

    /// Whether order by key holds a message back, and until when if that is known.
    fn key_rest(&self, id: MessageId, message: &Message) -> Option<Time> {
        let past = Some(Time(i64::MIN));
        let Some(line) = message.key.and_then(|key| self.keys.get(&key)) else { return past };
        // A message's own further attempts do not wait for itself.
        let rest = if message.ran.is_some() { past } else { Some(line.rest_until) };
        rest.filter(|_| line.queue.front() == Some(&id))
    }

    /// The held message to release now, and where to.
    fn best(&self, now: Time) -> Option<(MessageId, EndpointId)> {
        let mut best: Option<(f64, MessageId, EndpointId)> = None;
        for (to, line) in self.held.lines() {
            // Where what never ran may not go, nothing may: of a shut destination none is looked at.
            let Some(any) = self.pick(now, to, None) else { continue };
            for id in line.all() {
                let message = &self.messages[&id];
                if self.key_rest(id, message).is_none_or(|at| at > now) {
                    continue;
                }
                let own = message.ran.map_or(Some(any), |_| self.pick(now, to, Some(message)));
                let Some((endpoint, mean)) = own else { continue };
                let score = self.decayed(now, message) / mean;
                if best.is_none_or(|(most, first, _)| score > most || score == most && id < first) {
                    best = Some((score, id, endpoint));
                }
            }
        }
        best.map(|(_, id, endpoint)| (id, endpoint))
    }

    fn release(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.calls.len() < self.set.limits.max_in_flight {
            let Some((first, endpoint)) = self.best(now) else { return };
            let load = [vec![first], self.mates(now, first, endpoint)].concat();
            self.send(now, &load, endpoint, actions);
        }
    }

    /// Further messages that may share a call, the most valuable first.
    fn mates(&self, now: Time, first: MessageId, endpoint: EndpointId) -> Vec<MessageId> {
        let place = &self.endpoints[&endpoint];
        let most = self.set.kinds.get(place.kind.0).map_or(1, |kind| kind.max_batch.max(1));
        let line = self.held.line(place.route.0).filter(|_| most > 1);
        let fits = |id: &MessageId| {
            let message = &self.messages[id];
            *id != first
                && self.permitted(now, message, endpoint, place)
                && self.key_rest(*id, message).is_some_and(|at| at <= now)
        };
        let mut mates: Vec<MessageId> = line.into_iter().flat_map(Line::all).filter(fits).collect();
        let worth = |id: &MessageId| self.decayed(now, &self.messages[id]);
        mates.sort_by(|a, b| worth(b).total_cmp(&worth(a)).then(a.cmp(b)));
        mates.truncate(most - 1);
        mates
    }

    /// The only way out: one call with these messages to one endpoint.
    fn send(&mut self, now: Time, load: &[MessageId], id: EndpointId, actions: &mut Vec<Action>) {
        let route = &self.routes[&self.endpoints[&id].route];
        let (mean, allowed) = (self.mean(route), self.allowed(route));
        let streams = self.set.limits.streams_per_connection.max(1);
        let turn = self.turn(now, &self.endpoints[&id]);
        let endpoint = self.endpoints.get_mut(&id).expect("only listed endpoints are picked");
        endpoint.turn = turn.unwrap_or(endpoint.turn);
        let route = self.routes.get_mut(&endpoint.route).expect("an endpoint has a route");
        let call = self.next_call;
        self.next_call += 1;
        let kept = |at| now - at > PAUSE && now - at < self.set.limits.idle_timeout;
        let idled = endpoint.out == 0 && endpoint.used.is_some_and(kept);
        if idled && self.crowded.get(&endpoint.kind).is_some_and(|crowded| *crowded > CROWDED) {
            actions.push(Action::CloseIdleConnections(id));
        }
        let backoff = BACKOFF.powi(route.timeouts.min(BACKOFF_MOST));
        let part = if self.lost > LOSSY { LOSSY_PART } else { 1.0 };
        let patience = (PATIENCE * mean).max(LEAST_PATIENCE_MS) * backoff * part;
        for &message_id in load {
            let message = self.messages.get_mut(&message_id).expect("held messages are known");
            let once = self.set.classes[message.class.0].idempotency == Idempotency::NonIdempotent;
            let patience = if once { patience * UNSAFE_PATIENCE } else { patience };
            let patient = now + Span::from_ms(patience);
            let (cut_at, hurried) = (message.expires.min(patient), message.expires < patient);
            message.attempts += 1;
            message.out = Some(Attempt { call, endpoint: id, sent: now, idled, hurried });
            self.held.remove(message.destination, message.expires, message_id);
            actions.push(Action::Send { message: message_id, endpoint: id, timeout_at: cut_at });
        }
        self.calls.insert(call, (endpoint.route, load.len()));
        if endpoint.used.is_none_or(|at| now - at > self.set.limits.idle_timeout) {
            endpoint.conns = 0;
        }
        endpoint.out += 1;
        endpoint.used = Some(now);
        endpoint.conns = endpoint.conns.max(endpoint.out.div_ceil(streams));
        route.out.push(now);
        allowed.into_iter().for_each(|rate| route.allowance.sent(now, rate));
        route.sent(now, RECENT.max(self.set.rules.overload_window));
    }

    /// Ends what can no longer be delivered.
    fn give_up(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        for (to, line) in self.held.lines() {
            let (opens, quickest) = self.outlook(now, to);
            let waits = self.routes_of(to).map(|route| route.wait_until).min().flatten();
            // Another courier may find one open, so the client of a message that comes now is told at once;
            // one that may have run, or is owed a try, waits for an outcome to open its route.
            let is_lost = |id: &MessageId| {
                let message = &self.messages[id];
                let until = if self.is_owed(now, message) { waits } else { opens };
                let shut_out = message.ran.is_none() && until > Some(message.expires);
                shut_out || self.hopeless_at(message, quickest) <= now
            };
            // Those never tried are lost in the order of their deadlines.
            lost.extend(line.fresh.iter().map(|(_, id)| *id).take_while(is_lost));
            lost.extend(line.tried.iter().copied().filter(is_lost));
        }
        lost.sort_unstable();
        for id in lost {
            self.end(now, id, actions);
        }
    }

    /// Whether a message was taken on, has surely not run and has time left in which it is owed a try.
    fn is_owed(&self, now: Time, message: &Message) -> bool {
        let owed_for = Span::from_ms((message.expires - message.born).ms() * OWED_PART);
        message.taken != Some(now) && message.ran.is_none() && now < message.born + owed_for
    }

    /// What would be lost with a message. What a restart found is not outbid by what is new for its age.
    fn stake(&self, now: Time, message: &Message) -> f64 {
        let price = if self.is_owed(now, message) { OWED_PRICE * message.worth } else { 0.0 };
        let ages = message.taken.is_some() || price == 0.0;
        price + if ages { self.decayed(now, message) } else { message.worth }
    }

    /// Ends what there is no room to hold, once what may leave has left: one of little worth that goes at
    /// once needs no room, though all that wait for a busy destination are worth more.
    fn make_room(&mut self, now: Time, actions: &mut Vec<Action>) {
        let room = (self.set.limits.max_pending as f64 * HOLD_PART) as usize;
        while self.messages.len() > room.max(1) {
            let worth = |id: &MessageId| self.stake(now, &self.messages[id]);
            let least = self.held.all().min_by(|a, b| worth(a).total_cmp(&worth(b)).then(a.cmp(b)));
            let Some(least) = least else { return };
            self.end(now, least, actions);
        }
    }

    /// When the first route of a destination opens (`None`: an outcome may open one) and its quickest call.
    fn outlook(&self, now: Time, id: DestinationId) -> (Option<Time>, Span) {
        let opens = self.routes_of(id).map(|route| self.open(now, route));
        (opens.reduce(|a, b| Some(a?.min(b?))).flatten(), self.quickest(id))
    }

    /// The call time to expect of a destination's quickest route.
    fn quickest(&self, id: DestinationId) -> Span {
        let least = self.routes_of(id).map(|route| self.mean(route)).fold(f64::INFINITY, f64::min);
        Span::from_ms(if least.is_finite() { least } else { 0.0 })
    }

    /// When a held message is lost: the late gate, the end of its key's window, its attempts used up.
    fn hopeless_at(&self, message: &Message, quickest: Span) -> Time {
        let (past, used_up) = (Time(i64::MIN), message.attempts >= self.set.limits.max_attempts);
        let late = message.expires - quickest;
        match (self.set.classes[message.class.0].idempotency, message.ran) {
            _ if used_up => past,
            (Idempotency::NonIdempotent, Some(_)) => past,
            (Idempotency::IdempotencyKey { window, .. }, Some((first, _))) => late.min(first + window),
            _ => late,
        }
    }

    /// The only way to give a message up: refused where that is allowed, else failed; at once.
    fn end(&mut self, now: Time, id: MessageId, actions: &mut Vec<Action>) {
        let message = &self.messages[&id];
        let harmless = match self.set.classes[message.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => message.ran.is_none(),
        };
        if harmless && now < message.expires {
            let retry_in = self.come_back(now, message);
            actions.push(Action::Reject { message: id, retry_after: retry_in });
        } else {
            actions.push(Action::Fail(id));
        }
        self.finish(id);
    }

    /// When a refused client should come back: once a route of the destination opens.
    fn come_back(&self, now: Time, message: &Message) -> Span {
        let opens = self.routes_of(message.destination).filter_map(|route| self.open(now, route));
        let wait = opens.min().map_or(RETRY_MS, |at| (at - now).ms().max(RETRY_MS));
        Span::from_ms(wait).min(self.set.limits.max_retry_after)
    }

    /// Where probes are allowed, a route that is out is tried with a probe first.
    fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.set.limits.health_checks_allowed {
            return;
        }
        let keep = RECENT.max(self.set.rules.overload_window);
        for id in self.outs.clone() {
            let opens = self.open(now, &self.routes[&id]);
            let place = self.probe_place(id).filter(|_| opens.is_some_and(|at| at <= now));
            let Some(endpoint) = place else { continue };
            let route = self.routes.get_mut(&id).expect("only routes in use are judged");
            route.probing = true;
            route.sent(now, keep);
            actions.push(Action::HealthCheck(endpoint));
        }
    }

    /// The endpoint at which a route is probed.
    fn probe_place(&self, route: RouteId) -> Option<EndpointId> {
        let listed = |id: &EndpointId| self.endpoints[id].listing == EndpointStatus::Active;
        let all = self.destinations[&route.0].iter().copied().filter(listed);
        all.filter(|id| self.endpoints[id].route == route).min()
    }

    /// Sets the one timer for the next moment at which something can change without an event.
    fn arm(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut times: Vec<Time> = self.resubscribe.into_iter().collect();
        for (to, line) in self.held.lines() {
            let quickest = self.quickest(to);
            let first = line.fresh.first().map(|(_, id)| id);
            times.extend(
                first.into_iter().chain(&line.tried).map(|id| self.hopeless_at(&self.messages[id], quickest)),
            );
        }
        if !self.keys.is_empty() {
            let rests = self.held.all().filter_map(|id| self.key_rest(id, &self.messages[&id]));
            times.extend(rests.filter(|at| *at > now));
        }
        let opens = |route: &Route| self.open(now, route).filter(|at| *at > now);
        if self.calls.len() < self.set.limits.max_in_flight {
            times.extend(self.held.lines().flat_map(|(id, _)| self.routes_of(id)).filter_map(opens));
        }
        if self.set.limits.health_checks_allowed {
            let outs = self.outs.iter().filter(|route| self.probe_place(**route).is_some());
            times.extend(outs.filter_map(|id| opens(&self.routes[id])));
        }
        let next = times.into_iter().min().map(|at| at.max(now + self.set.min_batch_interval));
        let Some(at) = next.filter(|at| self.timer.is_none_or(|(set, _)| set > *at)) else { return };
        self.next_token += 1;
        self.timer = Some((at, self.next_token));
        actions.push(Action::SetTimer { at, token: self.next_token });
    }
}

fn blend(mean: &mut Option<f64>, sample: f64) {
    *mean = Some(match *mean {
        None => sample,
        Some(mean) => mean + MEAN_WEIGHT * (sample.min(TAIL_CLIP * mean.max(1.0)) - mean),
    });
}
