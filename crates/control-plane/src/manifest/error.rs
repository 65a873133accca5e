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
pub enum FaultCause {
    /// A name cannot be a folder's.
    #[error("a name holds letters, digits, - and _ only")]
    InvalidName,
    /// A path does not begin with /, or has other than graphic characters.
    #[error("{0:?} is no path")]
    InvalidPath(String),
    /// A limit allows nothing.
    #[error("slots, max_open and max_attempts are 1 at least")]
    ZeroLimit,
    /// The journal has no room.
    #[error("disk_mb is 1 at least")]
    DiskTooSmall,
    /// There are fewer sockets than an instance needs.
    #[error("sockets is 64 at least")]
    TooFewSockets,
    /// A class with idempotency keys has no deduplication window.
    #[error("repeats = \"keyed\" needs window_ms")]
    WindowMissing,
    /// A class without idempotency keys has a deduplication window.
    #[error("window_ms goes with repeats = \"keyed\" only")]
    WindowUnused,
    /// The latency objective is beyond the deadline, or the deadline is 0.
    #[error("wanted_ms is beyond give_up_ms")]
    ObjectiveBeyondDeadline,
    /// The late value is no proportion.
    #[error("late_value is not within 0 and 1")]
    LateValueOutOfRange,
    /// The priority weight is not above 0.
    #[error("worth is not above 0")]
    WeightNotPositive,
    /// A destination has no endpoints, and there are no endpoint lists.
    #[error("no endpoints, and no [roster] that could list them")]
    NoEndpoints,
    /// The rate is not above 0.
    #[error("rate is not above 0")]
    RateNotPositive,
    /// Two names have the same hash.
    #[error("shares its number with another; it needs another name")]
    NumberCollision,
    /// An endpoint's name cannot be one of an endpoint list.
    #[error("endpoint {0}: with rosters, a name holds no /")]
    SlashInEndpointName(String),
    /// Two endpoints have the same name.
    #[error("endpoint {0} stands in the file twice")]
    DuplicateEndpoint(String),
    /// An instance has no frontend.
    #[error("no front is on")]
    NoFrontend,
    /// A type of event has a class that is not in the manifest.
    #[error("type {event_type:?} has the unknown class {class:?}")]
    UnknownClass {
        /// The type.
        event_type: String,
        /// Its class.
        class: String,
    },
    /// A number is none, or has a destination that is not in the manifest.
    #[error("number {number:?} has no known destination {destination:?}")]
    UnknownDestination {
        /// The number.
        number: String,
        /// Its destination.
        destination: String,
    },
    /// Two frontends have the same address.
    #[error("{0} is listened at twice")]
    DuplicateAddress(SocketAddr),
    /// More instances run elsewhere than is plausible.
    #[error("elsewhere is {max} at most")]
    TooManyExternalInstances {
        /// The most that are.
        max: usize,
    },
    /// An allowed loss is no proportion.
    #[error("most_weight_lost and most_endpoints_lost are within 0 and 1")]
    LossOutOfRange,
    /// The path of the endpoint lists is empty.
    #[error("path is empty")]
    EmptyPath,
    /// The size of an endpoint list is out of range.
    #[error("max_kb is 1 at least and 1,048,576 at most")]
    MaxKibOutOfRange,
    /// The poll interval is out of range.
    #[error("poll_ms is 50 at least and an hour at most")]
    PollIntervalOutOfRange,
    /// A duration of the group is out of range.
    #[error("{key} is 200 at least and 600,000 at most")]
    DurationOutOfRange {
        /// Its key.
        key: &'static str,
    },
    /// A timeout could end before a lease has run out.
    #[error("{key} is {min_ms} at least, for a term of {lease_ms}")]
    ShorterThanLease {
        /// Its key.
        key: &'static str,
        /// The least that it may be.
        min_ms: u64,
        /// The lease.
        lease_ms: u64,
    },
    /// The group has no voters.
    #[error("no member has votes = true")]
    NoVoters,
    /// The group has more voters than are of use.
    #[error("{0} members vote; nine are enough for any group")]
    TooManyVoters(usize),
    /// A member's link has no port.
    #[error("its link has no port")]
    LinkWithoutPort,
    /// Two members have the same link.
    #[error("has the same link as member {0}")]
    DuplicateLink(String),
    /// A member runs an instance that is not in the manifest.
    #[error("runs the unknown instance {0:?}")]
    UnknownInstance(String),
    /// Two members run the same instance.
    #[error("runs instance {instance:?}, as does member {member}")]
    InstanceRunTwice {
        /// The instance.
        instance: String,
        /// The other member.
        member: String,
    },
    /// No member runs an instance.
    #[error("no member of the group runs it")]
    InstanceNotRun,
}
