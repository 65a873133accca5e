//! The connection to one member, which is opened again whenever it breaks.
//!
//! Frames are lost with the connection that they were queued for. Whoever sends them learns of each new connection by
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

/// Frames that wait for a connection at most; beyond that it is opened anew.
const QUEUE: usize = 256;
/// A connection on which a frame is not acknowledged within this is dead.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often acknowledgements are checked within that.
const CHECKS_PER_TIMEOUT: u32 = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that broke is opened again after this, and twice that each time, up to a bound; half of it is jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// What a channel is opened with.
pub struct ChannelSetup {
    /// The first frame of each connection.
    pub hello: Hello,
    /// The member that it leads to.
    pub to: MemberId,
    /// Where that member listens.
    pub address: SocketAddr,
    /// Who learns of new connections.
    pub events: Sender<TransportEvent>,
    /// For the jitter.
    pub seed: u64,
}

/// The connection to one member.
pub struct Channel {
    queue: Sender<Vec<u8>>,
    overflowed: Rc<Cell<bool>>,
}

/// What a channel's task works with.
struct Connector {
    hello: Vec<u8>,
    to: MemberId,
    address: SocketAddr,
    events: Sender<TransportEvent>,
    frames: Receiver<Vec<u8>>,
    overflowed: Rc<Cell<bool>>,
}

/// Frames that were written and are not acknowledged.
struct Unacknowledged {
    count: Cell<u64>,
    /// Since when the first of them waits.
    since: Cell<Option<Instant>>,
}

impl Channel {
    /// Opens a channel, and keeps it open.
    pub fn open(setup: ChannelSetup, tasks: &Spawner) -> Channel {
        let (queue, frames) = async_channel::bounded(QUEUE);
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

    /// Sends a frame, unless there is no connection. A connection that does not keep up is opened anew.
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
            // What is queued is of a connection that is no more; new frames follow the event that there is one.
            while self.frames.try_recv().is_ok() {}
            self.overflowed.set(false);
            let started_at = Instant::now();
            if let Ok(()) = self.run_connection().await {
                return;
            }
            if started_at.elapsed() > MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            Timer::after(backoff.mul_f64(0.5 + rng.f64() / 2.0)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Carries frames until the connection breaks; `Ok` once the channel is dropped.
    async fn run_connection(&self) -> io::Result<()> {
        let stream = self.connect().await?;
        (&stream).write_all(&self.hello).await?;
        let unacknowledged = Unacknowledged::hello();
        // Waits where many events are queued: the connection does not break for that.
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
    /// The first frame of a connection.
    fn hello() -> Unacknowledged {
        Unacknowledged {
            count: Cell::new(1),
            since: Cell::new(Some(Instant::now())),
        }
    }

    fn add(&self) {
        self.count.set(self.count.get() + 1);
        let since = self.since.get();
        self.since.set(since.or_else(|| Some(Instant::now())));
    }

    fn acknowledge(&self, frames: u64) {
        let remaining = self.count.get().saturating_sub(frames);
        self.count.set(remaining);
        self.since.set((remaining > 0).then(Instant::now));
    }

    fn is_overdue(&self) -> bool {
        let since = self.since.get();
        since.is_some_and(|since| since.elapsed() >= ACKNOWLEDGE_TIMEOUT)
    }
}

/// Each byte acknowledges a frame.
async fn read_acknowledgements(
    mut stream: &Async<TcpStream>,
    unacknowledged: &Unacknowledged,
) -> io::Result<()> {
    let mut bytes = [0; 256];
    loop {
        let received = stream.read(&mut bytes).await?;
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        unacknowledged.acknowledge(received as u64);
    }
}
