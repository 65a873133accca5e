//! The network code around the core.
//!
//! [`http`] parses HTTP/1.1, and [`connection`] reads and writes it on one TCP connection. [`server`] serves clients,
//! [`pool`] runs attempts against endpoints, [`discovery`] watches the endpoint list and delivers notices, and
//! [`admin`] serves operators' calls. [`frontend::Frontend`] is the interface for parsing requests and encoding
//! responses. Its implementations are in [`crate::frontend`].

pub mod admin;
pub mod connection;
pub mod discovery;
pub mod frontend;
pub mod http;
pub mod listener;
pub mod memory_budget;
pub mod pool;
pub mod server;
pub mod spawner;
