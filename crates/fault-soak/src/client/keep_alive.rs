//! Clients that keep idle connections open until their process is shut down. From then on they send requests on every
//! connection that stays open, until the process is killed.

use super::{Clients, POLL_INTERVAL, RESPONSE_TIMEOUT};
use marblefall_process_harness::http::is_timeout;
use marblefall_process_harness::{monotonic_micros, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

/// Number of idle connections to one process, low enough that the process does not evict idle connections.
const KEEP_ALIVE_CONNECTIONS: usize = 16;
/// Number of this client in message ids and in the seed of its draws, distinct from the numbers of other clients.
const CLIENT_NUMBER: u64 = 1000;

/// A connection and the time of its next use.
struct ScheduledConnection {
    stream: TcpStream,
    use_at: Micros,
}

impl Clients {
    /// Keeps idle connections open, and uses them while the process is being shut down, until the client is stopped.
    pub fn run_keep_alive(&self) {
        let mut rng = self.client_rng(CLIENT_NUMBER);
        let mut streams: Vec<TcpStream> = Vec::new();
        let mut sent = 0;
        while !self.stop.load(Ordering::SeqCst) {
            match self.shutdown.kill_at() {
                Some(kill_at) => {
                    let streams = std::mem::take(&mut streams);
                    self.use_until_killed(streams, kill_at, &mut rng, &mut sent);
                }
                None => self.refill_connections(&mut streams, &mut rng, &mut sent),
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Opens a new connection if one was closed. It carries one request before it becomes idle.
    fn refill_connections(&self, streams: &mut Vec<TcpStream>, rng: &mut Pcg64Mcg, sent: &mut u64) {
        streams.retain(is_open);
        if streams.len() >= KEEP_ALIVE_CONNECTIONS {
            return;
        }
        // The process refuses connections while it restarts.
        let connected = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT);
        let kept = connected.and_then(|stream| self.submit(stream, &next_id(self, sent), rng));
        streams.extend(kept.ok().flatten());
    }

    /// Sends requests on each connection at random times until the connection is closed or the shutdown ends.
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
        let mut scheduled: Vec<ScheduledConnection> = streams
            .into_iter()
            .map(|stream| ScheduledConnection {
                stream,
                use_at: draw_time(rng),
            })
            .collect();
        while self.shutdown.kill_at() == Some(kill_at) && !scheduled.is_empty() {
            let now = monotonic_micros();
            let Some(index) = scheduled.iter().position(|next| next.use_at <= now) else {
                thread::sleep(POLL_INTERVAL / 10);
                continue;
            };
            let stream = scheduled.swap_remove(index).stream;
            if !is_open(&stream) {
                continue;
            }
            let kept = self.submit(stream, &next_id(self, sent), rng);
            if let Ok(Some(stream)) = kept {
                let use_at = draw_time(rng);
                scheduled.push(ScheduledConnection { stream, use_at });
            }
        }
    }
}

fn next_id(clients: &Clients, sent: &mut u64) -> String {
    *sent += 1;
    format!("{}-{CLIENT_NUMBER}-{sent}", clients.process)
}

/// Returns whether the client has received neither a close nor any bytes on a connection.
pub(super) fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let is_open = stream.peek(&mut [0]).is_err_and(|error| is_timeout(&error));
    stream.set_nonblocking(false).is_ok() && is_open
}
