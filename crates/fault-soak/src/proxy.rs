//! The fault proxy: it stands before each endpoint at the address that the list names, and disturbs what passes.

use crate::plan::{ProxyTrouble, TroubleKind};
use crate::schedule::Schedule;
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long a read waits before the proxy looks at the plan again.
const PATIENCE: Duration = Duration::from_millis(5);
/// How long a delayed piece waits.
const DELAY: Duration = Duration::from_millis(100);
/// How long a connection may be idle at a proxy that closes idle ones.
const IDLE: Duration = Duration::from_millis(60);
/// How long a byte takes that trickles.
const TRICKLE: Duration = Duration::from_millis(1);
const BUFFER: usize = 16 * 1024;

/// The proxy before one endpoint.
#[derive(Clone)]
struct Proxy {
    endpoint: usize,
    endpoints: usize,
    target: SocketAddr,
    schedule: Schedule,
}

/// Starts a proxy before an endpoint; returns where it listens.
///
/// # Errors
/// No port is free.
pub fn start(
    endpoint: usize,
    endpoints: usize,
    target: SocketAddr,
    schedule: Schedule,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let proxy = Proxy {
        endpoint,
        endpoints,
        target,
        schedule,
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let proxy = proxy.clone();
            thread::spawn(move || drop(proxy.pass(stream)));
        }
    });
    Ok(address)
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToEndpoint,
    ToCaller,
}

impl Proxy {
    fn trouble(&self) -> Option<ProxyTrouble> {
        self.schedule.in_force(|trouble| match trouble.kind {
            TroubleKind::Proxy(kind) if trouble.target % self.endpoints == self.endpoint => {
                Some(kind)
            }
            _ => None,
        })
    }

    fn pass(&self, near: TcpStream) -> io::Result<()> {
        if self.trouble() == Some(ProxyTrouble::Refuses) {
            return reset(&near);
        }
        let far = TcpStream::connect(self.target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_again, far_again) = (near.try_clone()?, far.try_clone()?);
        let back = self.clone();
        thread::spawn(move || back.carry(far_again, near_again, Way::ToCaller));
        self.carry(near, far, Way::ToEndpoint);
        Ok(())
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        let _ = self.carry_on(&mut from, &mut to, way);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    fn carry_on(&self, from: &mut TcpStream, to: &mut TcpStream, way: Way) -> io::Result<()> {
        from.set_read_timeout(Some(PATIENCE))?;
        let mut buffer = [0; BUFFER];
        let mut idle_since = Instant::now();
        loop {
            let trouble = self.trouble();
            if trouble == Some(ProxyTrouble::Refuses) {
                return reset(if way == Way::ToEndpoint { from } else { to });
            }
            let is_idle = way == Way::ToEndpoint && idle_since.elapsed() > IDLE;
            if trouble == Some(ProxyTrouble::ClosesIdle) && is_idle {
                return Ok(());
            }
            let len = match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    continue
                }
                Err(error) => return Err(error),
            };
            idle_since = Instant::now();
            self.pass_on(&buffer[..len], from, to, way)?;
        }
    }

    fn pass_on(
        &self,
        bytes: &[u8],
        from: &mut TcpStream,
        to: &mut TcpStream,
        way: Way,
    ) -> io::Result<()> {
        match (self.trouble(), way) {
            (Some(ProxyTrouble::Swallows), _) => Ok(()),
            (Some(ProxyTrouble::Delays), _) => {
                thread::sleep(DELAY);
                to.write_all(bytes)
            }
            (Some(ProxyTrouble::Trickles), _) => bytes.iter().try_for_each(|byte| {
                thread::sleep(TRICKLE);
                to.write_all(&[*byte])
            }),
            (Some(ProxyTrouble::CutsAnswers), Way::ToCaller) => {
                to.write_all(&bytes[..bytes.len() / 2])?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            (Some(ProxyTrouble::ResetsUnderRequests), Way::ToEndpoint) => {
                to.write_all(bytes)?;
                thread::sleep(PATIENCE);
                reset(from)?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            _ => to.write_all(bytes),
        }
    }
}

/// Ends a connection by a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    stream.shutdown(Shutdown::Both)
}
