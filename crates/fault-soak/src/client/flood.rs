//! A client that sends invalid requests under ever new names on one connection, as fast as they are answered.

use super::{receive, request_bytes, Class, Clients, POLL_INTERVAL, RESPONSE_TIMEOUT};
use crate::plan::{ClientFault, PlannedFaultKind};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

impl Clients {
    /// Sends requests while the fault is active, until the client is stopped.
    pub fn run_flood(&self) {
        while !self.stop.load(Ordering::SeqCst) {
            if self.is_flooding() {
                // The process may close the connection at any time.
                let _ = self.flood();
            } else {
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn is_flooding(&self) -> bool {
        let active = self.schedule.active(|fault| {
            let is_active = fault.kind == PlannedFaultKind::Clients(ClientFault::Flood)
                && fault.is_for(self.process, self.processes);
            is_active.then_some(())
        });
        active.is_some()
    }

    fn flood(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut sent = 0;
        while self.is_flooding() && !self.stop.load(Ordering::SeqCst) {
            sent += 1;
            // No list names such a destination.
            let destination = usize::MAX - sent;
            let id = format!("flood-{}-{sent}", self.process);
            stream.write_all(&request_bytes(&id, Class::Idempotent, destination, 2000, 0))?;
            if !receive(&mut stream).is_reusable {
                return Ok(());
            }
        }
        Ok(())
    }
}
