//! Proxies in front of the members of a group, which disturb the traffic between members.

use crate::{uninterrupted, HarnessError, Listener};
use futures_lite::future::block_on;
use futures_lite::io::AssertAsync;
use marblefall_control_plane::group::transport::{encode_frame, read_frame, Hello};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum time that a read blocks before a proxy checks the state of its link again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of each piece of data on a throttled link.
const THROTTLE_DELAY: Duration = Duration::from_millis(10);
/// Maximum size of a piece of data, in bytes.
const BUFFER_BYTES: usize = 4096;

/// The way in which a link treats the data that one member sends to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// All data is forwarded.
    #[serde(rename = "passes")]
    Open,
    /// Connections stay open and all data is read, but none is forwarded in either direction.
    #[serde(rename = "swallows")]
    Blackhole,
    /// Connections are closed, and new ones are closed at once.
    #[serde(rename = "refuses")]
    Refuse,
    /// Each piece of data is delayed by this many milliseconds.
    #[serde(rename = "delays")]
    Delay(u64),
    /// Data is forwarded in pieces of at most this many bytes, each delayed by 10 ms.
    #[serde(rename = "throttles")]
    Throttle(usize),
    /// Connections are closed in the middle of a frame.
    #[serde(rename = "cuts-frames")]
    CutFrames,
}

/// The states of all links by the numbers of the sending and the receiving member. Links without a state are open.
#[derive(Clone, Debug, Default)]
pub struct Links {
    states: Arc<Mutex<BTreeMap<(u32, u32), LinkState>>>,
    forwarded_bytes: Arc<AtomicUsize>,
}

impl Links {
    /// Sets the state of the link from one member to another.
    pub fn set(&self, from: usize, to: usize, state: LinkState) {
        self.states().insert((from as u32, to as u32), state);
    }

    /// Sets the links from each member of `from` to each member of `to`.
    pub fn set_one_way(&self, from: &[usize], to: &[usize], state: LinkState) {
        for from in from {
            to.iter().for_each(|to| self.set(*from, *to, state));
        }
    }

    /// Sets the links between each member of `some` and each member of `others`, in both directions.
    pub fn set_between(&self, some: &[usize], others: &[usize], state: LinkState) {
        for one in some {
            for other in others.iter().filter(|other| *other != one) {
                self.set(*one, *other, state);
                self.set(*other, *one, state);
            }
        }
    }

    /// Opens all links.
    pub fn open_all(&self) {
        self.states().clear();
    }

    /// Returns the number of bytes forwarded so far.
    pub fn forwarded_bytes(&self) -> usize {
        self.forwarded_bytes.load(Ordering::SeqCst)
    }

    /// Returns the state of a link; [`LinkState::Open`] if the sender is unknown.
    fn state(&self, from: Option<u32>, to: u32) -> LinkState {
        let states = self.states();
        from.and_then(|from| states.get(&(from, to)).copied())
            .unwrap_or(LinkState::Open)
    }

    fn states(&self) -> MutexGuard<'_, BTreeMap<(u32, u32), LinkState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a proxy in front of a member. Returns the proxy's address.
///
/// # Errors
/// No port is free.
pub fn start(
    member: usize,
    member_address: SocketAddr,
    links: &Links,
) -> Result<SocketAddr, HarnessError> {
    let links = links.clone();
    let listener = Listener::start("port of a link proxy", move |stream| {
        // An error ends only this connection. The member that needs the connection opens it again.
        let _ = forward(stream, member as u32, member_address, &links);
    })?;
    Ok(listener.address)
}

/// Forwards one connection, whose first frame identifies the member that opened it.
fn forward(
    mut client: TcpStream,
    to: u32,
    member_address: SocketAddr,
    links: &Links,
) -> io::Result<()> {
    let hello = block_on(read_frame::<Hello>(&mut AssertAsync::new(&mut client)));
    let hello = hello.map_err(|_| ErrorKind::InvalidData)?;
    let from = hello.member().map(|member| member.0);
    if links.state(from, to) == LinkState::Refuse {
        return Ok(());
    }
    let mut server = TcpStream::connect(member_address)?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    if links.state(from, to) != LinkState::Blackhole {
        server.write_all(&encode_frame(&hello))?;
    }
    let (server_reader, client_writer) = (server.try_clone()?, client.try_clone()?);
    let response_links = links.clone();
    thread::spawn(move || {
        let state = || response_links.state(from, to);
        copy(server_reader, client_writer, state, &response_links);
    });
    copy(client, server, || links.state(from, to), links);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: impl Fn() -> LinkState, links: &Links) {
    // Errors mean that one end is already closed: nothing is left to copy or to close.
    let _ = copy_until_closed(&mut from, &mut to, state, links);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn copy_until_closed(
    from: &mut TcpStream,
    to: &mut TcpStream,
    state: impl Fn() -> LinkState,
    links: &Links,
) -> io::Result<()> {
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let max_len = match state() {
            LinkState::Refuse => return Ok(()),
            LinkState::Throttle(max_len) => max_len.clamp(1, buffer.len()),
            _ => buffer.len(),
        };
        let len = match uninterrupted(|| from.read(&mut buffer[..max_len])) {
            Ok(0) => return Ok(()),
            Ok(len) => len,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        match state() {
            LinkState::Open => {}
            LinkState::Blackhole => continue,
            LinkState::Refuse => return Ok(()),
            LinkState::Delay(ms) => thread::sleep(Duration::from_millis(ms)),
            LinkState::Throttle(_) => thread::sleep(THROTTLE_DELAY),
            LinkState::CutFrames => return to.write_all(&buffer[..len / 2]),
        }
        links.forwarded_bytes.fetch_add(len, Ordering::SeqCst);
        to.write_all(&buffer[..len])?;
    }
}
