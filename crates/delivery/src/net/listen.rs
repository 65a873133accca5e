//! Listening sockets that a second life of the process may open beside the first: while a new process comes
//! up and the old one still serves, both listen at the clients' address, and the system deals new
//! connections out between them.

use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
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
    let family = if at.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &SocketAddrAny::from(at))?;
    // The server sets its own backlog when it starts to accept.
    rustix::net::listen(&socket, 128)?;
    Ok(TcpListener::from(socket))
}

/// A packet filter's instruction that ends it with a constant.
const RETURN: u16 = 0x06;

/// Has the system give all new connections at an address to `listener`, before which `others` of other processes listen
/// there: a process that is stopped, or about to end, would keep its part of them waiting. Where one of these closes,
/// the system deals connections out by chance again, among those that are left.
///
/// # Errors
/// The listener is not [`shared`], or the system knows no such filters. Connections are then dealt out by chance.
pub fn prefer(listener: &TcpListener, others: usize) -> io::Result<()> {
    // The system picks the listener with the number that the program returns, in the order in which they were opened.
    let mut program = [sock_filter {
        code: RETURN,
        jt: 0,
        jf: 0,
        k: others as u32,
    }];
    let program = sock_fprog {
        len: 1,
        filter: program.as_mut_ptr(),
    };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
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
        assert!(
            TcpListener::bind(at).is_err(),
            "one without the option may not join them"
        );
    }

    #[test]
    fn the_one_that_is_preferred_gets_all_connections_until_it_closes() {
        use std::net::TcpStream;
        let first = shared(([127, 0, 0, 1], 0).into()).unwrap();
        let at = first.local_addr().unwrap();
        let second = shared(at).unwrap();
        prefer(&second, 1).unwrap();
        let waiting = |listener: &TcpListener| {
            listener.set_nonblocking(true).unwrap();
            std::iter::from_fn(|| listener.accept().ok()).count()
        };
        let _held: Vec<_> = (0..50).map(|_| TcpStream::connect(at).unwrap()).collect();
        assert_eq!((waiting(&first), waiting(&second)), (0, 50));
        drop(second);
        let _held: Vec<_> = (0..50).map(|_| TcpStream::connect(at).unwrap()).collect();
        assert_eq!(waiting(&first), 50);
        assert!(
            prefer(&TcpListener::bind("127.0.0.1:0").unwrap(), 1).is_err(),
            "it shares with nobody"
        );
    }
}
