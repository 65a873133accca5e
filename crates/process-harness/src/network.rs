//! Loopback addresses for tests.

use crate::HarnessError;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::{Mutex, PoisonError};

/// Number of values of each byte of a loopback address that are used to distribute process ids.
const ADDRESSES_PER_BYTE: u32 = 250;

/// Returns addresses that stay free until a program under test listens there. They are on a loopback address that only
/// this process uses and from which no connection is opened, so that no other socket is given their ports.
///
/// # Errors
/// No port is free.
pub fn reserve_addresses(count: usize) -> Result<Vec<SocketAddr>, HarnessError> {
    let own_address = own_loopback_address();
    // All listeners stay open until the last port is chosen, which prevents a port from being chosen twice.
    let listeners = (0..count)
        .map(|_| TcpListener::bind((own_address, 0)))
        .collect::<Result<Vec<_>, _>>();
    let addresses =
        listeners.and_then(|listeners| listeners.iter().map(TcpListener::local_addr).collect());
    addresses.map_err(HarnessError::io("loopback port"))
}

/// Sockets that keep the addresses of [`unused_address`] bound until the process ends.
static HELD_SOCKETS: Mutex<Vec<OwnedFd>> = Mutex::new(Vec::new());

/// Returns an address that refuses connections until the process ends: its port is bound, but no socket listens on it.
/// A released port could be assigned to another test, which would accept the connections.
///
/// # Errors
/// No port is free.
pub fn unused_address() -> Result<SocketAddr, HarnessError> {
    let bound = bind_without_listening();
    let (socket, address) = bound.map_err(HarnessError::io("loopback port"))?;
    let mut held = HELD_SOCKETS.lock().unwrap_or_else(PoisonError::into_inner);
    held.push(socket);
    Ok(address)
}

fn bind_without_listening() -> io::Result<(OwnedFd, SocketAddr)> {
    let flags = SocketFlags::CLOEXEC;
    let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = SocketAddr::try_from(net::getsockname(&socket)?)?;
    Ok((socket, address))
}

/// Returns a loopback address derived from the id of this process.
fn own_loopback_address() -> Ipv4Addr {
    let pid = std::process::id();
    let byte = |divisor: u32| (pid / divisor % ADDRESSES_PER_BYTE) as u8;
    Ipv4Addr::new(
        127,
        1 + byte(ADDRESSES_PER_BYTE * ADDRESSES_PER_BYTE),
        byte(ADDRESSES_PER_BYTE),
        1 + byte(1),
    )
}
