//! Membership of a home in a group: the files in the home, and the daemon's coordination node.
//!
//! The folder `group` in the home contains three files: `member` with the member's name, `founding.json` with the initial
//! manifest, and `votes` with the persistent state of the member's voter.

mod driver;
mod error;
pub mod transport;

pub use driver::GroupEvent;
pub use error::GroupError;

use crate::manifest::{GroupSpec, Manifest, PartitionPolicy as PartitionSpec};
use crate::plan::Applied;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_scheduler::Span;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Name of the folder in a home that contains the group's files.
const GROUP_FOLDER: &str = "group";
/// Name of the file that contains the member's name.
const MEMBER_FILE: &str = "member";
/// Name of the file that contains the initial manifest.
const INITIAL_MANIFEST_FILE: &str = "founding.json";
/// Name of the file that contains the persistent state of the member's voter.
const VOTER_STATE_FILE: &str = "votes";

/// Maximum drift between the clocks of two machines, in percent.
const CLOCK_DRIFT_PERCENT: i64 = 1;
/// Time in microseconds after which a message without a response is sent again.
const RESEND_INTERVAL: Span = Span(250_000);
const MICROS_PER_MS: i64 = 1000;

/// The membership of a home in its group.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The member's name.
    pub name: String,
    /// The member's id: its position among the sorted names of the members.
    pub id: MemberId,
    /// The group as declared by the home's applied manifest, or by the initial manifest if none is applied.
    pub group: GroupSpec,
    /// The initial manifest as JSON; `None` if the home has no such file.
    initial_manifest: Option<Vec<u8>>,
}

impl Membership {
    /// Reads the membership of a home; `None` if the home is not a member of a group.
    ///
    /// # Errors
    /// The home's files cannot be read, or are inconsistent with each other.
    pub fn read(home: &Path) -> Result<Option<Membership>, GroupError> {
        let path = group_file(home, MEMBER_FILE);
        let Some(name) = read_if_present(&path)? else {
            return Ok(None);
        };
        let name = String::from_utf8_lossy(&name).trim().to_owned();
        let initial_path = group_file(home, INITIAL_MANIFEST_FILE);
        let initial_manifest = read_if_present(&initial_path)?;
        let applied = Applied::read(home).map_err(GroupError::Applied)?;
        let group = match (applied.manifest.group, &initial_manifest) {
            (Some(group), _) => Some(group),
            (None, Some(text)) => group_of_manifest(&initial_path, text)?,
            (None, None) => None,
        };
        let Some(group) = group else {
            return Err(GroupError::UnknownGroup {
                path,
                initial_manifest: INITIAL_MANIFEST_FILE,
            });
        };
        let Some(id) = member_id(&group, &name) else {
            return Err(GroupError::NotAMember {
                path,
                group: group.name,
                member: name,
            });
        };
        Ok(Some(Membership {
            name,
            id,
            group,
            initial_manifest,
        }))
    }

    /// Makes a home a member of the manifest's group. The manifest is the group's initial policy, which comes into force
    /// once all voters run.
    ///
    /// # Errors
    /// The manifest has no group or no member of this name, or the home's files cannot be written.
    pub fn create(home: &Path, name: &str, manifest: &Manifest) -> Result<(), GroupError> {
        let Some(group) = &manifest.group else {
            return Err(GroupError::NoGroupInManifest);
        };
        if member_id(group, name).is_none() {
            return Err(GroupError::NoSuchMember {
                group: group.name.clone(),
                member: name.to_owned(),
                members: group.members.keys().cloned().collect(),
            });
        }
        let folder = home.join(GROUP_FOLDER);
        let write_error = |source: io::Error| GroupError::Write {
            path: folder.clone(),
            source,
        };
        LocalDisk.create_folder(&folder).map_err(write_error)?;
        let text = serde_json::to_vec(manifest).map_err(GroupError::EncodeManifest)?;
        let write = |file: &str, content: &[u8]| {
            let path = group_file(home, file);
            replace(&LocalDisk, &path, content, Durability::PowerLoss).map_err(write_error)
        };
        write(INITIAL_MANIFEST_FILE, &text)?;
        // Written last, because this file makes the home a member.
        write(MEMBER_FILE, name.as_bytes())
    }

    /// Returns the id of the member with this name.
    pub fn member_id(&self, name: &str) -> Option<MemberId> {
        member_id(&self.group, name)
    }

    /// Returns the members' names in the order of their ids.
    pub fn names(&self) -> Vec<String> {
        self.group.members.keys().cloned().collect()
    }

    fn coordination_settings(&self) -> CoordinationSettings {
        let span = |ms: u64| Span(ms as i64 * MICROS_PER_MS);
        CoordinationSettings {
            partition_policy: match self.group.partition_policy {
                PartitionSpec::Stop => PartitionPolicy::Stop,
                PartitionSpec::Serve => PartitionPolicy::Serve,
            },
            lease_duration: span(self.group.lease_ms),
            clock_drift_percent: CLOCK_DRIFT_PERCENT,
            check_timeout: span(self.group.check_timeout_ms),
            quiesce_timeout: span(self.group.quiesce_timeout_ms),
            resend_interval: RESEND_INTERVAL,
        }
    }
}

fn group_file(home: &Path, name: &str) -> PathBuf {
    home.join(GROUP_FOLDER).join(name)
}

/// Reads a file; `None` if it does not exist.
fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, GroupError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(source) => Err(GroupError::Read {
            path: path.to_owned(),
            source,
        }),
    }
}

fn group_of_manifest(path: &Path, text: &[u8]) -> Result<Option<GroupSpec>, GroupError> {
    let manifest: Manifest =
        serde_json::from_slice(text).map_err(|source| GroupError::InitialManifest {
            path: path.to_owned(),
            source,
        })?;
    Ok(manifest.group)
}

fn member_id(group: &GroupSpec, name: &str) -> Option<MemberId> {
    let mut names = group.members.keys();
    let position = names.position(|known| known == name)?;
    Some(MemberId(position as u32))
}
