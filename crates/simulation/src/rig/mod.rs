//! The lab's third world: daemons as processes of their own on loopback, with a relay on every link between them, a partner
//! that counts effects, clients that hand events in, and faults drawn from one seed. What each of them did is written down on
//! the machine's one clock and judged from outside. A schedule can be written out, played again and shrunk.

pub mod clients;
pub mod daemons;
pub mod history;
pub mod http;
pub mod partner;
pub mod play;
pub mod relay;
pub mod schedule;

use std::io;
use std::time::{Duration, Instant};

/// Nothing is waited for longer than this.
pub const BOUND: Duration = Duration::from_secs(40);

/// Why the rig could not go on: not a broken rule, but a run that proves nothing.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The machine refused something.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// A command of the program did not do what it must.
    #[error("{0}")]
    Refused(String),
    /// Something was waited for in vain.
    #[error("waited in vain for {0}")]
    Waited(String),
}

impl Fault {
    /// What was tried when the machine refused it.
    pub fn at(what: impl Into<String>) -> impl FnOnce(io::Error) -> Fault {
        let what = what.into();
        move |error| Fault::Io(what, error)
    }
}

/// Waits until something is so.
///
/// # Errors
/// Where it is not within [`BOUND`].
pub fn wait_for(what: &str, mut so: impl FnMut() -> bool) -> Result<(), Fault> {
    let until = Instant::now() + BOUND;
    while !so() {
        if Instant::now() >= until {
            return Err(Fault::Waited(what.to_owned()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// The system's monotonic clock in microseconds: the same for all processes of the machine.
pub fn micros() -> i64 {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    at.tv_sec * 1_000_000 + at.tv_nsec / 1000
}
