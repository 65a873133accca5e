//! The exchange of one request and its response on a new connection.

use super::Message;
use std::fmt;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A step of an exchange, which may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Opening the connection.
    Connect,
    /// Writing the request.
    Write,
    /// Reading the response.
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

/// The failure of an exchange to return a response.
#[derive(Debug, thiserror::Error)]
#[error("no response from {address} at local port {local_port}: {step} failed after {} ms", elapsed.as_millis())]
pub struct ExchangeError {
    /// The address of the server.
    pub address: SocketAddr,
    /// The client's port; 0 if no connection was opened.
    pub local_port: u16,
    /// The step that failed.
    pub step: ExchangeStep,
    /// Time from the start of the exchange to the failure.
    pub elapsed: Duration,
    /// The I/O error of the step.
    pub source: io::Error,
}

/// Sends bytes on a new connection and returns the response. `timeout` applies to the connect and to each read.
///
/// # Errors
/// A step fails or exceeds the timeout.
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
