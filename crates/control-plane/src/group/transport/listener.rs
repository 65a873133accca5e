//! Accepts and serves the connections of members and operators.

use super::frame::{encode_frame, read_frame, read_frame_up_to, FrameError, MAX_HELLO_LENGTH};
use super::{Hello, Peer, TransportEvent, VERSION};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::node::{Frame, Request};
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1200;
/// Maximum wait for the [`Hello`] of a connection. A connection that exceeds it is closed.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next accept after a failed one, whose most likely cause is a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// The byte that acknowledges one frame. The [`Hello`] is acknowledged too.
const ACKNOWLEDGEMENT: [u8; 1] = [1];

/// The parameters of a listener.
#[derive(Clone)]
pub struct ListenerSetup {
    /// The group's name. Connections from other groups are closed.
    pub group: String,
    /// Number of members of the group.
    pub members: u32,
    /// Queue that receives an event for each frame and each operator's request.
    pub events: Sender<TransportEvent>,
}

/// The reason why a connection is closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("no hello was received")]
    NoHello,
    #[error("its protocol version is {0}, but this daemon's is {VERSION}")]
    VersionMismatch(u16),
    #[error("it belongs to group {0:?}")]
    GroupMismatch(String),
    #[error("the group has no member {}", .0 .0)]
    NoSuchMember(MemberId),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl ConnectionError {
    /// Returns the reason code for log lines.
    fn code(&self) -> &'static str {
        match self {
            ConnectionError::NoHello => "link-no-hello",
            ConnectionError::VersionMismatch(_) => "link-version",
            ConnectionError::GroupMismatch(_) => "link-other-group",
            ConnectionError::NoSuchMember(_) => "link-no-member",
            ConnectionError::Frame(error) => error.code(),
        }
    }
}

/// Accepts connections for as long as the task runs.
pub async fn listen(listener: TcpListener, setup: ListenerSetup, tasks: Spawner) {
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    let open_connections = Rc::new(Cell::new(0));
    loop {
        // Accepting does not suspend while connections are waiting.
        future::yield_now().await;
        let Ok((stream, from)) = listener.accept().await else {
            // Connections that are already open are not affected.
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            log_line!(
                code = "link-too-many",
                "link from {from} is closed: {MAX_CONNECTIONS} links are already open"
            );
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (setup, open_connections) = (setup.clone(), open_connections.clone());
        tasks.spawn(async move {
            serve(stream, from, &setup).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve(stream: Async<TcpStream>, from: SocketAddr, setup: &ListenerSetup) {
    if let Err(error) = serve_connection(stream, setup).await {
        log_line!(code = error.code(), "link from {from} is closed: {error}");
    }
}

async fn serve_connection(
    mut stream: Async<TcpStream>,
    setup: &ListenerSetup,
) -> Result<(), ConnectionError> {
    let hello = read_hello(&mut stream).await?;
    if hello.version != VERSION {
        return Err(ConnectionError::VersionMismatch(hello.version));
    }
    if hello.group != setup.group {
        return Err(ConnectionError::GroupMismatch(hello.group));
    }
    match hello.peer {
        Peer::Operator => Ok(serve_operator(stream, setup).await?),
        Peer::Member(member) if member.0 >= setup.members => {
            Err(ConnectionError::NoSuchMember(member))
        }
        Peer::Member(member) => Ok(serve_member(stream, member, setup).await?),
    }
}

async fn read_hello(stream: &mut Async<TcpStream>) -> Result<Hello, ConnectionError> {
    let hello = async { Ok(read_frame_up_to::<Hello>(stream, MAX_HELLO_LENGTH).await?) };
    let timeout = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(ConnectionError::NoHello)
    };
    future::or(hello, timeout).await
}

async fn serve_member(
    mut stream: Async<TcpStream>,
    member: MemberId,
    setup: &ListenerSetup,
) -> Result<(), FrameError> {
    loop {
        // Neither reads nor writes suspend while a member sends as fast as its frames are read.
        future::yield_now().await;
        stream.write_all(&ACKNOWLEDGEMENT).await?;
        let frame = read_frame::<Frame>(&mut stream).await?;
        let event = TransportEvent::Frame(member, frame);
        if setup.events.send(event).await.is_err() {
            return Ok(());
        }
    }
}

async fn serve_operator(
    mut stream: Async<TcpStream>,
    setup: &ListenerSetup,
) -> Result<(), FrameError> {
    loop {
        future::yield_now().await;
        let request = match read_frame::<Request>(&mut stream).await {
            Err(FrameError::Connection(_)) => return Ok(()),
            request => request?,
        };
        let (sender, response) = async_channel::bounded(1);
        let event = TransportEvent::Request(request, sender);
        if setup.events.send(event).await.is_err() {
            return Ok(());
        }
        let Ok(response) = response.recv().await else {
            return Ok(());
        };
        stream.write_all(&encode_frame(&response)).await?;
    }
}
