//! Errors of a home's membership in a group.

use crate::json_file::JsonFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of creating or reading a home's membership in a group, or of starting its member.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading the file.
        source: io::Error,
    },
    /// A file or the group's folder cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of writing.
        source: io::Error,
    },
    /// The applied manifest of the home cannot be read.
    #[error("{0}")]
    Applied(#[source] JsonFileError),
    /// The initial manifest cannot be decoded.
    #[error("{}: {source}", path.display())]
    InitialManifest {
        /// The path of the initial manifest.
        path: PathBuf,
        /// The fault and its position.
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
        /// The name of the group.
        group: String,
        /// The requested name.
        member: String,
        /// The names of the group's members.
        members: Vec<String>,
    },
    /// The home is a member of a group, but none of its manifests declares the group.
    #[error(
        "{}: the home is a member of a group, but neither the applied manifest nor {initial_manifest} declares the group",
        path.display()
    )]
    UnknownGroup {
        /// The path of the file that makes the home a member.
        path: PathBuf,
        /// The file name of the initial manifest.
        initial_manifest: &'static str,
    },
    /// The group has no member with the name that the home's file contains.
    #[error("{}: group {group} has no member {member:?}", path.display())]
    NotAMember {
        /// The path of the file that makes the home a member.
        path: PathBuf,
        /// The name of the group.
        group: String,
        /// The member's name in that file.
        member: String,
    },
    /// The member cannot listen at its address.
    #[error("cannot listen at the group's link {address}: {source}")]
    Listen {
        /// The address of the member's link.
        address: SocketAddr,
        /// The error of opening the listener.
        source: io::Error,
    },
}
