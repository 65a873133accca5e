//! The link between the daemons of a group: frames over TCP, each connection one way, from the daemon that opened it. The
//! far side acknowledges each frame with a byte, so that a connection which swallows all is found out. No keys and no
//! sign-in: it listens at the address that the file gives and nowhere else.

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use marblefall_coordination::seat::{Frame, Reply, Request};
use marblefall_coordination::words::Member;
use marblefall_delivery::net::server::Spawner;
use marblefall_delivery::say;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The form of what is said on a link.
const VERSION: u16 = 1;
/// The longest frame: a file of a hundred thousand destinations is shorter.
const LONGEST: usize = 64 << 20;
/// Frames that wait for a link at most; beyond that it is opened anew.
const QUEUE: usize = 256;
/// What is not acknowledged within this has gone nowhere.
const DEAF: Duration = Duration::from_millis(2500);
/// A connection that takes longer to come up does not.
const DIAL: Duration = Duration::from_secs(2);
/// A link that broke is opened again after this, and twice that each time, up to a bound; half of it is drawn.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_millis(800);
/// Connections that a daemon takes at most.
const CONNECTIONS: usize = 1200;
/// A connection that says nothing of itself for so long is closed.
const HELLO: Duration = Duration::from_secs(5);

/// The first frame on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    version: u16,
    group: String,
    from: From,
}

impl Hello {
    /// The number of the member that opened the connection; `None` for an operator.
    pub fn member(&self) -> Option<u32> {
        match self.from {
            From::Member(number) => Some(number),
            From::Operator => None,
        }
    }
}

/// Who opened it.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum From {
    Member(u32),
    Operator,
}

/// How a daemon sees itself, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Local {
    /// Its name.
    pub member: String,
    /// The revision that it has.
    pub has: Option<u64>,
    /// Whether it may act: `acts`, `still`, `shut`.
    pub standing: String,
    /// Who led when it last heard, and how many milliseconds ago.
    pub leader: Option<(String, u64)>,
    /// Whether it takes part in voting, and in which configuration.
    pub votes: Option<(bool, u32)>,
}

/// What an operator is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// The daemon that was asked.
    pub local: Local,
    /// What the leader says, if one was reached.
    pub reply: Option<Reply>,
}

/// What comes in.
pub enum Event {
    /// A member has spoken.
    Frame(Member, Frame),
    /// The link to a member is open.
    Linked(Member),
    /// An operator asks.
    Operator(Request, Sender<Told>),
}

/// Why a frame is not taken.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The connection broke or ended.
    #[error("{0}")]
    Broke(#[from] std::io::Error),
    /// It is longer than any frame.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// Its checksum does not fit.
    #[error("a frame whose checksum does not fit")]
    Torn,
    /// It says nothing that is known.
    #[error("a frame that cannot be read")]
    Unreadable,
}

impl Fault {
    fn code(&self) -> &'static str {
        match self {
            Fault::Broke(_) => "link-broke",
            Fault::TooLong(_) => "frame-too-long",
            Fault::Torn => "frame-torn",
            Fault::Unreadable => "frame-unreadable",
        }
    }
}

/// A frame as it travels: its length, its checksum, and what it says.
pub fn encode(frame: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_allocvec(frame).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Reads one frame.
///
/// # Errors
/// Where the connection breaks, or what comes is no frame.
pub async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T, Fault> {
    let mut head = [0; 8];
    stream.read_exact(&mut head).await?;
    let [a, b, c, d, e, f, g, h] = head;
    let (length, sum) = (
        u32::from_le_bytes([a, b, c, d]) as usize,
        u32::from_le_bytes([e, f, g, h]),
    );
    if length > LONGEST {
        return Err(Fault::TooLong(length));
    }
    // Room is made as bytes come: a length alone costs nothing.
    let mut body = Vec::new();
    let mut left = length;
    let mut part = [0; 16 * 1024];
    while left > 0 {
        let want = left.min(part.len());
        let got = stream.read(&mut part[..want]).await?;
        if got == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        body.extend_from_slice(&part[..got]);
        left -= got;
    }
    if crc32fast::hash(&body) != sum {
        return Err(Fault::Torn);
    }
    postcard::from_bytes(&body).map_err(|_| Fault::Unreadable)
}

/// What says who opens a connection.
pub fn hello(group: &str, member: Option<Member>) -> Vec<u8> {
    let from = member.map_or(From::Operator, |member| From::Member(member.0));
    encode(&Hello {
        version: VERSION,
        group: group.to_owned(),
        from,
    })
}

/// The way to one member.
pub struct Way {
    queue: Sender<Vec<u8>>,
    broken: Rc<Cell<bool>>,
}

impl Way {
    /// Opens a way, and keeps it open.
    pub fn open(
        group: &str,
        me: Member,
        (to, at): (Member, SocketAddr),
        events: Sender<Event>,
        draw: u64,
        tasks: &Spawner,
    ) -> Way {
        let (queue, frames) = async_channel::bounded(QUEUE);
        let broken = Rc::new(Cell::new(false));
        let (hello, full) = (hello(group, Some(me)), broken.clone());
        tasks.spawn(async move {
            let mut wait = AGAIN;
            let mut draw = fastrand::Rng::with_seed(draw);
            loop {
                // What waited is of a link that is no more; what is said anew follows the news that one is open.
                while frames.try_recv().is_ok() {}
                full.set(false);
                let begun = Instant::now();
                if let Ok(()) = carry(&hello, (to, at), &frames, &full, &events).await {
                    return;
                }
                if begun.elapsed() > AGAIN_MOST {
                    wait = AGAIN;
                }
                Timer::after(wait.mul_f64(0.5 + draw.f64() / 2.0)).await;
                wait = (wait * 2).min(AGAIN_MOST);
            }
        });
        Way { queue, broken }
    }

    /// Sends a frame, unless the link is not open. One that does not keep up is opened anew.
    pub fn send(&self, frame: Vec<u8>) {
        if self.queue.try_send(frame).is_err() {
            self.broken.set(true);
        }
    }
}

/// Carries frames until the link breaks; `Ok` once nobody sends any more.
async fn carry(
    hello: &[u8],
    (to, at): (Member, SocketAddr),
    frames: &Receiver<Vec<u8>>,
    full: &Cell<bool>,
    events: &Sender<Event>,
) -> std::io::Result<()> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let dial = async { Some(Async::<TcpStream>::connect(at).await) };
    let stream = future::or(dial, async {
        Timer::after(DIAL).await;
        None
    });
    let stream = stream.await.ok_or_else(late)??;
    stream.get_ref().set_nodelay(true)?;
    (&stream).write_all(hello).await?;
    // Frames that were written and not acknowledged, and since when.
    let owed: Cell<(u64, Option<Instant>)> = Cell::new((1, Some(Instant::now())));
    // Waits where much has come in: the link is not given up for that.
    if events.send(Event::Linked(to)).await.is_err() {
        return Ok(());
    }
    let write = async {
        loop {
            let Ok(frame) = frames.recv().await else {
                return Ok(());
            };
            let (count, since) = owed.get();
            owed.set((count + 1, since.or_else(|| Some(Instant::now()))));
            (&stream).write_all(&frame).await?;
        }
    };
    let hear = async {
        let mut bytes = [0; 256];
        loop {
            let got = (&stream).read(&mut bytes).await?;
            if got == 0 {
                return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
            }
            let left = owed.get().0.saturating_sub(got as u64);
            owed.set((left, (left > 0).then(Instant::now)));
        }
    };
    let watch = async {
        loop {
            Timer::after(DEAF / 4).await;
            if full.get() || owed.get().1.is_some_and(|since| since.elapsed() >= DEAF) {
                return Err(late());
            }
        }
    };
    future::or(write, future::or(hear, watch)).await
}

/// Takes connections of members and of operators.
pub async fn listen(
    listener: TcpListener,
    group: String,
    members: u32,
    events: Sender<Event>,
    tasks: Spawner,
) {
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    let taken = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Out of descriptors, most likely: the others still work.
            Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        if taken.get() >= CONNECTIONS {
            say!(
                code = "link-too-many",
                "link from {from} is closed: {CONNECTIONS} are open"
            );
            continue;
        }
        taken.set(taken.get() + 1);
        let (group, events, taken) = (group.clone(), events.clone(), taken.clone());
        tasks.spawn(async move {
            let ended = serve(stream, &group, members, &events).await;
            taken.set(taken.get() - 1);
            if let Err((code, why)) = ended {
                say!(code, "link from {from} is closed: {why}");
            }
        });
    }
}

async fn serve(
    mut stream: Async<TcpStream>,
    group: &str,
    members: u32,
    events: &Sender<Event>,
) -> Result<(), (&'static str, String)> {
    let broke = |fault: Fault| (fault.code(), fault.to_string());
    let hello = future::or(async { Some(read::<Hello>(&mut stream).await) }, async {
        Timer::after(HELLO).await;
        None
    });
    let hello = hello
        .await
        .ok_or(("link-silent", "nothing came".to_owned()))?
        .map_err(broke)?;
    if hello.version != VERSION {
        return Err((
            "link-version",
            format!("it speaks version {}, this is {VERSION}", hello.version),
        ));
    }
    if hello.group != group {
        return Err((
            "link-other-group",
            format!("it is of group {:?}", hello.group),
        ));
    }
    match hello.from {
        From::Operator => operator(stream, events).await.map_err(broke),
        From::Member(number) if number >= members => {
            Err(("link-no-member", format!("there is no member {number}")))
        }
        From::Member(number) => loop {
            let acknowledged = (&stream).write_all(&[1]).await;
            acknowledged.map_err(|error| broke(error.into()))?;
            let frame = read::<Frame>(&mut stream).await.map_err(broke)?;
            if events
                .send(Event::Frame(Member(number), frame))
                .await
                .is_err()
            {
                return Ok(());
            }
        },
    }
}

async fn operator(mut stream: Async<TcpStream>, events: &Sender<Event>) -> Result<(), Fault> {
    loop {
        let request = match read::<Request>(&mut stream).await {
            Err(Fault::Broke(_)) => return Ok(()),
            request => request?,
        };
        let (answer, told) = async_channel::bounded(1);
        if events.send(Event::Operator(request, answer)).await.is_err() {
            return Ok(());
        }
        let Ok(told) = told.recv().await else {
            return Ok(());
        };
        stream.write_all(&encode(&told)).await?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_executor::LocalExecutor;
    use marblefall_coordination::words::{Epoch, Proposal, ToMember};

    /// A daemon that has much to take in does not lose its links for that.
    #[test]
    fn a_link_that_opens_while_much_has_come_in_carries_what_follows() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (events, heard) = async_channel::bounded(1);
        events.try_send(Event::Linked(Member(5))).unwrap();
        let tasks = Rc::new(LocalExecutor::new());
        let way = Way::open(
            "g",
            Member(0),
            (Member(1), at),
            events,
            1,
            &Spawner::new(&tasks),
        );
        async_io::block_on(tasks.run(async {
            let listener = Async::new(listener).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(read::<Hello>(&mut stream).await.unwrap().member(), Some(0));
            assert!(matches!(heard.recv().await, Ok(Event::Linked(Member(5)))));
            assert!(matches!(heard.recv().await, Ok(Event::Linked(Member(1)))));
            way.send(encode(&Frame::Down(
                Epoch(1),
                ToMember::Resolved(Proposal(2)),
            )));
            assert!(matches!(
                read::<Frame>(&mut stream).await,
                Ok(Frame::Down(Epoch(1), _))
            ));
        }));
    }
}
