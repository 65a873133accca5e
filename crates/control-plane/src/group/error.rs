//! Errors of a home's membership in a group.

use crate::json_file::JsonFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a home cannot be, or take part as, a member of a group.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file, or the folder of the group, cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// Which file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The applied manifest of the home cannot be read.
    #[error("{0}")]
    Applied(#[source] JsonFileError),
    /// The initial manifest cannot be read.
    #[error("{}: {source}", path.display())]
    InitialManifest {
        /// Its file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The manifest cannot be encoded.
    #[error("{0}")]
    EncodeManifest(#[source] serde_json::Error),
    /// The manifest has no group.
    #[error("the file has no [group]")]
    NoGroupInManifest,
    /// The group has no member with the requested name.
    #[error("group {group} has no member {member:?}; it has {}", members.join(", "))]
    NoSuchMember {
        /// The group.
        group: String,
        /// The name.
        member: String,
        /// The names of the group's members.
        members: Vec<String>,
    },
    /// The home is a member, but none of its manifests declares the group.
    #[error(
        "{}: the home is a member of a group, and neither the applied manifest nor {initial_manifest} declares the group",
        path.display()
    )]
    UnknownGroup {
        /// The file that makes the home a member.
        path: PathBuf,
        /// The name of the initial manifest's file.
        initial_manifest: &'static str,
    },
    /// The group has no member with the name in the home.
    #[error("{}: group {group} has no member {member:?}", path.display())]
    NotAMember {
        /// The file that makes the home a member.
        path: PathBuf,
        /// The group.
        group: String,
        /// The name in the home.
        member: String,
    },
    /// The member cannot listen at its address.
    #[error("the group's link, {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}
