//! Listening sockets that several incarnations of a process share.
//!
//! While a standby starts and the active process still serves, both listen at the clients' address, and the system
//! distributes new connections among them.

use nix::libc::{self, sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use rustix::net::{sockopt, AddressFamily, SocketAddrAny, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The backlog until the server sets its own when it starts to accept.
const INITIAL_BACKLOG: i32 = 128;

/// Binds a TCP socket with `SO_REUSEADDR` and `SO_REUSEPORT`, so that another process of the same user may bind the
/// same address at the same time. Until [`listen`] is called, connections are refused.
///
/// # Errors
/// What the system reports for the socket, the options or the bind: the address is taken by a socket without
/// `SO_REUSEPORT`, say, or it is not one of this machine's.
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &SocketAddrAny::from(address))?;
    Ok(TcpListener::from(socket))
}

/// Has the system take connections for a socket from now on; they wait until they are accepted.
///
/// # Errors
/// What the system reports: another socket listens at the address without `SO_REUSEPORT`, say.
pub fn listen(listener: &TcpListener) -> io::Result<()> {
    Ok(rustix::net::listen(listener, INITIAL_BACKLOG)?)
}

/// Whether a failed `accept` says something of the connection that waited, or of nothing at all: the next one can be
/// accepted at once. Linux passes on errors that were already pending on a new connection. Other errors are of the
/// system, which is short of something, and the connection waits on.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    const OF_ONE_CONNECTION: &[i32] = &[
        libc::ECONNABORTED,
        libc::ECONNRESET,
        libc::EINTR,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::ENETUNREACH,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::EHOSTUNREACH,
        libc::ENONET,
        libc::EOPNOTSUPP,
        libc::ETIMEDOUT,
        libc::EPERM,
    ];
    error
        .raw_os_error()
        .is_some_and(|number| OF_ONE_CONNECTION.contains(&number))
}

/// The packet filter instruction that ends a program with a constant.
const BPF_RETURN: u16 = 0x06;

/// Has the system give all new connections at an address to `listener`, which was opened after `earlier_listeners` of
/// other processes: a process that is stopped, or about to end, would keep its part of them waiting. Where one of these
/// closes, the system distributes connections by chance again, among those that are left.
///
/// # Errors
/// The listener was not bound with [`bind_shared`], or the system has no such filters. Connections are then distributed
/// by chance.
pub fn prefer(listener: &TcpListener, earlier_listeners: usize) -> io::Result<()> {
    // The system picks the listener with the number that the program returns, in the order in which they were opened.
    let mut program = [sock_filter {
        code: BPF_RETURN,
        jt: 0,
        jf: 0,
        k: earlier_listeners as u32,
    }];
    let program = sock_fprog {
        len: 1,
        filter: program.as_mut_ptr(),
    };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
}

#[cfg(test)]
mod tests;
