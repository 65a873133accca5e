//! Errors of commands.

use marblefall_control_plane::group::transport::FrameError;
use marblefall_control_plane::group::GroupError;
use marblefall_control_plane::manifest::ManifestError;
use marblefall_control_plane::plan::ApplyError;
use marblefall_control_plane::supervisor::SupervisorError;
use marblefall_control_plane::JsonFileError;
use marblefall_delivery::instance::InstanceError;
use marblefall_delivery::snapshot_store;
use marblefall_endpoint_lists::last_good_store::StoreError;
use marblefall_endpoint_lists::Report;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The error with which a command ends.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The output of the command already reports the failure.
    #[error("the failure is reported in the output")]
    Reported,
    /// The instance on the platform ended with an error.
    #[error("{}", error_reporter::Report::new(.0))]
    Instance(#[from] InstanceError),
    /// The daemon of a fleet ended with an error.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
    /// The operators' file cannot be used.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A saved plan, or a stored file of the home, cannot be read.
    #[error(transparent)]
    JsonFile(#[from] JsonFileError),
    /// A plan cannot be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The home is not a member of a group, or cannot become one.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// The last good lists cannot be read.
    #[error(transparent)]
    LastGoodLists(#[from] StoreError),
    /// A value cannot be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// An instance's snapshot cannot be read.
    #[error("{}: {source}", folder.display())]
    Snapshot {
        /// The instance's folder.
        folder: PathBuf,
        /// The cause.
        source: snapshot_store::ReadError,
    },
    /// The home is a member under another name.
    #[error("{}: the home is already member {member}", home.display())]
    OtherMember {
        /// The home.
        home: PathBuf,
        /// The home's name in the group.
        member: String,
    },
    /// A member is named, but the home is not empty or the file has no group.
    #[error("--member requires an empty home and a file that has [group]")]
    UnexpectedMember,
    /// The file has a group, and no member is named for the empty home.
    #[error("the file has [group]: name the member that this home becomes, with --member NAME")]
    MissingMember,
    /// The file has a group, but the home already has a policy of its own.
    #[error(
        "the file has [group]: a home that was applied without a group cannot join one; start with an empty home"
    )]
    CannotJoin,
    /// The home is not a member of a group.
    #[error("{}: the home is not a member of a group; see `marblefall apply --help`", .0.display())]
    NoGroup(PathBuf),
    /// The daemon cannot be connected to.
    #[error(
        "member {member} does not respond at {address} ({source}); is `marblefall run {}` running?",
        home.display()
    )]
    DaemonUnreachable {
        /// The home's name in the group.
        member: String,
        /// The daemon's address.
        address: SocketAddr,
        /// The home.
        home: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A request cannot be sent to the daemon.
    #[error("the request to the daemon of this home could not be sent: {0}")]
    RequestNotSent(#[source] io::Error),
    /// The daemon's response cannot be read.
    #[error("unusable response from the daemon of this home: {0}")]
    Response(#[source] FrameError),
    /// No leader could be reached.
    #[error("nobody leads the group just now: most of its voters cannot be reached from here")]
    NoLeader,
    /// No change is pending that could be withdrawn.
    #[error("no change is pending")]
    NothingPending,
    /// The group has no such member.
    #[error("the group has no member {member:?}; it has {}", members.join(", "))]
    NoSuchMember {
        /// The name that was given.
        member: String,
        /// The names of the group's members.
        members: Vec<String>,
    },
    /// The plan was made against another revision.
    #[error(
        "the plan is stale: it was made against revision {base}, in force is revision {committed}; plan again"
    )]
    StalePlan {
        /// The revision that the plan was made against.
        base: u64,
        /// The revision in force.
        committed: u64,
    },
    /// Another change is pending.
    #[error("a change by {0} has no outcome yet; plan again once it has")]
    OtherChangePending(String),
    /// The change was withdrawn.
    #[error("withdrawn everywhere: {0}")]
    Withdrawn(String),
    /// A folder has no endpoint lists.
    #[error("{}: the folder has no file whose name ends in .toml", .0.display())]
    NoLists(PathBuf),
    /// This number of endpoint lists is rejected.
    #[error("endpoint lists rejected: {0}")]
    ListsRejected(usize),
    /// An endpoint list cannot be parsed.
    #[error("\n{0}")]
    List(Box<Report>),
}

impl CommandError {
    /// Returns a function that converts an I/O error into an error of this file or folder.
    pub fn of_file(path: &Path) -> impl Fn(io::Error) -> CommandError + '_ {
        move |source| CommandError::File {
            path: path.to_owned(),
            source,
        }
    }
}
