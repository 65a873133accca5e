//! Listening sockets that a second life of the process may open beside the first: while a new process comes
//! up and the old one still serves, both listen at the clients' address, and the system deals new
//! connections out between them.

use rustix::net::{sockopt, AddressFamily, SocketAddrAny, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Binds a TCP listener at `at` with `SO_REUSEADDR` and `SO_REUSEPORT`, so that another process of the same
/// user may bind the same address at the same time.
///
/// # Errors
/// What the system says to the socket, the options or the bind, as `io::Error`: the address is taken by a
/// socket without `SO_REUSEPORT`, say, or it is not one of this machine's.
pub fn shared(at: SocketAddr) -> io::Result<TcpListener> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &SocketAddrAny::from(at))?;
    // The server sets its own backlog when it starts to accept.
    rustix::net::listen(&socket, 128)?;
    Ok(TcpListener::from(socket))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_listeners_share_one_address_and_a_plain_one_is_refused() {
        let first = shared(([127, 0, 0, 1], 0).into()).unwrap();
        let at = first.local_addr().unwrap();
        let second = shared(at).unwrap();
        assert_eq!(second.local_addr().unwrap(), at);
        assert!(TcpListener::bind(at).is_err(), "one without the option may not join them");
    }
}
