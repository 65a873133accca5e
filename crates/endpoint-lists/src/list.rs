//! An endpoint list and its file format: TOML with the revision both at the start and at the end.
//!
//! A truncated TOML file is often still valid TOML. This format therefore requires that the last line is the `revision` of
//! the `[end]` table, with its line break, so that every truncated list is invalid. A file that is being written in place
//! may start with the new content and end with the old content. It is rejected because the two revisions differ.

mod endpoint;
mod parse;
mod print;

pub use parse::{ParsedList, Spans};

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum weight of an endpoint.
pub const MAX_WEIGHT: f64 = 1000.0;

/// One endpoint of a destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// The name, unique within the destination. An endpoint keeps its identity when its address changes.
    pub name: String,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's share of the destination's calls, relative to the weights of the destination's other endpoints. An
    /// endpoint with weight 0 receives no new attempts.
    pub weight: f64,
    /// The zone; empty if the list gives none.
    pub zone: String,
    /// Whether the endpoint is draining: it completes its attempts in flight and receives no new ones.
    pub draining: bool,
}

impl Endpoint {
    /// Returns whether the endpoint receives new attempts.
    pub fn is_active(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// The endpoints of one destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Destination {
    /// The endpoints, in the order of the file.
    pub endpoints: Vec<Endpoint>,
}

/// Losses that a list explicitly allows although they exceed the limits of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossAllowance {
    /// Destinations that may lose more of their weight than the rules permit.
    pub destinations: BTreeSet<String>,
    /// Whether the list may lose more of its endpoints than the rules permit.
    pub endpoints: bool,
}

/// The endpoints of any number of destinations, as one file lists them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointList {
    /// The revision, which increases with each change.
    pub revision: u64,
    /// The destinations, by name.
    pub destinations: BTreeMap<String, Destination>,
    /// The losses that this revision allows; `None` if it allows none.
    #[serde(rename = "allow_loss")]
    pub loss_allowance: Option<LossAllowance>,
}
