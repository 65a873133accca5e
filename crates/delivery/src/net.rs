//! The network around the core.
//!
//! [`http`] parses HTTP/1.1, [`connection`] reads and writes it on one TCP connection. [`server`] serves clients,
//! [`pool`] runs attempts against endpoints, [`discovery`] watches the endpoint list and delivers notices, and [`admin`]
//! serves operators' calls. A [`frontend::Frontend`] gives requests their meaning; the translations that implement it
//! are in [`crate::frontend`].

pub mod admin;
pub mod connection;
pub mod discovery;
pub mod frontend;
pub mod http;
pub mod listener;
pub mod pool;
pub mod server;
pub mod spawner;
