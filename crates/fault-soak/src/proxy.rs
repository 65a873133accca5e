//! The fault proxy in front of an endpoint. It listens at the address in the endpoint list, and disturbs connections as the
//! plan specifies.

use crate::endpoint::ENDPOINTS;
use crate::plan::{PlannedFaultKind, ProxyFault};
use crate::schedule::Schedule;
use marblefall_process_harness::http::is_timeout;
use marblefall_process_harness::{uninterrupted, HarnessError, Listener};
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Read timeout, after which the proxy checks for active faults again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of each chunk of bytes by [`ProxyFault::Delay`].
const DELAY: Duration = Duration::from_millis(100);
/// Maximum idle time of a connection under [`ProxyFault::CloseIdle`].
const IDLE_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay of each byte by [`ProxyFault::ByteByByte`].
const BYTE_DELAY: Duration = Duration::from_millis(1);
/// Pause between a request and the reset by [`ProxyFault::ResetAfterRequest`].
const RESET_DELAY: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

/// The proxy in front of one endpoint.
#[derive(Clone)]
struct Proxy {
    endpoint: usize,
    target: SocketAddr,
    schedule: Schedule,
}

/// Starts the proxy in front of an endpoint that listens at `target`. Returns the address of the proxy.
///
/// # Errors
/// No port is free.
pub fn start(
    endpoint: usize,
    target: SocketAddr,
    schedule: Schedule,
) -> Result<SocketAddr, HarnessError> {
    let proxy = Proxy {
        endpoint,
        target,
        schedule,
    };
    let listener = Listener::start("a proxy's port", move |stream| {
        // Connections break on purpose here, so errors are expected.
        let _ = proxy.forward(stream);
    })?;
    Ok(listener.address)
}

/// The direction of a copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToEndpoint,
    ToCaller,
}

impl Proxy {
    fn active_fault(&self) -> Option<ProxyFault> {
        self.schedule.active(|fault| match fault.kind {
            PlannedFaultKind::Proxy(kind) if fault.is_for(self.endpoint, ENDPOINTS) => Some(kind),
            _ => None,
        })
    }

    fn forward(&self, caller: TcpStream) -> io::Result<()> {
        if self.active_fault() == Some(ProxyFault::Refuse) {
            return reset(&caller);
        }
        let endpoint = TcpStream::connect(self.target)?;
        caller.set_nodelay(true)?;
        endpoint.set_nodelay(true)?;
        let (endpoint_reader, caller_writer) = (endpoint.try_clone()?, caller.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(endpoint_reader, caller_writer, Direction::ToCaller));
        self.copy(caller, endpoint, Direction::ToEndpoint);
        Ok(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        // Errors are ignored: if either end is already closed, nothing is left to copy or to close.
        let _ = self.copy_until_closed(&mut from, &mut to, direction);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    fn copy_until_closed(
        &self,
        from: &mut TcpStream,
        to: &mut TcpStream,
        direction: Direction,
    ) -> io::Result<()> {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut buffer = [0; BUFFER_BYTES];
        let mut idle_since = Instant::now();
        loop {
            let fault = self.active_fault();
            if fault == Some(ProxyFault::Refuse) {
                return reset(match direction {
                    Direction::ToEndpoint => from,
                    Direction::ToCaller => to,
                });
            }
            let is_idle = direction == Direction::ToEndpoint && idle_since.elapsed() > IDLE_TIMEOUT;
            if fault == Some(ProxyFault::CloseIdle) && is_idle {
                return Ok(());
            }
            let len = match uninterrupted(|| from.read(&mut buffer)) {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            idle_since = Instant::now();
            self.forward_chunk(&buffer[..len], from, to, direction)?;
        }
    }

    fn forward_chunk(
        &self,
        bytes: &[u8],
        from: &mut TcpStream,
        to: &mut TcpStream,
        direction: Direction,
    ) -> io::Result<()> {
        match (self.active_fault(), direction) {
            (Some(ProxyFault::Blackhole), _) => Ok(()),
            (Some(ProxyFault::Delay), _) => {
                thread::sleep(DELAY);
                to.write_all(bytes)
            }
            (Some(ProxyFault::ByteByByte), _) => bytes.iter().try_for_each(|byte| {
                thread::sleep(BYTE_DELAY);
                to.write_all(&[*byte])
            }),
            (Some(ProxyFault::CutResponses), Direction::ToCaller) => {
                to.write_all(&bytes[..bytes.len() / 2])?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            (Some(ProxyFault::ResetAfterRequest), Direction::ToEndpoint) => {
                to.write_all(bytes)?;
                thread::sleep(RESET_DELAY);
                reset(from)?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            _ => to.write_all(bytes),
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    stream.shutdown(Shutdown::Both)
}
