//! Addresses on loopback.

use crate::HarnessError;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

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

/// Returns an address at which nobody listens at the moment.
///
/// # Errors
/// No port is free.
pub fn unused_address() -> Result<SocketAddr, HarnessError> {
    let listener = TcpListener::bind("127.0.0.1:0");
    let address = listener.and_then(|listener| listener.local_addr());
    address.map_err(HarnessError::io("a port"))
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
