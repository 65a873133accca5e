//! The client side: accepts connections, reads requests one at a time, and answers with what the front
//! makes of the core's word.

use super::http::{self, Fault};
use super::link::{until, Link, Stop};
use crate::clock::unix_ms;
use crate::core::engine::EngineEvent;
use crate::core::{RequestId, SubmitResponse};
use crate::counters::{add, Counters};
use crate::log_line;
use crate::seam::{Front, Reply, Take};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::Instrument;

/// The longest head that is read.
const HEAD: usize = 16 * 1024;
/// The longest body; the protocol's bound.
pub const BODY: usize = 64 * 1024;
/// A connection may stand idle so long between requests ...
const IDLE: Duration = Duration::from_secs(75);
/// ... but where they become many, those go that have been idle for so long.
const IDLE_LEAST: Duration = Duration::from_millis(2050);
/// Many are more than this part of all that there may be: who asks once and stays must not use up the places
/// of those who still want to ask.
const MANY: usize = 4;
/// This part of all places is kept free: hundreds who connect at once, and say nothing or ask once and stay, must
/// not keep those waiting who have something to ask and go away after 400 ms.
const MARGIN: usize = 6;
/// Connections that may wait in the system's queue; what finds it full comes again a second later.
const BACKLOG: i32 = 1024;
/// How often they are counted.
const LOOK: Duration = Duration::from_millis(100);
/// What is turned away may go on sending for so long, so that the answer reaches it ...
const LINGER: Duration = Duration::from_millis(5000);
/// ... and what has been answered for so long.
const LINGER_ANSWERED: Duration = Duration::from_millis(500);

/// Spawns tasks without keeping their executor alive: tasks that held it would hold each other, and sockets of
/// an instance that ended would stay open for as long as the process runs.
#[derive(Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// One for an executor.
    pub fn new(tasks: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(tasks))
    }

    /// Starts a task that runs until it ends or the executor is dropped.
    pub fn spawn(&self, task: impl future::Future<Output = ()> + 'static) {
        if let Some(tasks) = self.0.upgrade() {
            tasks.spawn(task).detach();
        }
    }
}

/// How long a request may take from its first byte to its last; a connection's first one from when it opened.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeout(pub Duration);

/// What a connection is at. Those without an open request make room for new ones, the least useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Turned away; reads out what the far side still sends.
    Lingering,
    /// Nothing has come on it yet.
    Silent,
    /// Its last request is answered.
    Idle,
    /// A part of a request has come.
    Reading,
    /// A request waits for its answer.
    Open,
}

impl Phase {
    /// How long a connection must have been at it before it makes room: what has only just come may be about
    /// to ask. A crowd that says nothing must leave faster than it comes.
    fn spares(self) -> Option<Duration> {
        match self {
            Phase::Lingering => Some(Duration::from_millis(100)),
            Phase::Silent => Some(Duration::from_millis(5)),
            Phase::Idle => Some(Duration::from_millis(20)),
            Phase::Reading => Some(Duration::from_millis(500)),
            Phase::Open => None,
        }
    }
}

/// The place of one connection among all.
struct Connection {
    phase: Phase,
    since: Instant,
    leave: Sender<&'static str>,
}

/// All connections of the client side, by the order in which they came.
#[derive(Default)]
struct Connections {
    connections: RefCell<BTreeMap<u64, Connection>>,
    next: Cell<u64>,
}

impl Connections {
    /// Takes a place; gives its number and where the reason to leave it comes from.
    fn take(&self) -> (u64, Receiver<&'static str>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (leave, told) = async_channel::bounded(1);
        let connection = Connection {
            phase: Phase::Silent,
            since: Instant::now(),
            leave,
        };
        self.connections.borrow_mut().insert(number, connection);
        (number, told)
    }

    fn leave(&self, number: u64) {
        self.connections.borrow_mut().remove(&number);
    }

    fn is_at(&self, number: u64, phase: Phase) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(&number) {
            (connection.phase, connection.since) = (phase, Instant::now());
        }
    }

    /// Whether a connection waits for a request to begin.
    fn waits(&self, number: u64) -> bool {
        let phase = self
            .connections
            .borrow()
            .get(&number)
            .map(|connection| connection.phase);
        matches!(phase, Some(Phase::Silent | Phase::Idle))
    }

    fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Tells so many connections to leave that are the least use and have been so for longest, as far as they
    /// can be spared.
    fn make_room(&self, places: usize) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let spared = |connection: &&Connection| {
            connection
                .phase
                .spares()
                .is_some_and(|least| now - connection.since >= least)
        };
        let mut spared: Vec<&Connection> = connections.values().filter(spared).collect();
        spared.sort_by_key(|connection| (connection.phase, connection.since));
        for connection in spared.into_iter().take(places) {
            let _ = connection.leave.try_send("made-room");
        }
    }

    /// Tells the connections to leave that have been idle for so long, the longest first, as far as there are
    /// more than so many.
    fn thin_out(&self, idle_for: Duration, most: usize, code: &'static str) {
        self.thin_out_at(&[Phase::Idle], idle_for, most, code);
    }

    /// The same for connections at any of `phases`.
    fn thin_out_at(&self, phases: &[Phase], idle_for: Duration, most: usize, code: &'static str) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let idle = |connection: &&Connection| {
            phases.contains(&connection.phase) && now - connection.since >= idle_for
        };
        let mut idle: Vec<&Connection> = connections.values().filter(idle).collect();
        idle.sort_by_key(|connection| connection.since);
        for connection in idle
            .into_iter()
            .take(connections.len().saturating_sub(most))
        {
            let _ = connection.leave.try_send(code);
        }
    }
}

/// The way from socket code to the engine: a queue in, answers back by ticket.
pub struct ClientConnections {
    queue: Sender<EngineEvent>,
    answers: RefCell<HashMap<RequestId, Sender<SubmitResponse>>>,
    next: Cell<u64>,
    /// Set once the process is about to end: connections are then closed with their next answer.
    pub leaving: Cell<Option<Instant>>,
    connections: Connections,
    most_connections: usize,
    /// What is counted.
    pub counters: Rc<Counters>,
    /// Closed once no connection is to be accepted any more.
    accepting: (Sender<()>, Receiver<()>),
    /// Listeners that still accept.
    listeners: Cell<usize>,
    /// Whether operators send clients away: each connection is then closed with its next answer.
    drained: Cell<bool>,
}

impl ClientConnections {
    /// A desk in front of a queue, for so many connections at once.
    pub fn new(
        queue: Sender<EngineEvent>,
        most_connections: usize,
        counters: Rc<Counters>,
    ) -> ClientConnections {
        let (answers, next, leaving, connections) = Default::default();
        let accepting = async_channel::bounded(1);
        let (drained, listeners) = Default::default();
        ClientConnections {
            queue,
            answers,
            next,
            leaving,
            connections,
            most_connections,
            counters,
            accepting,
            listeners,
            drained,
        }
    }

    /// Sends clients away, or takes them again. Connections without an open request are closed at once, as
    /// clients keep using those that are open.
    pub fn drain(&self, drained: bool) {
        self.drained.set(drained);
        if drained {
            self.connections.thin_out(Duration::ZERO, 0, "drained");
        }
    }

    /// Whether clients are sent away.
    pub fn is_drained(&self) -> bool {
        self.drained.get()
    }

    /// Lets the listeners go, once the connections that wait in their queues are taken: those would be reset.
    pub fn stop_accepting(&self) {
        self.accepting.0.close();
    }

    /// Whether connections are still accepted.
    pub fn listens(&self) -> bool {
        self.listeners.get() > 0
    }

    /// Passes an answer of the engine on to whoever waits for it.
    pub fn answer(&self, ticket: RequestId, answer: SubmitResponse) {
        if let Some(waiting) = self.answers.borrow().get(&ticket) {
            let _ = waiting.try_send(answer);
        }
    }

    /// Answers all who wait.
    pub fn answer_all(&self, answer: SubmitResponse) {
        for waiting in self.answers.borrow().values() {
            let _ = waiting.try_send(answer);
        }
    }

    /// Puts something on the queue.
    pub async fn put(&self, input: EngineEvent) {
        let _ = self.queue.send(input).await;
    }

    /// Connections of the client side.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Ends the connections that have no open request, as a process does that is about to end.
    pub fn close_idle(&self) {
        self.connections.thin_out(Duration::ZERO, 0, "leaving");
    }

    /// Ends the connections that have waited for a request for so long, as a process does that hands over: a
    /// client that has only just been answered is likely to ask again at once, and a connection closed under
    /// its request turns that request back unheard. The others are closed with their next answer.
    pub fn close_quiet(&self, for_at_least: Duration) {
        self.connections.thin_out_at(
            &[Phase::Silent, Phase::Idle],
            for_at_least,
            0,
            "handed-over",
        );
    }

    fn ticket(&self) -> (RequestId, Receiver<SubmitResponse>) {
        let ticket = RequestId(self.next.get());
        self.next.set(ticket.0 + 1);
        // Taken on and ended: a hand-in hears no more than these.
        let (sender, receiver) = async_channel::bounded(4);
        self.answers.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }
}

/// Accepts connections for ever.
pub async fn serve<F: Front + 'static>(
    listener: Async<TcpListener>,
    front: Rc<F>,
    clients: Rc<ClientConnections>,
    patience: ReadTimeout,
    tasks: Spawner,
) {
    let _ = rustix::net::listen(listener.get_ref(), BACKLOG);
    let margin = clients.most_connections / MARGIN;
    clients.listeners.set(clients.listeners.get() + 1);
    loop {
        // Close to the cap those without an open request make room; at it, new ones wait in the system's queue.
        let short = (clients.connections.len() + margin).saturating_sub(clients.most_connections);
        if short > 0 {
            clients.connections.make_room(short);
        }
        if clients.connections.len() >= clients.most_connections {
            Timer::after(Duration::from_millis(1)).await;
            continue;
        }
        let stopped = async {
            let _ = clients.accepting.1.recv().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, stopped).await {
            Some(Ok((stream, from))) => welcome(stream, from, &front, &clients, patience, &tasks),
            Some(Err(error)) => {
                // Out of descriptors, say: trying at once again would only spin.
                log_line!("no connection accepted: {error}");
                Timer::after(Duration::from_millis(50)).await;
            }
            None => {
                while let Ok((stream, from)) = listener.get_ref().accept() {
                    if let Ok(stream) = Async::new(stream) {
                        welcome(stream, from, &front, &clients, patience, &tasks);
                    }
                }
                drop(listener);
                clients.listeners.set(clients.listeners.get() - 1);
                log_line!("no longer accepts connections");
                return;
            }
        }
    }
}

/// Serves a connection that has just been accepted, in a task of its own.
fn welcome<F: Front + 'static>(
    stream: Async<TcpStream>,
    from: SocketAddr,
    front: &Rc<F>,
    clients: &Rc<ClientConnections>,
    patience: ReadTimeout,
    tasks: &Spawner,
) {
    let (front, clients) = (front.clone(), clients.clone());
    let (connection, told) = clients.connections.take();
    let span = tracing::info_span!("connection", peer = %from);
    let serving = async move {
        let mut link = Link::new(stream);
        let glance = link.glance();
        let told = async {
            loop {
                let code = told.recv().await.unwrap_or("leaving");
                // Its request crossed the word to leave, or waits to be read behind a crowd's.
                if !(clients.connections.waits(connection) && glance.has_unread()) {
                    return code;
                }
            }
        };
        let code = future::or(
            told,
            converse(&mut link, &*front, &clients, connection, patience),
        )
        .await;
        clients.connections.leave(connection);
        log_line!(code, "client side: connection ended");
    };
    tasks.spawn(serving.instrument(span));
}

/// Thins out idle connections for ever, where there are many.
pub async fn thin_out(clients: Rc<ClientConnections>) {
    loop {
        Timer::after(LOOK).await;
        clients.connections.thin_out(
            IDLE_LEAST,
            clients.most_connections / MANY,
            "idle-among-many",
        );
    }
}

/// Serves one connection to its end and gives the reason code. Until a request is open, it may be dropped at any
/// point where it waits, to make room.
async fn converse<F: Front>(
    link: &mut Link,
    front: &F,
    clients: &ClientConnections,
    connection: u64,
    patience: ReadTimeout,
) -> &'static str {
    // Who connects and says nothing holds a place just as long as who does not finish what it says.
    let mut by = Instant::now() + patience.0;
    let mut asked = false;
    loop {
        if link.bytes().is_empty() {
            let wait = if asked { Instant::now() + IDLE } else { by };
            match until(wait, link.fill()).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return "far-end",
                Some(Err(_)) => return "reset",
                None => return if asked { "idle" } else { "silent" },
            }
        }
        if std::mem::replace(&mut asked, true) {
            by = Instant::now() + patience.0;
        }
        clients.connections.is_at(connection, Phase::Reading);
        let read = match until(by, request(link)).await.unwrap_or(Err(Stop::Late)) {
            // What stands behind a request before its answer would be the next one's start, or a body longer
            // than was said; where one request at a time is agreed, neither can be trusted.
            Ok((head, len)) if front.one_at_a_time() && link.has_more_than(head + len) => {
                Err(Stop::Fault(Fault::Malformed))
            }
            read => read,
        };
        let (head, len) = match read {
            Ok(read) => read,
            Err(stop) => {
                let status = match &stop {
                    Stop::Fault(fault) => fault.status(),
                    Stop::Late => 408,
                    Stop::FinalOutcome | Stop::Cut | Stop::Broke(_) => return stop.code(),
                };
                add(&clients.counters.rejected);
                clients.connections.is_at(connection, Phase::Lingering);
                let _ = until(
                    Instant::now() + patience.0,
                    write(link, &Reply::of(status), false),
                )
                .await;
                link.linger(Instant::now() + LINGER).await;
                return stop.code();
            }
        };
        // The head was read once for its framing; now that the body stands behind it, both are used in place.
        let Ok(parsed) = http::request(&link.bytes()[..head]) else {
            return Fault::Malformed.code();
        };
        let keeps = parsed.keeps;
        let taken = front.take(&parsed, &link.bytes()[head..head + len], unix_ms());
        link.consume(head + len);
        clients.connections.is_at(connection, Phase::Open);
        let (reply, ticket) = match taken {
            Take::Ready => (
                Reply::of(if clients.is_drained() { 503 } else { 200 }),
                None,
            ),
            Take::Reply(reply) => {
                if reply.status >= 400 {
                    add(&clients.counters.rejected);
                }
                (reply, None)
            }
            Take::Offer(message) => {
                add(&clients.counters.offered);
                let (ticket, answers) = clients.ticket();
                clients.put(EngineEvent::Submitted(ticket, message)).await;
                let settled = async {
                    loop {
                        let Ok(answer) = answers.recv().await else {
                            return None;
                        };
                        if let Some(reply) = front.settled(answer) {
                            return Some(reply);
                        }
                    }
                };
                let gone = async {
                    link.ended().await;
                    None
                };
                let settled = future::or(settled, gone).await;
                clients.answers.borrow_mut().remove(&ticket);
                let Some(reply) = settled else {
                    clients.put(EngineEvent::ClientGone(ticket)).await;
                    return "gone-unanswered";
                };
                (reply, Some(ticket))
            }
        };
        let keeps = keeps && clients.leaving.get().is_none() && !clients.is_drained();
        match until(Instant::now() + patience.0, write(link, &reply, keeps)).await {
            Some(Ok(())) if keeps => clients.connections.is_at(connection, Phase::Idle),
            Some(Ok(())) => {
                clients.connections.is_at(connection, Phase::Lingering);
                link.linger(Instant::now() + LINGER_ANSWERED).await;
                return "closed-after-answer";
            }
            _ => {
                if let Some(ticket) = ticket {
                    clients.put(EngineEvent::ClientGone(ticket)).await;
                }
                return "answer-not-taken";
            }
        }
    }
}

async fn request(link: &mut Link) -> Result<(usize, usize), Stop> {
    let head = link.head(HEAD).await?;
    let parsed = http::request(&link.bytes()[..head])?;
    let framing = parsed.framing;
    let waits = parsed
        .fields
        .text("expect")
        .is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
    if waits && link.bytes().len() == head {
        link.write(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
            .await
            .map_err(Stop::Broke)?;
    }
    let len = link.body(head, framing, BODY).await?;
    Ok((head, len))
}

async fn write(link: &mut Link, reply: &Reply, keeps: bool) -> std::io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\n",
        reply.status,
        http::phrase(reply.status)
    );
    for (name, value) in &reply.fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !reply.body.is_empty() {
        head.push_str("Content-Type: text/plain; charset=utf-8\r\n");
    }
    let close = if keeps { "" } else { "Connection: close\r\n" };
    // An answer without content has no length to tell.
    let length = if reply.status == 204 {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", reply.body.len())
    };
    head.push_str(&format!("{length}{close}\r\n"));
    link.write(head.as_bytes(), reply.body.as_bytes()).await
}

#[cfg(test)]
mod tests;
