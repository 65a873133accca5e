//! The network around the core.
//!
//! [`http`] parses HTTP/1.1, [`connection`] reads and writes it on one TCP connection. [`server`] serves clients,
//! [`pool`] runs attempts against endpoints, [`discovery`] watches the endpoint list and delivers notices, and [`admin`]
//! takes operators' calls. What a request means is up to a [`frontend::Frontend`], which lies below the translations of
//! the platform's protocol and of CloudEvents.

pub mod admin;
pub mod connection;
pub mod discovery;
pub mod frontend;
pub mod http;
pub mod listener;
pub mod pool;
pub mod response_fields;
pub mod server;
pub mod spawner;
