//! One request and its response on a connection of their own.

use super::Message;
use std::fmt;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The step at which an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    /// The connection was being opened.
    Connect,
    /// The request was being written.
    Write,
    /// The response was being read.
    Read,
}

impl fmt::Display for ExchangeStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExchangeStep::Connect => "connect",
            ExchangeStep::Write => "write",
            ExchangeStep::Read => "read",
        })
    }
}

/// Why an exchange brought no response.
#[derive(Debug, thiserror::Error)]
#[error("no response of {address} at local port {local_port}: {step} failed after {} ms", elapsed.as_millis())]
pub struct ExchangeError {
    /// The address of the server.
    pub address: SocketAddr,
    /// The client's port; 0 where no connection was opened.
    pub local_port: u16,
    /// The step that failed.
    pub step: ExchangeStep,
    /// How long the exchange had taken by then.
    pub elapsed: Duration,
    /// What the operating system reported.
    pub source: io::Error,
}

/// Sends bytes on a connection of their own, and returns the response.
///
/// # Errors
/// No response is received, or not within a timeout.
pub fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    timeout: Duration,
) -> Result<Message, ExchangeError> {
    let started_at = Instant::now();
    let failed = |step, local_port| {
        move |source| ExchangeError {
            address,
            local_port,
            step,
            elapsed: started_at.elapsed(),
            source,
        }
    };
    let connected = TcpStream::connect_timeout(&address, timeout);
    let mut stream = connected.map_err(failed(ExchangeStep::Connect, 0))?;
    let local_port = stream.local_addr().map_or(0, |local| local.port());
    stream
        .set_read_timeout(Some(timeout))
        .and_then(|()| stream.write_all(bytes))
        .map_err(failed(ExchangeStep::Write, local_port))?;
    Message::try_read(&mut BufReader::new(stream)).map_err(failed(ExchangeStep::Read, local_port))
}
