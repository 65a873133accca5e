//! A TCP listener on a free loopback port.

use crate::{uninterrupted, wait_for, HarnessError};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// A listener that serves each connection in its own thread until the test process ends.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The address of the listener.
    pub address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
}

impl Listener {
    /// Starts to listen on a free port. `subject` describes the port in errors.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(
        subject: &str,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Result<Listener, HarnessError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(HarnessError::io(subject))?;
        let address = listener.local_addr().map_err(HarnessError::io(subject))?;
        let open_connections = Arc::<AtomicUsize>::default();
        let counter = Arc::clone(&open_connections);
        let serve = Arc::new(serve);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The connection is counted here, because its thread may start late.
                let connection = OpenConnection::new(&counter);
                let serve = Arc::clone(&serve);
                thread::spawn(move || {
                    serve(stream);
                    drop(connection);
                });
            }
        });
        Ok(Listener {
            address,
            open_connections,
        })
    }

    /// Waits until all connections opened before this call are closed and all data sent on them has been served.
    ///
    /// # Errors
    /// A connection is not closed within [`WAIT_LIMIT`](crate::WAIT_LIMIT), or no connection can be opened.
    pub fn wait_until_disconnected(&self) -> Result<(), HarnessError> {
        // Connections are accepted in the order in which they were opened. Once the probe is closed, all earlier ones have
        // been accepted and counted.
        let probe = TcpStream::connect(self.address);
        probe
            .and_then(|mut probe| {
                probe.shutdown(Shutdown::Write)?;
                uninterrupted(|| probe.read(&mut [0]))
            })
            .map_err(HarnessError::io(self.address.to_string()))?;
        wait_for("all connections to be closed", || {
            self.open_connections.load(Ordering::SeqCst) == 0
        })
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(counter: &Arc<AtomicUsize>) -> OpenConnection {
        counter.fetch_add(1, Ordering::SeqCst);
        OpenConnection(Arc::clone(counter))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
