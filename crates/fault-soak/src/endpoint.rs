//! Endpoints of destinations: they execute calls, write down each, and do what the plan has them do.

use crate::plan::{EndpointTrouble, TroubleKind};
use crate::record::{Call, CallEnd, Micros, SharedRecord, MS};
use crate::schedule::Schedule;
use marblefall_simulation::rig::http::Message;
use marblefall_simulation::rig::micros;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Destinations of a run.
pub const DESTINATIONS: usize = 4;
/// Endpoints of each.
pub const ENDPOINTS_EACH: usize = 2;
/// Calls a second that a destination takes from all processes together; the list says so.
pub const RATE: f64 = 30.0;
/// What a call over that is told to wait, in milliseconds.
const OVER_RATE_WAIT_MS: i64 = 300;
/// How long a call takes.
const SERVICE: Duration = Duration::from_millis(15);
/// How long it takes at a slow endpoint.
const SLOW_SERVICE: Duration = Duration::from_millis(700);
/// How often a waiting endpoint looks whether its caller has gone.
const POLL: Duration = Duration::from_millis(3);
/// How long a read waits before the endpoint looks at the plan again.
const READ_PATIENCE: Duration = Duration::from_millis(20);

/// The number of the destination that an endpoint belongs to.
pub fn destination_of(endpoint: usize) -> usize {
    endpoint / ENDPOINTS_EACH
}

/// What all endpoints share.
#[derive(Clone)]
pub struct World {
    /// What goes wrong.
    pub schedule: Schedule,
    /// Where calls are written down.
    pub record: SharedRecord,
    /// For each destination, when it took its last calls.
    taken: Arc<Mutex<Vec<Vec<Micros>>>>,
}

impl World {
    /// A world in which nobody has called yet.
    pub fn new(schedule: Schedule, record: SharedRecord) -> World {
        World {
            schedule,
            record,
            taken: Arc::new(Mutex::new(vec![Vec::new(); DESTINATIONS])),
        }
    }

    fn trouble(&self, endpoint: usize) -> Option<(EndpointTrouble, i64)> {
        self.schedule.in_force(|trouble| match trouble.kind {
            TroubleKind::Endpoint(kind)
                if trouble.target % DESTINATIONS == destination_of(endpoint) =>
            {
                Some((kind, trouble.amount))
            }
            _ => None,
        })
    }

    /// Whether a destination takes one more call in this second.
    fn takes_call(&self, endpoint: usize) -> bool {
        let now = micros();
        let mut all = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = &mut all[destination_of(endpoint)];
        taken.retain(|at| now - at < 1000 * MS);
        let has_room = (taken.len() as f64) < RATE;
        if has_room {
            taken.push(now);
        }
        has_room
    }
}

/// Starts an endpoint; returns where it listens.
///
/// # Errors
/// No port is free.
pub fn start(endpoint: usize, world: &World) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || drop(serve(stream, endpoint, &world)));
        }
    });
    Ok(address)
}

/// How a wait beside an open connection ended.
enum Waited {
    Over,
    CallerGone,
}

fn serve(stream: TcpStream, endpoint: usize, world: &World) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_PATIENCE))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        if matches!(world.trouble(endpoint), Some((EndpointTrouble::Down, _))) {
            return Ok(());
        }
        match reader.fill_buf() {
            Ok([]) => return Ok(()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => continue,
            Err(error) => return Err(error),
        }
        let first_byte_at = micros();
        // A request may trickle in for long.
        writer.set_read_timeout(Some(Duration::from_secs(10)))?;
        let Some(message) = Message::read(&mut reader) else {
            return Ok(());
        };
        writer.set_read_timeout(Some(READ_PATIENCE))?;
        let last_byte_at = micros();
        let end = execute(&mut writer, endpoint, world);
        world.record.lock().calls.push(Call {
            id: message.field("x-call-id").unwrap_or_default().to_owned(),
            endpoint,
            first_byte_at,
            last_byte_at,
            ended_at: micros(),
            end,
        });
        if end == CallEnd::Broken {
            return Ok(());
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Does what is due with a call that was read.
fn execute(stream: &mut TcpStream, endpoint: usize, world: &World) -> CallEnd {
    match world.trouble(endpoint) {
        Some((EndpointTrouble::Hangs, _)) => {
            let hangs = || matches!(world.trouble(endpoint), Some((EndpointTrouble::Hangs, _)));
            wait(stream, hangs);
            CallEnd::Broken
        }
        Some((EndpointTrouble::Down, _)) => CallEnd::Broken,
        Some((EndpointTrouble::Errors, _)) => answer(stream, 500, None),
        Some((EndpointTrouble::Shut, _)) => answer(stream, 503, None),
        Some((EndpointTrouble::Waits, wait_ms)) => answer(stream, 429, Some(wait_ms.max(200))),
        Some((EndpointTrouble::Slow, _)) => served_within(stream, SLOW_SERVICE),
        None if !world.takes_call(endpoint) => answer(stream, 429, Some(OVER_RATE_WAIT_MS)),
        None => served_within(stream, SERVICE),
    }
}

fn served_within(stream: &mut TcpStream, service: Duration) -> CallEnd {
    let until = micros() + service.as_micros() as Micros;
    match wait(stream, || micros() < until) {
        Waited::Over => answer(stream, 200, None),
        Waited::CallerGone => CallEnd::Broken,
    }
}

/// Waits while something holds, or until the caller has gone.
fn wait(stream: &TcpStream, holds: impl Fn() -> bool) -> Waited {
    while holds() {
        if is_closed(stream) {
            return Waited::CallerGone;
        }
        thread::sleep(POLL);
    }
    Waited::Over
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => !is_timeout(&error),
    };
    stream.set_nonblocking(false).is_err() || closed
}

fn answer(stream: &mut TcpStream, status: u16, retry_after_ms: Option<i64>) -> CallEnd {
    let wait = retry_after_ms.map_or_else(String::new, |ms| {
        format!("Retry-After: {:.3}\r\n", ms as f64 / 1000.0)
    });
    let text = format!("HTTP/1.1 {status} x\r\n{wait}Content-Length: 0\r\n\r\n");
    match stream.write_all(text.as_bytes()) {
        Ok(()) => CallEnd::Answered {
            status,
            retry_after_ms,
        },
        Err(_) => CallEnd::Broken,
    }
}
