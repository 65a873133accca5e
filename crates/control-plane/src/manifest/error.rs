//! What can be wrong with an operator's file. Messages name the operators' own keys.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a manifest cannot be read from disk.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is not valid.
    #[error("{}:\n{source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidManifest,
    },
    /// The absolute path of the endpoint lists cannot be found out.
    #[error("{0}")]
    ListPath(#[source] io::Error),
}

/// What is wrong with a manifest's text.
#[derive(Debug, thiserror::Error)]
pub enum InvalidManifest {
    /// It is no TOML, or has unknown, missing or mistyped keys.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// Its entries contradict themselves or each other.
    #[error("{}", lines(.0))]
    Faults(Vec<ManifestFault>),
}

fn lines(faults: &[ManifestFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ManifestFault::to_string).collect();
    lines.join("\n")
}

/// A fault of one entry.
#[derive(Debug, thiserror::Error)]
pub struct ManifestFault {
    /// Where the entry begins, counted from 1; `None` where it may be left out.
    pub line: Option<usize>,
    /// The entry.
    pub entry: String,
    /// What is wrong with it.
    #[source]
    pub cause: FaultCause,
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.entry, self.cause)
    }
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "each message says what its variant is")]
pub enum FaultCause {
    #[error("a name holds letters, digits, - and _ only")]
    InvalidName,
    #[error("{0:?} is no path")]
    InvalidPath(String),
    // Limits.
    #[error("slots, max_open and max_attempts are 1 at least")]
    ZeroLimit,
    #[error("disk_mb is 1 at least")]
    DiskTooSmall,
    #[error("sockets is 64 at least")]
    TooFewSockets,
    // Classes.
    #[error("repeats = \"keyed\" needs window_ms")]
    WindowMissing,
    #[error("window_ms goes with repeats = \"keyed\" only")]
    WindowUnused,
    #[error("wanted_ms is beyond give_up_ms")]
    ObjectiveBeyondDeadline,
    #[error("late_value is not within 0 and 1")]
    LateValueOutOfRange,
    #[error("worth is not above 0")]
    WeightNotPositive,
    // Destinations.
    #[error("no endpoints, and no [roster] that could list them")]
    NoEndpoints,
    #[error("rate is not above 0")]
    RateNotPositive,
    #[error("shares its number with another; it needs another name")]
    NumberCollision,
    #[error("endpoint {0}: with rosters, a name holds no /")]
    SlashInEndpointName(String),
    #[error("endpoint {0} stands in the file twice")]
    DuplicateEndpoint(String),
    // Instances.
    #[error("no front is on")]
    NoFrontend,
    #[error("type {event_type:?} has the unknown class {class:?}")]
    UnknownClass { event_type: String, class: String },
    #[error("number {number:?} has no known destination {destination:?}")]
    UnknownDestination { number: String, destination: String },
    #[error("{0} is listened at twice")]
    DuplicateAddress(SocketAddr),
    // All instances together.
    #[error("elsewhere is {max} at most")]
    TooManyExternalInstances { max: usize },
    // Endpoint lists.
    #[error("most_weight_lost and most_endpoints_lost are within 0 and 1")]
    LossOutOfRange,
    #[error("path is empty")]
    EmptyPath,
    #[error("max_kb is 1 at least and 1,048,576 at most")]
    MaxKibOutOfRange,
    #[error("poll_ms is 50 at least and an hour at most")]
    PollIntervalOutOfRange,
    // The group and its members.
    #[error("{key} is 200 at least and 600,000 at most")]
    DurationOutOfRange { key: &'static str },
    #[error("{key} is {min_ms} at least, for a term of {lease_ms}")]
    ShorterThanLease {
        key: &'static str,
        min_ms: u64,
        lease_ms: u64,
    },
    #[error("no member has votes = true")]
    NoVoters,
    #[error("{0} members vote; nine are enough for any group")]
    TooManyVoters(usize),
    #[error("its link has no port")]
    LinkWithoutPort,
    #[error("has the same link as member {0}")]
    DuplicateLink(String),
    #[error("runs the unknown instance {0:?}")]
    UnknownInstance(String),
    #[error("runs instance {instance:?}, as does member {member}")]
    InstanceRunTwice { instance: String, member: String },
    #[error("no member of the group runs it")]
    InstanceNotRun,
}
