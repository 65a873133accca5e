//! An endpoint list and its file format: TOML that begins with its revision and ends with it again.
//!
//! A cut copy of a file is often valid TOML. Here the last line must be the `revision` of the `[end]` table with its line
//! break, so that no proper head of a list is one. A file that is written in place shows for a moment the new file's head
//! with the old file's tail: the two revisions differ.

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
    /// A name that stays the same when its address changes; its destination has no other of that name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its share of the destination's calls relative to the other endpoints' weights; 0 gets nothing new.
    pub weight: f64,
    /// Its zone; empty if none is given.
    pub zone: String,
    /// It finishes what it has and gets nothing new.
    pub draining: bool,
}

impl Endpoint {
    /// Whether it is to get anything new.
    pub fn is_active(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// All endpoints of one destination, in the order of the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Destination {
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// What a list allows the change that it makes to take away.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossAllowance {
    /// Most of these destinations' weights.
    pub destinations: BTreeSet<String>,
    /// Most of all endpoints.
    pub endpoints: bool,
}

/// A whole list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointList {
    /// Grows with each change.
    pub revision: u64,
    /// Its destinations by name.
    pub destinations: BTreeMap<String, Destination>,
    /// What it may take away at once.
    #[serde(rename = "allow_loss")]
    pub loss_allowance: Option<LossAllowance>,
}
