//! Plans changes of the policy, and applies them.

use crate::error::CommandError;
use crate::group;
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::manifest::Manifest;
use marblefall_control_plane::plan::{Applied, Plan};
use marblefall_control_plane::JsonFileError;
use std::fs;
use std::path::Path;

/// Prints how a file differs from the policy applied in a home, and saves the changes as a plan.
pub fn plan(file: &Path, home: &Path, out: Option<&Path>) -> Result<(), CommandError> {
    let target = Manifest::read(file)?;
    let plan = Plan::new(Applied::read(home)?, target);
    println!("{plan}");
    let Some(out) = out else { return Ok(()) };
    let saved = serde_json::to_vec_pretty(&plan)?;
    fs::write(out, saved).map_err(CommandError::of_file(out))
}

/// Puts a saved plan in force. If the home is a member of a group, the change is proposed to all its members.
pub fn apply(saved: &Path, home: &Path, member: Option<&str>) -> Result<(), CommandError> {
    let plan = read_plan(saved)?;
    if plan.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    println!("{plan}");
    match (Membership::read(home)?, member) {
        (Some(membership), Some(name)) if membership.name != name => {
            Err(CommandError::OtherMember {
                home: home.to_owned(),
                member: membership.name,
            })
        }
        (Some(_), _) => group::propose(&plan, home),
        (None, Some(name)) => found_member(&plan, home, name),
        (None, None) => apply_alone(&plan, home),
    }
}

fn read_plan(path: &Path) -> Result<Plan, CommandError> {
    let text = fs::read(path).map_err(CommandError::of_file(path))?;
    serde_json::from_slice(&text).map_err(|source| {
        JsonFileError::Parse {
            path: path.to_owned(),
            source,
        }
        .into()
    })
}

fn found_member(plan: &Plan, home: &Path, name: &str) -> Result<(), CommandError> {
    let group = match &plan.target.group {
        Some(group) if plan.base.revision == 0 => group,
        _ => return Err(CommandError::UnexpectedMember),
    };
    Membership::create(home, name, &plan.target)?;
    println!("founded as member {name} of group {}", group.name);
    println!(
        "it is in force once the group's voters run and agree: marblefall run {}",
        home.display()
    );
    Ok(())
}

fn apply_alone(plan: &Plan, home: &Path) -> Result<(), CommandError> {
    if plan.target.group.is_some() {
        let is_new_home = plan.base.revision == 0;
        return Err(if is_new_home {
            CommandError::MissingMember
        } else {
            CommandError::CannotJoin
        });
    }
    let applied = plan.apply(home)?;
    println!("applied as revision {}", applied.revision);
    Ok(())
}
