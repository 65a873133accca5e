//! Clients of a process: patient ones, whose requests are judged, and such that misbehave.

use crate::endpoint::DESTINATIONS;
use crate::plan::{ClientTrouble, TroubleKind};
use crate::record::{Class, Heard, Micros, Request, SharedRecord, MS};
use crate::schedule::Schedule;
use marblefall_simulation::rig::micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request must have its answer within its time and half a second; a client waits a little longer.
const PATIENCE: Duration = Duration::from_millis(3600);
/// How long a message may be delivered, in milliseconds, at least and at most.
const BUDGET_MS: std::ops::Range<i64> = 1500..3000;
/// Pauses between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..400;
/// Part of its connections that a client keeps after an answer.
const KEPT_PART: f64 = 0.8;
/// How long the answer of a closed connection to bytes that came late takes on loopback, at most.
const RESET_COMES_WITHIN: Duration = Duration::from_millis(5);
/// Connections of a crowd.
const CROWD: usize = 60;

/// The clients of one process.
#[derive(Clone)]
pub struct Clients {
    /// Which process.
    pub process: usize,
    /// How many processes there are.
    pub processes: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// What goes wrong.
    pub schedule: Schedule,
    /// Where requests are written down.
    pub record: SharedRecord,
    /// Set once clients are to stop.
    pub stop: Arc<AtomicBool>,
}

impl Clients {
    /// A patient client with a number of its own; runs until it is stopped.
    pub fn run_patient(&self, number: u64) {
        let seed = self.schedule.plan().seed;
        let mut rng = Pcg64Mcg::new(u128::from(seed << 16 | number) << 8 | self.process as u128);
        let mut kept: Option<TcpStream> = None;
        let mut count = 0;
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
            count += 1;
            let id = format!("{}-{number}-{count}", self.process);
            let stream = match kept.take() {
                Some(stream) => stream,
                None => match TcpStream::connect_timeout(&self.address, PATIENCE) {
                    Ok(stream) => stream,
                    Err(_) => continue,
                },
            };
            let keeps = rng.random_bool(KEPT_PART);
            kept = self.hand_in(stream, &id, &mut rng).filter(|_| keeps);
        }
    }

    /// Sends one message and waits for its answer; returns the connection if it can be used again.
    fn hand_in(&self, mut stream: TcpStream, id: &str, rng: &mut Pcg64Mcg) -> Option<TcpStream> {
        let class = Class::ALL[rng.random_range(0..Class::ALL.len())];
        let destination = rng.random_range(0..DESTINATIONS);
        let budget_ms = rng.random_range(BUDGET_MS);
        let bytes = request(id, class, destination, budget_ms, rng.random_range(0..400));
        let began_at = micros();
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        if rng.random_bool(0.2) {
            // In two parts, as the network may have it.
            let cut = rng.random_range(1..bytes.len());
            stream.write_all(&bytes[..cut]).ok()?;
            thread::sleep(Duration::from_millis(rng.random_range(1..30)));
            stream.write_all(&bytes[cut..]).ok()?;
        } else {
            stream.write_all(&bytes).ok()?;
        }
        let sent_at = micros();
        let (heard, keeps_open) = listen(&mut stream);
        self.record.lock().requests.push(Request {
            id: id.to_owned(),
            process: self.process,
            class,
            destination,
            sent_at,
            expires_at: began_at + budget_ms as Micros * MS,
            heard,
        });
        keeps_open.then_some(stream)
    }

    fn trouble(&self) -> Option<ClientTrouble> {
        self.schedule.in_force(|trouble| match trouble.kind {
            TroubleKind::Clients(kind) if trouble.target % self.processes == self.process => {
                Some(kind)
            }
            _ => None,
        })
    }

    /// Clients that misbehave when the plan has it; runs until it is stopped.
    pub fn run_misbehaving(&self) {
        let mut held: Vec<TcpStream> = Vec::new();
        let mut count = 0;
        while !self.stop.load(Ordering::SeqCst) {
            let Some(trouble) = self.trouble() else {
                held.clear();
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            count += 1;
            if held.len() > CROWD {
                held.clear();
            }
            if let Ok(stream) = self.misbehave(trouble, count) {
                held.extend(stream);
            }
            thread::sleep(Duration::from_millis(15));
        }
    }

    fn misbehave(&self, trouble: ClientTrouble, count: u64) -> io::Result<Option<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&self.address, PATIENCE)?;
        match trouble {
            ClientTrouble::Crowd => Ok(Some(stream)),
            ClientTrouble::HalfRequests => {
                stream.write_all(b"POST /api HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf")?;
                Ok(Some(stream))
            }
            ClientTrouble::Garbage => {
                stream.write_all(&[0xff; 3000])?;
                Ok(None)
            }
            ClientTrouble::LeaveEarly => {
                let id = format!("left-{}-{count}", self.process);
                stream.write_all(&request(&id, Class::Idempotent, 0, 2000, 10))?;
                thread::sleep(Duration::from_millis(count % 4));
                Ok(None)
            }
        }
    }
}

fn request(id: &str, class: Class, destination: usize, budget_ms: i64, len: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /api HTTP/1.1\r\nHost: marblefall\r\nX-Call-Id: {id}\r\nX-Call-Class: {}\r\n\
         X-Budget-Ms: {budget_ms}\r\nIdempotency-Key: key-{id}\r\nX-Envelope: dest={destination}\r\n\
         Content-Length: {len}\r\n\r\n",
        class.name()
    )
    .into_bytes();
    bytes.extend(std::iter::repeat_n(b'x', len));
    bytes
}

/// What a client hears, and whether its connection stays open.
fn listen(stream: &mut TcpStream) -> (Heard, bool) {
    let mut answer = Vec::new();
    let mut buffer = [0; 2048];
    loop {
        let read = stream.read(&mut buffer);
        let at = micros();
        match read {
            Ok(0) if answer.is_empty() => return (closed_or_reset(stream, at), false),
            Err(error) if answer.is_empty() && is_timeout(&error) => {
                return (Heard::Silence { at }, false)
            }
            Err(_) if answer.is_empty() => return (Heard::Reset { at }, false),
            Ok(0) | Err(_) => return (Heard::Closed { at }, false),
            Ok(len) => answer.extend_from_slice(&buffer[..len]),
        }
        let text = String::from_utf8_lossy(&answer);
        if text.contains("\r\n\r\n") {
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
            let keeps_open = !text.contains("Connection: close");
            let status = status.unwrap_or(0);
            return (Heard::Answer { status, at }, keeps_open);
        }
    }
}

/// A connection that was closed before the request came answers it with a reset: then nothing of it was read, and the
/// client would send it again. One that was closed after the request was read says nothing more.
fn closed_or_reset(stream: &TcpStream, at: Micros) -> Heard {
    thread::sleep(RESET_COMES_WITHIN);
    match stream.take_error() {
        Ok(None) => Heard::Closed { at },
        Ok(Some(_)) | Err(_) => Heard::Reset { at },
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
