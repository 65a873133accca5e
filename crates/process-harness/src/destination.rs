//! A destination that deduplicates messages by their idempotency keys and records every call.

use crate::http::Message;
use crate::server::{self, Reply};
use crate::{headers, monotonic_micros, HarnessError, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Number of endpoints of a destination.
pub const ENDPOINT_COUNT: usize = 2;
/// The deduplication window: the time for which a destination remembers an executed idempotency key.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(6000);

/// An answered call, with times on the machine's monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The idempotency key of the message; empty if it has none.
    pub key: String,
    /// The number of the endpoint that received the call.
    pub endpoint: usize,
    /// Time at which the request had been read.
    pub started_at: Micros,
    /// Time at which the response was about to be sent.
    pub ended_at: Micros,
    /// Whether the message was executed. A message whose key was executed within the deduplication window is not.
    pub executed: bool,
}

#[derive(Debug, Default)]
struct State {
    calls: Vec<Call>,
    executed_at: HashMap<String, Micros>,
}

/// A running destination, shared by all its clones.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The addresses of the endpoints, by endpoint number.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Destination {
    /// Starts the endpoints. Each call takes `service_time`.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(service_time: Duration) -> Result<Destination, HarnessError> {
        let state = Arc::<Mutex<State>>::default();
        let start_endpoint = |endpoint: usize| {
            let state = Arc::clone(&state);
            server::start("port of a destination", move |request: &Message| {
                let started_at = monotonic_micros();
                thread::sleep(service_time);
                lock(&state).execute(request, endpoint, started_at);
                Reply::status(204)
            })
        };
        let addresses = (0..ENDPOINT_COUNT)
            .map(start_endpoint)
            .collect::<Result<_, _>>()?;
        Ok(Destination { addresses, state })
    }

    /// Returns all calls answered so far.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.state).calls.clone()
    }
}

impl State {
    fn execute(&mut self, request: &Message, endpoint: usize, started_at: Micros) {
        let key = request.header(headers::IDEMPOTENCY_KEY).unwrap_or_default();
        let key = key.to_owned();
        let ended_at = monotonic_micros();
        let window = DEDUPLICATION_WINDOW.as_micros() as Micros;
        let is_known = self
            .executed_at
            .get(&key)
            .is_some_and(|executed_at| ended_at - executed_at < window);
        if !is_known {
            self.executed_at.insert(key.clone(), ended_at);
        }
        self.calls.push(Call {
            key,
            endpoint,
            started_at,
            ended_at,
            executed: !is_known,
        });
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
