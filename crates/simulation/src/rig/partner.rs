//! A partner's two endpoints, which write down every call on the machine's clock and drop repeats by key as its class has it.

use super::http::{answer, Message};
use super::{micros, Fault};
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Endpoints that it has.
pub const ENDPOINTS: usize = 2;
/// How long it knows a key again.
pub const WINDOW: Duration = Duration::from_millis(6000);

/// One call, in microseconds of the machine's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The message's key.
    pub key: String,
    /// At which endpoint.
    pub endpoint: usize,
    /// When its first byte was read.
    pub begun: i64,
    /// When it was answered.
    pub ended: i64,
    /// Whether it took effect, as its key was not known.
    pub effect: bool,
}

#[derive(Debug, Default)]
struct Seen {
    calls: Vec<Call>,
    effects: HashMap<String, i64>,
}

/// The partner.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Where its endpoints listen.
    pub at: [SocketAddr; ENDPOINTS],
    seen: Arc<Mutex<Seen>>,
}

fn seen(of: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Partner {
    /// Begins to listen; each call takes so long.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn start(takes: Duration) -> Result<Partner, Fault> {
        let seen = Arc::<Mutex<Seen>>::default();
        let listen = || TcpListener::bind("127.0.0.1:0").map_err(Fault::at("a partner's port"));
        let listeners = [listen()?, listen()?];
        let mut at = [SocketAddr::from(([127, 0, 0, 1], 0)); ENDPOINTS];
        for (endpoint, listener) in listeners.into_iter().enumerate() {
            at[endpoint] = listener
                .local_addr()
                .map_err(Fault::at("a partner's port"))?;
            let seen = seen.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let seen = seen.clone();
                    std::thread::spawn(move || serve(stream, endpoint, takes, &seen));
                }
            });
        }
        Ok(Partner { at, seen })
    }

    /// All calls so far that were answered.
    pub fn calls(&self) -> Vec<Call> {
        seen(&self.seen).calls.clone()
    }
}

fn serve(stream: TcpStream, endpoint: usize, takes: Duration, all: &Mutex<Seen>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(message) = Message::read(&mut reader) {
        let begun = micros();
        let key = message
            .field("idempotency-key")
            .unwrap_or_default()
            .to_owned();
        std::thread::sleep(takes);
        let mut all = seen(all);
        let ended = micros();
        let known = all
            .effects
            .get(&key)
            .is_some_and(|at| ended - at < WINDOW.as_micros() as i64);
        if !known {
            all.effects.insert(key.clone(), ended);
        }
        all.calls.push(Call {
            key,
            endpoint,
            begun,
            ended,
            effect: !known,
        });
        drop(all);
        if answer(&mut writer, 204, "").is_err() {
            return;
        }
    }
}
