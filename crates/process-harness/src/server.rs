//! HTTP servers that stand in for systems outside the program under test.

use crate::http::{is_timeout, write_response, Message};
use crate::{uninterrupted, HarnessError, Listener};
use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum time that a read of a request blocks after the first byte has arrived, at a server with a poll interval.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A function that writes a response itself. An error closes the connection.
pub type Responder = Box<dyn FnOnce(&mut TcpStream) -> io::Result<()> + Send>;

/// The reaction of a server to a request.
pub enum Reply {
    /// Responds without a body.
    Status {
        /// The status code.
        status: u16,
        /// Complete header lines with their line ends.
        header_lines: String,
    },
    /// Responds with status 200 and a body.
    Body(String),
    /// Closes the connection without a response.
    Close,
    /// Sends no response, and waits until the client closes the connection or sends more data.
    Hang,
    /// Calls a function that writes the response.
    Custom(Responder),
}

impl Reply {
    /// Returns a response with status 200 and without a body.
    pub fn ok() -> Reply {
        Reply::status(200)
    }

    /// Returns a response with a status and without a body.
    pub fn status(status: u16) -> Reply {
        Reply::Status {
            status,
            header_lines: String::new(),
        }
    }

    /// Returns a response with a status and a `Retry-After` field, whose value is in seconds.
    pub fn retry_after(status: u16, seconds: &str) -> Reply {
        Reply::Status {
            status,
            header_lines: format!("{}: {seconds}\r\n", crate::headers::RETRY_AFTER),
        }
    }
}

/// The behaviour of a server, provided by a test.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the reaction to a request.
    fn handle(&self, request: &Message) -> Reply;

    /// Returns the interval at which idle connections check [`is_down`](RequestHandler::is_down), or `None` to never check.
    fn poll_interval(&self) -> Option<Duration> {
        None
    }

    /// Returns whether the server currently closes its idle connections.
    fn is_down(&self) -> bool {
        false
    }
}

impl<F: Fn(&Message) -> Reply + Send + Sync + 'static> RequestHandler for F {
    fn handle(&self, request: &Message) -> Reply {
        self(request)
    }
}

/// Starts a server on a free port and returns its address. The server runs until the test process ends. `subject`
/// describes the port in errors.
///
/// # Errors
/// No port is free.
pub fn start(subject: &str, handler: impl RequestHandler) -> Result<SocketAddr, HarnessError> {
    Ok(start_listener(subject, handler)?.address)
}

fn start_listener(subject: &str, handler: impl RequestHandler) -> Result<Listener, HarnessError> {
    Listener::start(subject, move |stream| {
        // An error ends only this connection, and the client handles it.
        let _ = serve(stream, &handler);
    })
}

fn serve(stream: TcpStream, handler: &impl RequestHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = next_request(&mut reader, handler)? {
        match handler.handle(&request) {
            Reply::Status {
                status,
                header_lines,
            } => write_response(&mut writer, status, &header_lines, b"")?,
            Reply::Body(body) => write_response(&mut writer, 200, "", body.as_bytes())?,
            Reply::Close => return Ok(()),
            Reply::Hang => drop(uninterrupted(|| reader.read(&mut [0]))),
            Reply::Custom(respond) => respond(&mut writer)?,
        }
    }
    Ok(())
}

/// Waits for the next request. Returns `None` once the connection has ended or the server is down.
fn next_request(
    reader: &mut BufReader<TcpStream>,
    handler: &impl RequestHandler,
) -> io::Result<Option<Message>> {
    let Some(poll_interval) = handler.poll_interval() else {
        return Ok(Message::read(reader));
    };
    reader.get_ref().set_read_timeout(Some(poll_interval))?;
    loop {
        if handler.is_down() {
            return Ok(None);
        }
        match uninterrupted(|| reader.fill_buf().map(<[u8]>::len)) {
            Ok(0) => return Ok(None),
            Ok(_) => break,
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
    reader.get_ref().set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let request = Message::read(reader);
    reader.get_ref().set_read_timeout(Some(poll_interval))?;
    Ok(request)
}

/// A server that records all requests.
#[derive(Clone, Debug)]
pub struct TestServer {
    /// The address of the server.
    pub address: SocketAddr,
    listener: Listener,
    requests: Arc<Mutex<Vec<Message>>>,
}

impl TestServer {
    /// Starts a server on a free port.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(
        respond: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Result<TestServer, HarnessError> {
        let requests = Arc::<Mutex<Vec<Message>>>::default();
        let recorded = Arc::clone(&requests);
        let listener = start_listener("port of a test server", move |request: &Message| {
            // The handler runs before the request is recorded: a test that waits for the record then sees the handler's
            // effects.
            let reply = respond(request);
            lock(&recorded).push(request.clone());
            reply
        })?;
        Ok(TestServer {
            address: listener.address,
            listener,
            requests,
        })
    }

    /// Returns the requests received so far, in order.
    pub fn requests(&self) -> MutexGuard<'_, Vec<Message>> {
        lock(&self.requests)
    }

    /// Waits until all connections opened before this call are closed and all requests sent on them are recorded. Without
    /// this wait, requests that a killed client has left in its connections may not yet have been read.
    ///
    /// # Errors
    /// A connection is not closed within [`WAIT_LIMIT`](crate::WAIT_LIMIT), or no connection can be opened.
    pub fn wait_until_disconnected(&self) -> Result<(), HarnessError> {
        self.listener.wait_until_disconnected()
    }

    /// Returns the number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.requests().len()
    }
}

fn lock(requests: &Mutex<Vec<Message>>) -> MutexGuard<'_, Vec<Message>> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}
