//! Listening sockets, which several incarnations of a process may share.
//!
//! While a standby starts and the active process still serves, both listen on the clients' address, and the system
//! distributes new connections between them.

use async_io::Timer;
use futures_lite::future;
use nix::libc::{self, sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use rustix::net::{sockopt, AddressFamily, SocketAddrAny, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Connections that the system queues; a client that finds the queue full retries a second later.
const BACKLOG: i32 = 1024;
/// The delay after an `accept` that failed for lack of a resource, where an immediate retry would spin.
const SYSTEM_ERROR_DELAY: Duration = Duration::from_millis(2);
/// The code of the packet filter instruction that ends a program with a constant result.
const BPF_RETURN: u16 = 0x06;

/// Binds a TCP socket with `SO_REUSEADDR` and `SO_REUSEPORT`, so that another process of the same user can bind the
/// same address at the same time. Connections are refused until [`listen`] is called.
///
/// # Errors
/// The system's error for the socket, its options or the bind: the address is bound by a socket without
/// `SO_REUSEPORT`, for example, or does not belong to this machine.
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = open_socket(address)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(socket, address)
}

/// Binds a TCP socket with `SO_REUSEADDR`. Connections are refused until [`listen`] is called.
///
/// # Errors
/// The system's error for the socket, its options or the bind: another socket listens at the address, for example, or it
/// does not belong to this machine.
pub fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    bind(open_socket(address)?, address)
}

fn open_socket(address: SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    Ok(socket)
}

fn bind(socket: OwnedFd, address: SocketAddr) -> io::Result<TcpListener> {
    rustix::net::bind(&socket, &SocketAddrAny::from(address))?;
    Ok(TcpListener::from(socket))
}

/// Starts to listen: the system queues connections until they are accepted. Has no effect on a socket that listens.
///
/// # Errors
/// The system's error: another socket listens on the address without `SO_REUSEPORT`, for example.
pub fn listen(listener: &TcpListener) -> io::Result<()> {
    Ok(rustix::net::listen(listener, BACKLOG)?)
}

/// Errors of `accept` that belong to the waiting connection, which Linux reports in place of it, or to nothing at all.
/// The next connection can be accepted at once.
const ERRORS_OF_ONE_CONNECTION: &[i32] = &[
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

/// Waits after a failed `accept`: it only yields where the next connection can be accepted at once, and sleeps for a
/// moment where the system lacks a resource and leaves the connection in its queue.
pub async fn wait_after_accept_error(error: &io::Error) {
    if concerns_one_connection(error) {
        future::yield_now().await;
    } else {
        Timer::after(SYSTEM_ERROR_DELAY).await;
    }
}

fn concerns_one_connection(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| ERRORS_OF_ONE_CONNECTION.contains(&number))
}

/// Directs all new connections on an address to `listener`, which was opened after `earlier_listeners` of other
/// processes: a process that is stopped, or about to end, would leave its share of them waiting. Once one of these
/// listeners closes, the system distributes connections by hash again.
///
/// # Errors
/// The listener was not bound with [`bind_shared`], or the system has no such filters. Connections are then distributed
/// by hash.
pub fn prefer(listener: &TcpListener, earlier_listeners: usize) -> io::Result<()> {
    // The program returns the index of the listener to use, in the order in which the listeners were opened.
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
