//! A listener on a free loopback port that serves each connection in a thread.

use crate::{uninterrupted, wait_for, HarnessError};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// A listener that serves each connection in a thread of its own, until the process ends.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
}

impl Listener {
    /// Listens on a free port. `subject` names it in errors.
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
                // Counted as it is accepted, and not once its thread runs.
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

    /// Waits until all connections that were opened before are closed, and all that was sent on them was served.
    ///
    /// # Errors
    /// One is not closed in time, or no connection can be opened.
    pub fn wait_until_disconnected(&self) -> Result<(), HarnessError> {
        // Connections are accepted in their order: once this one is closed, all before it were accepted.
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
