//! Clients that hand events in without a pause, follow what they are told, and write down every answer.

use super::http::event;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A client waits so long for an event's end.
const PATIENCE: Duration = Duration::from_secs(10);
/// Tries of one event, at most.
const TRIES: usize = 150;
/// What was not taken on, or not answered, comes again after this, whatever was told.
const AGAIN: Duration = Duration::from_millis(100);

/// An answer to one hand-in; status 0 is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The event.
    pub id: String,
    /// At which member.
    pub member: usize,
    /// The status.
    pub status: u16,
}

/// Clients at work.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Answer>>>,
}

impl Clients {
    /// So many begin, spread over the members; each rests a while between two events. `crowd` tells their events from
    /// others'.
    pub fn start(at: &[SocketAddr], many: usize, rest: Duration, crowd: u64) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let (stop, at) = (stop.clone(), at.to_vec());
            thread::spawn(move || {
                let mut answers = Vec::new();
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    one(
                        &format!("e{crowd}-{number}-{n}"),
                        number,
                        if n % 2 == 0 { "a" } else { "b" },
                        &at,
                        &mut answers,
                    );
                    thread::sleep(rest);
                }
                answers
            })
        };
        Clients {
            threads: (0..many).map(client).collect(),
            stop,
        }
    }

    /// Ends them; gives all answers, those of one event in their order.
    pub fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

/// Hands one event in until somebody has answered for it: elsewhere where it was not taken on, and where that is not known,
/// with the member that may have.
fn one(id: &str, first: usize, clinic: &str, at: &[SocketAddr], answers: &mut Vec<Answer>) {
    let mut place = first;
    for _ in 0..TRIES {
        let member = place % at.len();
        let answer = event(at[member], id, clinic, PATIENCE);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        answers.push(Answer {
            id: id.to_owned(),
            member,
            status,
        });
        if !matches!(status, 0 | 429 | 503) {
            return;
        }
        place += usize::from(status != 0);
        thread::sleep(AGAIN);
    }
}
