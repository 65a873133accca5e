//! Addresses on loopback.

use crate::HarnessError;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::{Mutex, PoisonError};

/// Process ids are spread over this many addresses in each of the last two bytes.
const ADDRESSES_PER_BYTE: u32 = 250;

/// Returns addresses that stay free while nobody listens there. They are on a loopback address that this process has
/// for itself and from which no connection is opened.
///
/// # Errors
/// No port is free.
pub fn reserve_addresses(count: usize) -> Result<Vec<SocketAddr>, HarnessError> {
    let own_address = own_loopback_address();
    // All listeners are kept until the last port is chosen, so that no port is chosen twice.
    let listeners = (0..count)
        .map(|_| TcpListener::bind((own_address, 0)))
        .collect::<Result<Vec<_>, _>>();
    let addresses =
        listeners.and_then(|listeners| listeners.iter().map(TcpListener::local_addr).collect());
    addresses.map_err(HarnessError::io("a port"))
}

/// Sockets of addresses that nobody may listen at, held until the process ends.
static HELD_SOCKETS: Mutex<Vec<OwnedFd>> = Mutex::new(Vec::new());

/// Returns an address that refuses connections until the process ends: its port is bound, and nobody listens there. A
/// port that was given back to the system could be given to another test.
///
/// # Errors
/// No port is free.
pub fn unused_address() -> Result<SocketAddr, HarnessError> {
    let bound = bind_without_listening();
    let (socket, address) = bound.map_err(HarnessError::io("a port"))?;
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
