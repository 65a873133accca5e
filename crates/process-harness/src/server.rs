//! An HTTP server in place of a system outside.

use crate::http::{is_timeout, write_response, Message};
use crate::{uninterrupted, HarnessError, Listener};
use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a request may take from its first byte to its last, at a server that is polled.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a response itself. An error closes the connection.
pub type Responder = Box<dyn FnOnce(&mut TcpStream) -> io::Result<()> + Send>;

/// What a server does with a request.
pub enum Reply {
    /// Responds without a body.
    Status {
        /// The status.
        status: u16,
        /// Complete header lines with their ends.
        header_lines: String,
    },
    /// Responds with status 200 and a body.
    Body(String),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing until the client closes the connection or sends more.
    Hang,
    /// Responds in a way of its own.
    Custom(Responder),
}

impl Reply {
    /// Status 200 without a body.
    pub fn ok() -> Reply {
        Reply::status(200)
    }

    /// A status without a body.
    pub fn status(status: u16) -> Reply {
        Reply::Status {
            status,
            header_lines: String::new(),
        }
    }

    /// A status with `Retry-After`, as its value in seconds.
    pub fn retry_after(status: u16, seconds: &str) -> Reply {
        Reply::Status {
            status,
            header_lines: format!("{}: {seconds}\r\n", crate::headers::RETRY_AFTER),
        }
    }
}

/// Handles the requests of a server.
pub trait RequestHandler: Send + Sync + 'static {
    /// Decides what is done with a request.
    fn handle(&self, request: &Message) -> Reply;

    /// How often idle connections ask [`is_down`](RequestHandler::is_down); `None` if never.
    fn poll_interval(&self) -> Option<Duration> {
        None
    }

    /// Whether the server closes its idle connections now.
    fn is_down(&self) -> bool {
        false
    }
}

impl<F: Fn(&Message) -> Reply + Send + Sync + 'static> RequestHandler for F {
    fn handle(&self, request: &Message) -> Reply {
        self(request)
    }
}

/// Starts a server on a free port, which runs until the process ends. Returns its address.
///
/// # Errors
/// No port is free.
pub fn start(subject: &str, handler: impl RequestHandler) -> Result<SocketAddr, HarnessError> {
    Ok(start_listener(subject, handler)?.address)
}

fn start_listener(subject: &str, handler: impl RequestHandler) -> Result<Listener, HarnessError> {
    Listener::start(subject, move |stream| {
        // A broken connection is the client's matter.
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

/// Waits for the next request; `None` once the connection has ended or the server is down.
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

/// A server that records the requests that it received.
#[derive(Clone, Debug)]
pub struct TestServer {
    /// Where it listens.
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
        let listener = start_listener("a stand-in's port", move |request: &Message| {
            // Decided before it is recorded, so that whoever waits for the record also sees what was done.
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

    /// The requests received until now, in their order.
    pub fn requests(&self) -> MutexGuard<'_, Vec<Message>> {
        lock(&self.requests)
    }

    /// Waits until all connections that clients opened before are closed, and what was sent on them is recorded. After a
    /// client was killed, what it left in its connections is read only then.
    ///
    /// # Errors
    /// One is not closed in time.
    pub fn wait_until_disconnected(&self) -> Result<(), HarnessError> {
        self.listener.wait_until_disconnected()
    }

    /// How many requests were received.
    pub fn request_count(&self) -> usize {
        self.requests().len()
    }
}

fn lock(requests: &Mutex<Vec<Message>>) -> MutexGuard<'_, Vec<Message>> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}
