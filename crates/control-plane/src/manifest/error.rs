//! Errors of reading an operator's file. Messages use the keys of the file.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of reading a manifest from disk.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading the file.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}:\n{source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The faults of the content.
        source: InvalidManifest,
    },
    /// The path of the endpoint lists cannot be made absolute.
    #[error("{0}")]
    ListPath(#[source] io::Error),
}

/// The reason why a manifest's text is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidManifest {
    /// The text is not TOML, or has unknown keys, missing keys or values of a wrong type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// Entries have values out of range or contradict each other.
    #[error("{}", lines(.0))]
    Faults(Vec<ManifestFault>),
}

fn lines(faults: &[ManifestFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ManifestFault::to_string).collect();
    lines.join("\n")
}

/// A fault of an entry.
#[derive(Debug, thiserror::Error)]
pub struct ManifestFault {
    /// Line of the entry, counted from 1; `None` for an entry that the file may omit.
    pub line: Option<usize>,
    /// Kind and name of the entry, as shown to operators.
    pub entry: String,
    /// The reason why the entry is invalid.
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

/// The reason why an entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultCause {
    /// A name cannot be used as the name of a folder.
    #[error("a name may contain only letters, digits, - and _")]
    InvalidName,
    /// A path does not begin with /, or has characters that are not graphic ASCII.
    #[error("{0:?} is not a valid path")]
    InvalidPath(String),
    /// A limit is 0.
    #[error("slots, max_open and max_attempts must be at least 1")]
    ZeroLimit,
    /// The maximum size of the state folder is too small for the journal.
    #[error("disk_mb must be at least 1")]
    DiskTooSmall,
    /// The memory limit is below the minimum of an instance.
    #[error("memory_mb must be at least 8")]
    TooLittleMemory,
    /// The limit on file descriptors is below the minimum of an instance.
    #[error("sockets must be at least 64")]
    TooFewSockets,
    /// A class with idempotency keys has no deduplication window.
    #[error("repeats = \"keyed\" needs window_ms")]
    WindowMissing,
    /// A class without idempotency keys has a deduplication window.
    #[error("window_ms is allowed only with repeats = \"keyed\"")]
    WindowUnused,
    /// The latency objective is greater than the deadline, or the deadline is 0.
    #[error("wanted_ms is greater than give_up_ms, or give_up_ms is 0")]
    ObjectiveBeyondDeadline,
    /// The late value is not a proportion.
    #[error("late_value must be between 0 and 1")]
    LateValueOutOfRange,
    /// The priority weight is not a finite number above 0.
    #[error("worth must be a finite number above 0")]
    WeightNotPositive,
    /// A destination has no endpoints, and there are no endpoint lists.
    #[error("it has no endpoints, and the file has no [roster] to list them")]
    NoEndpoints,
    /// The rate is not a finite number above 0.
    #[error("rate must be a finite number above 0")]
    RateNotPositive,
    /// Two names of destinations have the same hash.
    #[error("its name has the same hash as another destination's; choose a different name")]
    HashCollision,
    /// An endpoint's name contains a slash, which is reserved for endpoints from endpoint lists.
    #[error("endpoint {0}: a name may not contain / in a file with [roster]")]
    SlashInEndpointName(String),
    /// Two endpoints have the same name.
    #[error("endpoint {0} is declared twice in the file")]
    DuplicateEndpoint(String),
    /// An instance has no frontend.
    #[error("it has neither an events nor a relay frontend")]
    NoFrontend,
    /// An event type is assigned to a class that is not in the manifest.
    #[error("type {event_type:?} has the unknown class {class:?}")]
    UnknownClass {
        /// The event type.
        event_type: String,
        /// The name of the unknown class.
        class: String,
    },
    /// The number of a destination is not an integer, or the destination is not in the manifest.
    #[error("number {number:?} is not an integer, or its destination {destination:?} is unknown")]
    UnknownDestination {
        /// The number, as written in the file.
        number: String,
        /// The name of the destination.
        destination: String,
    },
    /// Two frontends have the same listen address.
    #[error("{0} is the listen address of two frontends")]
    DuplicateAddress(SocketAddr),
    /// The number of external instances is implausibly large.
    #[error("elsewhere must be at most {max}")]
    TooManyExternalInstances {
        /// Maximum number of external instances.
        max: usize,
    },
    /// A permitted loss is not a proportion.
    #[error("most_weight_lost and most_endpoints_lost must be between 0 and 1")]
    LossOutOfRange,
    /// The path of the endpoint lists is empty.
    #[error("path is empty")]
    EmptyPath,
    /// The maximum size of an endpoint list is out of range.
    #[error("max_kb must be between 1 and 1,048,576")]
    MaxKibOutOfRange,
    /// The poll interval is out of range.
    #[error("poll_ms must be between 50 and 3,600,000")]
    PollIntervalOutOfRange,
    /// A duration of the group is out of range.
    #[error("{key} must be between 200 and 600,000")]
    DurationOutOfRange {
        /// The key of the duration.
        key: &'static str,
    },
    /// A timeout could elapse before a lease has expired.
    #[error("{key} must be at least {min_ms} if term_ms is {lease_ms}")]
    ShorterThanLease {
        /// The key of the timeout.
        key: &'static str,
        /// Minimum of the timeout, in milliseconds.
        min_ms: u64,
        /// Duration of a lease, in milliseconds.
        lease_ms: u64,
    },
    /// The group has no voters.
    #[error("no member has votes = true")]
    NoVoters,
    /// The group has too many voters.
    #[error("{0} members vote, but a group may have at most 9 voters")]
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
        /// The name of the instance.
        instance: String,
        /// The name of the other member.
        member: String,
    },
    /// No member runs an instance.
    #[error("no member of the group runs it")]
    InstanceNotRun,
}
