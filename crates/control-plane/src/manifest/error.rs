//! Faults of an operator's file. Messages name the operators' own keys.

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
        /// Its faults.
        source: InvalidManifest,
    },
    /// The path of the endpoint lists cannot be made absolute.
    #[error("{0}")]
    ListPath(#[source] io::Error),
}

/// Why a manifest's text is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidManifest {
    /// It is not TOML, or has unknown, missing or mistyped keys.
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
    /// The line of the entry, counted from 1; `None` for an entry that may be left out.
    pub line: Option<usize>,
    /// The entry.
    pub entry: String,
    /// The cause.
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

/// Why an entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultCause {
    /// A name cannot be the name of a folder.
    #[error("a name holds letters, digits, - and _ only")]
    InvalidName,
    /// A path does not begin with /, or has characters that are not graphic ASCII.
    #[error("{0:?} is no path")]
    InvalidPath(String),
    /// A limit is 0.
    #[error("slots, max_open and max_attempts are 1 at least")]
    ZeroLimit,
    /// The state folder is too small for the journal.
    #[error("disk_mb is 1 at least")]
    DiskTooSmall,
    /// The limit on descriptors is below what an instance needs.
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
    /// The late value is not a proportion.
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
    /// An event type has a class that is not in the manifest.
    #[error("type {event_type:?} has the unknown class {class:?}")]
    UnknownClass {
        /// The event type.
        event_type: String,
        /// Its class.
        class: String,
    },
    /// A destination's number is not a number, or its destination is not in the manifest.
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
    /// The number of external instances is implausibly large.
    #[error("elsewhere is {max} at most")]
    TooManyExternalInstances {
        /// The maximum.
        max: usize,
    },
    /// A permitted loss is not a proportion.
    #[error("most_weight_lost and most_endpoints_lost are within 0 and 1")]
    LossOutOfRange,
    /// The path of the endpoint lists is empty.
    #[error("path is empty")]
    EmptyPath,
    /// The maximum size of an endpoint list is out of range.
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
    /// A timeout could end before a lease has expired.
    #[error("{key} is {min_ms} at least, for a term of {lease_ms}")]
    ShorterThanLease {
        /// Its key.
        key: &'static str,
        /// The minimum.
        min_ms: u64,
        /// The duration of a lease.
        lease_ms: u64,
    },
    /// The group has no voters.
    #[error("no member has votes = true")]
    NoVoters,
    /// The group has too many voters.
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
