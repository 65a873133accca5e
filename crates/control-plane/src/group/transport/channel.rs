//! The connection to one member. It is reopened whenever it breaks.
//!
//! When a connection breaks, the frames that were queued for it are dropped. Each new connection is reported by
//! [`TransportEvent::Connected`].

use super::frame::encode_frame;
use super::{Hello, TransportEvent};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use marblefall_coordination::identifiers::MemberId;
use marblefall_delivery::net::spawner::Spawner;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of queued frames. If the queue overflows, the connection is reopened.
const QUEUE_CAPACITY: usize = 256;
/// Maximum wait for the next acknowledgement. A connection that exceeds it is reopened.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Number of timeout checks within [`ACKNOWLEDGE_TIMEOUT`].
const CHECKS_PER_TIMEOUT: u32 = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff before the first reconnect. It doubles with each further reconnect.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Minimum proportion of the backoff after jitter.
const MIN_BACKOFF_FACTOR: f64 = 0.5;
/// Maximum number of acknowledgements that are read at once.
const ACKNOWLEDGEMENT_BUFFER: usize = 256;

/// The parameters of a channel.
pub struct ChannelSetup {
    /// The first frame of each connection.
    pub hello: Hello,
    /// The member to which the channel connects.
    pub to: MemberId,
    /// The address at which that member listens.
    pub address: SocketAddr,
    /// Queue that receives an event for each new connection.
    pub events: Sender<TransportEvent>,
    /// Random seed of the backoff's jitter.
    pub seed: u64,
}

/// The connection to one member.
pub struct Channel {
    queue: Sender<Vec<u8>>,
    overflowed: Rc<Cell<bool>>,
}

/// The task that opens a channel's connection, and reopens it when it breaks.
struct Connector {
    hello: Vec<u8>,
    to: MemberId,
    address: SocketAddr,
    events: Sender<TransportEvent>,
    frames: Receiver<Vec<u8>>,
    overflowed: Rc<Cell<bool>>,
}

/// The written frames of a connection that are not acknowledged yet.
struct Unacknowledged {
    count: Cell<u64>,
    /// Start of the current wait for an acknowledgement: the last acknowledgement, or the first write after all earlier
    /// frames were acknowledged. `None` without unacknowledged frames.
    waiting_since: Cell<Option<Instant>>,
}

impl Channel {
    /// Opens a channel. Its connection is kept open until the channel is dropped.
    pub fn open(setup: ChannelSetup, tasks: &Spawner) -> Channel {
        let (queue, frames) = async_channel::bounded(QUEUE_CAPACITY);
        let overflowed = Rc::new(Cell::new(false));
        let connector = Connector {
            hello: encode_frame(&setup.hello),
            to: setup.to,
            address: setup.address,
            events: setup.events,
            frames,
            overflowed: overflowed.clone(),
        };
        tasks.spawn(connector.run(fastrand::Rng::with_seed(setup.seed)));
        Channel { queue, overflowed }
    }

    /// Queues a frame. The frame is lost if there is no connection. If the queue is full, the frame is lost and the
    /// connection is reopened.
    pub fn send(&self, frame: Vec<u8>) {
        if self.queue.try_send(frame).is_err() {
            self.overflowed.set(true);
        }
    }
}

impl Connector {
    /// Keeps a connection open until the channel is dropped.
    async fn run(self, mut rng: fastrand::Rng) {
        let mut backoff = MIN_BACKOFF;
        loop {
            // Queued frames belong to the previous connection. Senders resume after the `Connected` event of the new one.
            while self.frames.try_recv().is_ok() {}
            self.overflowed.set(false);
            let started_at = Instant::now();
            if let Ok(()) = self.run_connection().await {
                return;
            }
            if started_at.elapsed() > MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            Timer::after(jittered(backoff, &mut rng)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Opens a connection and writes frames until it breaks. Returns `Ok` when the channel is dropped.
    async fn run_connection(&self) -> io::Result<()> {
        let stream = self.connect().await?;
        (&stream).write_all(&self.hello).await?;
        let unacknowledged = Unacknowledged::after_hello();
        // Waits here while the event queue is full, so that this wait does not count as an acknowledgement timeout.
        let connected = TransportEvent::Connected(self.to);
        if self.events.send(connected).await.is_err() {
            return Ok(());
        }
        let write = self.write_frames(&stream, &unacknowledged);
        let read = read_acknowledgements(&stream, &unacknowledged);
        let check = self.check_progress(&unacknowledged);
        future::or(write, future::or(read, check)).await
    }

    async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let connect = async { Async::<TcpStream>::connect(self.address).await };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(ErrorKind::TimedOut.into())
        };
        let stream = future::or(connect, timeout).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(stream)
    }

    async fn write_frames(
        &self,
        mut stream: &Async<TcpStream>,
        unacknowledged: &Unacknowledged,
    ) -> io::Result<()> {
        while let Ok(frame) = self.frames.recv().await {
            unacknowledged.add();
            stream.write_all(&frame).await?;
        }
        Ok(())
    }

    async fn check_progress(&self, unacknowledged: &Unacknowledged) -> io::Result<()> {
        loop {
            Timer::after(ACKNOWLEDGE_TIMEOUT / CHECKS_PER_TIMEOUT).await;
            if self.overflowed.get() || unacknowledged.is_overdue() {
                return Err(ErrorKind::TimedOut.into());
            }
        }
    }
}

impl Unacknowledged {
    /// The state after the [`Hello`] frame was written, which is acknowledged like any other frame.
    fn after_hello() -> Unacknowledged {
        Unacknowledged {
            count: Cell::new(1),
            waiting_since: Cell::new(Some(Instant::now())),
        }
    }

    fn add(&self) {
        self.count.set(self.count.get() + 1);
        let since = self.waiting_since.get();
        self.waiting_since
            .set(since.or_else(|| Some(Instant::now())));
    }

    fn acknowledge(&self, frames: u64) {
        let remaining = self.count.get().saturating_sub(frames);
        self.count.set(remaining);
        self.waiting_since.set((remaining > 0).then(Instant::now));
    }

    fn is_overdue(&self) -> bool {
        let since = self.waiting_since.get();
        since.is_some_and(|since| since.elapsed() >= ACKNOWLEDGE_TIMEOUT)
    }
}

/// Returns the backoff with random jitter.
fn jittered(backoff: Duration, rng: &mut fastrand::Rng) -> Duration {
    backoff.mul_f64(MIN_BACKOFF_FACTOR + rng.f64() * (1.0 - MIN_BACKOFF_FACTOR))
}

/// Reads acknowledgements until the connection breaks. Each byte acknowledges one frame.
async fn read_acknowledgements(
    mut stream: &Async<TcpStream>,
    unacknowledged: &Unacknowledged,
) -> io::Result<()> {
    let mut bytes = [0; ACKNOWLEDGEMENT_BUFFER];
    loop {
        let received = stream.read(&mut bytes).await?;
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        unacknowledged.acknowledge(received as u64);
        future::yield_now().await;
    }
}
