//! Clients that keep connections open and hardly use them, until their process is shut down: from then on they send on
//! every connection that stays open, up to the kill.

use super::{Clients, POLL_INTERVAL, RESPONSE_TIMEOUT};
use marblefall_process_harness::http::is_timeout;
use marblefall_process_harness::{monotonic_micros, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

/// Connections that rest at one process: fewer than it counts as many, of which it would close those that rest.
const RESTING_CONNECTIONS: usize = 16;
/// The client number of this client in the ids of messages and the seed of its draws, apart from the others'.
const CLIENT_NUMBER: u64 = 1000;

/// A connection and when it is used next.
struct Resting {
    stream: TcpStream,
    use_at: Micros,
}

impl Clients {
    /// Keeps connections open, and uses them while the process is being shut down, until it is stopped.
    pub fn run_resting(&self) {
        let mut rng = self.client_rng(CLIENT_NUMBER);
        let mut streams: Vec<TcpStream> = Vec::new();
        let mut sent = 0;
        while !self.stop.load(Ordering::SeqCst) {
            match self.shutdown.kill_at() {
                Some(kill_at) => {
                    let streams = std::mem::take(&mut streams);
                    self.use_until_killed(streams, kill_at, &mut rng, &mut sent);
                }
                None => self.keep_resting(&mut streams, &mut rng, &mut sent),
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Replaces one connection that was closed. A new one carries one request before it rests.
    fn keep_resting(&self, streams: &mut Vec<TcpStream>, rng: &mut Pcg64Mcg, sent: &mut u64) {
        streams.retain(is_open);
        if streams.len() >= RESTING_CONNECTIONS {
            return;
        }
        // A process that is restarting refuses connections.
        let connected = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT);
        let kept = connected.and_then(|stream| self.submit(stream, &next_id(self, sent), rng));
        streams.extend(kept.ok().flatten());
    }

    /// Sends on each connection at times of its own until it is closed or the process is killed.
    fn use_until_killed(
        &self,
        streams: Vec<TcpStream>,
        kill_at: Micros,
        rng: &mut Pcg64Mcg,
        sent: &mut u64,
    ) {
        let draw_time = |rng: &mut Pcg64Mcg| {
            let now = monotonic_micros();
            rng.random_range(now..kill_at.max(now + 1))
        };
        let mut resting: Vec<Resting> = streams
            .into_iter()
            .map(|stream| Resting {
                stream,
                use_at: draw_time(rng),
            })
            .collect();
        while self.shutdown.kill_at() == Some(kill_at) && !resting.is_empty() {
            let now = monotonic_micros();
            let Some(index) = resting.iter().position(|next| next.use_at <= now) else {
                thread::sleep(POLL_INTERVAL / 10);
                continue;
            };
            let stream = resting.swap_remove(index).stream;
            if !is_open(&stream) {
                continue;
            }
            let kept = self.submit(stream, &next_id(self, sent), rng);
            if let Ok(Some(stream)) = kept {
                let use_at = draw_time(rng);
                resting.push(Resting { stream, use_at });
            }
        }
    }
}

fn next_id(clients: &Clients, sent: &mut u64) -> String {
    *sent += 1;
    format!("{}-{CLIENT_NUMBER}-{sent}", clients.process)
}

/// Whether a connection was not closed by the process, as far as the client knows.
fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let is_open = stream.peek(&mut [0]).is_err_and(|error| is_timeout(&error));
    stream.set_nonblocking(false).is_ok() && is_open
}
