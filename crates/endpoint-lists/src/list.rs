//! An endpoint list and its file format: TOML that states its revision both at the start and at the end.
//!
//! A truncated file is often valid TOML. Here the last line must be the `revision` of the `[end]` table with its line break,
//! so that no truncated list is valid. While a file is written in place it may consist of the start of the new content and
//! the end of the old one; their revisions differ.

mod endpoint;
mod parse;
mod print;

pub use parse::{ParsedList, Spans};

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The largest weight.
pub const MAX_WEIGHT: f64 = 1000.0;

/// One endpoint of a destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// The name, unique within the destination. It identifies the endpoint if its address changes.
    pub name: String,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's share of the destination's calls, relative to the weights of the others. With 0 it receives no new
    /// attempts.
    pub weight: f64,
    /// The zone; empty if none is given.
    pub zone: String,
    /// Whether the endpoint completes its attempts and receives no new ones.
    pub draining: bool,
}

impl Endpoint {
    /// Whether the endpoint receives new attempts.
    pub fn is_active(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// The endpoints of one destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Destination {
    /// The endpoints in the order of the file.
    pub endpoints: Vec<Endpoint>,
}

/// Losses that a list allows for the change that it makes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossAllowance {
    /// Destinations that may lose most of their weight.
    pub destinations: BTreeSet<String>,
    /// Whether most endpoints of the file may be lost.
    pub endpoints: bool,
}

/// An endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointList {
    /// The revision, which grows with each change.
    pub revision: u64,
    /// The destinations by name.
    pub destinations: BTreeMap<String, Destination>,
    /// Losses that are allowed for this revision.
    #[serde(rename = "allow_loss")]
    pub loss_allowance: Option<LossAllowance>,
}
