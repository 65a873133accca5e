//! Listening sockets, whose address several incarnations of a process may share.
//!
//! During a hot restart, the standby and the active process both listen on the clients' address, and the operating
//! system distributes new connections between them.

use async_io::Timer;
use futures_lite::future;
use nix::libc::{self, sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use rustix::net::{sockopt, AddressFamily, SocketAddrAny, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Maximum number of connections in the accept queue. A client whose connection does not fit retries a second later.
const BACKLOG: i32 = 1024;
/// Delay after an `accept` that failed for lack of a resource. Immediate retries would be a busy loop.
const SYSTEM_ERROR_DELAY: Duration = Duration::from_millis(2);
/// The opcode of the classic BPF instruction that returns a constant (`BPF_RET | BPF_K`).
const BPF_RETURN: u16 = 0x06;

/// Binds a TCP socket with `SO_REUSEADDR` and `SO_REUSEPORT`, so that another process of the same user can bind the
/// same address at the same time. Connections are refused until [`listen`] is called.
///
/// # Errors
/// Returns the I/O error of creating the socket, setting its options or binding it. For example, the address is bound
/// by a socket without `SO_REUSEPORT`, or does not belong to this machine.
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = open_socket(address)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(socket, address)
}

/// Binds a TCP socket with `SO_REUSEADDR`. Connections are refused until [`listen`] is called.
///
/// # Errors
/// Returns the I/O error of creating the socket, setting its options or binding it. For example, another socket listens
/// on the address, or the address does not belong to this machine.
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

/// Starts to listen: the operating system queues connections until they are accepted. Has no effect on a socket that
/// listens already.
///
/// # Errors
/// Returns the I/O error. For example, another socket without `SO_REUSEPORT` listens on the address.
pub fn listen(listener: &TcpListener) -> io::Result<()> {
    Ok(rustix::net::listen(listener, BACKLOG)?)
}

/// Errors of `accept` after which the next connection can be accepted at once. Most are errors of the queued
/// connection, which Linux reports instead of returning it. `EINTR` concerns no connection.
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

/// Waits after a failed `accept`. Only yields if the next connection can be accepted at once. Sleeps for a moment if
/// the operating system lacks a resource, in which case the connection stays in the accept queue.
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

/// Directs all new connections on a shared address to `listener`, which was opened after `earlier_listeners` listeners
/// of other processes. A process that is stopped, or about to end, would leave its share of the connections waiting.
/// Once any of these listeners closes, the operating system distributes connections by hash again.
///
/// # Errors
/// Fails if the listener was not bound with [`bind_shared`], or the operating system does not support such filters.
/// Connections are then distributed by hash.
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
