//! What makes a home a member of a group: its files, and the daemon's part in it.

mod drive;
pub mod link;

pub use drive::News;

use crate::manifest::{GroupSpec as Group, Manifest, PartitionPolicy};
use crate::plan::Applied;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use marblefall_coordination::words::{Member, Terms};
use marblefall_scheduler::Span;
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The folder in a home that holds all this.
const FOLDER: &str = "group";
/// Which member the home is.
const MEMBER: &str = "member";
/// What the home was founded with.
const FOUNDING: &str = "founding.json";
/// What its voter keeps.
const VOTES: &str = "votes";

/// Part by which the clocks of two machines may differ in speed, in hundredths.
const DRIFT_PERCENT: i64 = 1;
/// What was not answered is said again after this.
const AGAIN: Span = Span(250_000);

/// A home's place in its group.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The member's name.
    pub name: String,
    /// Its place among the names.
    pub me: Member,
    /// The group as the home knows it.
    pub group: Group,
    /// What the home was founded with.
    founding: Option<Vec<u8>>,
}

fn file(home: &Path, name: &str) -> PathBuf {
    home.join(FOLDER).join(name)
}

/// A file's bytes; `None` where there is no such file.
fn read(path: &Path) -> Result<Option<Vec<u8>>, String> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

impl Membership {
    /// Reads a home's place; `None` where the home is of no group.
    ///
    /// # Errors
    /// Where its files cannot be read, or do not fit each other.
    pub fn read(home: &Path) -> Result<Option<Membership>, String> {
        let path = file(home, MEMBER);
        let Some(name) = read(&path)? else {
            return Ok(None);
        };
        let name = String::from_utf8_lossy(&name).trim().to_owned();
        let founded = file(home, FOUNDING);
        let founding = read(&founded)?;
        let applied = Applied::read(home).map_err(|error| error.to_string())?;
        let mut group = applied.manifest.group;
        if let (None, Some(text)) = (&group, &founding) {
            let fleet: Result<Manifest, _> = serde_json::from_slice(text);
            group = fleet
                .map_err(|error| format!("{}: {error}", founded.display()))?
                .group;
        }
        let group = group.ok_or_else(|| {
            format!(
                "{}: the home is a member, and neither what is applied nor {FOUNDING} says of what group",
                path.display()
            )
        })?;
        let me = place(&group, &name).ok_or_else(|| {
            format!(
                "{}: group {} has no member {name:?}",
                path.display(),
                group.name
            )
        })?;
        Ok(Some(Membership {
            name,
            me,
            group,
            founding,
        }))
    }

    /// Makes a home a member: with what it is founded, the group begins once its voters agree.
    ///
    /// # Errors
    /// Where the file names no such member, or the disk does not take it.
    pub fn found(home: &Path, name: &str, fleet: &Manifest) -> Result<(), String> {
        let group = fleet.group.as_ref().ok_or("the file has no [group]")?;
        if place(group, name).is_none() {
            let names: Vec<&str> = group.members.keys().map(String::as_str).collect();
            return Err(format!(
                "group {} has no member {name:?}; it has {}",
                group.name,
                names.join(", ")
            ));
        }
        let fault = |error: std::io::Error| format!("{}: {error}", home.join(FOLDER).display());
        LocalDisk.create_folder(&home.join(FOLDER)).map_err(fault)?;
        let text = serde_json::to_vec(fleet).map_err(|error| error.to_string())?;
        replace(
            &LocalDisk,
            &file(home, FOUNDING),
            &text,
            Durability::PowerLoss,
        )
        .map_err(fault)?;
        // Last: a home that has this is a member.
        replace(
            &LocalDisk,
            &file(home, MEMBER),
            name.as_bytes(),
            Durability::PowerLoss,
        )
        .map_err(fault)
    }

    /// The members' names, in their order.
    pub fn names(&self) -> Vec<String> {
        self.group.members.keys().cloned().collect()
    }

    /// The group's figures.
    fn terms(&self) -> Terms {
        let span = |ms: u64| Span(ms as i64 * 1000);
        Terms {
            on_cut: match self.group.partition_policy {
                PartitionPolicy::Stop => marblefall_coordination::words::OnCut::Stop,
                PartitionPolicy::Serve => marblefall_coordination::words::OnCut::Serve,
            },
            term: span(self.group.lease_ms),
            drift_percent: DRIFT_PERCENT,
            check_for: span(self.group.check_timeout_ms),
            stop_for: span(self.group.quiesce_timeout_ms),
            again: AGAIN,
        }
    }
}

fn place(group: &Group, name: &str) -> Option<Member> {
    group
        .members
        .keys()
        .position(|known| known == name)
        .map(|at| Member(at as u32))
}

/// What a change may not touch, as members could not agree on it while it changes: all of the group but which instances its
/// members run.
fn same_group(old: &Group, new: Option<&Group>) -> Result<(), String> {
    let Some(new) = new else {
        return Err("the file has no [group] any more".to_owned());
    };
    let fixed = |group: &Group| {
        let mut group = group.clone();
        group
            .members
            .values_mut()
            .for_each(|member| member.instances.clear());
        group
    };
    match fixed(old) == fixed(new) {
        true => Ok(()),
        false => Err("of [group], a change may only say which instances a member runs".to_owned()),
    }
}
