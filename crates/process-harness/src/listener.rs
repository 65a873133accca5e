//! A listener on a free loopback port that serves each connection in a thread.

use crate::HarnessError;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Listens on a free port and serves each connection in a thread of its own, until the process ends. Returns the
/// address.
///
/// # Errors
/// No port is free.
pub fn serve_connections(
    subject: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> Result<SocketAddr, HarnessError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(HarnessError::io(subject))?;
    let address = listener.local_addr().map_err(HarnessError::io(subject))?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}
