//! The network: HTTP/1.1, connections to endpoints, the client side's listener, discovery and notices.

pub mod admin;
pub mod discovery;
pub mod http;
pub mod link;
pub mod listen;
pub mod pool;
pub mod server;
