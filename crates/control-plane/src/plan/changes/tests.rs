//! Tests of the text of a plan.

use crate::manifest::Manifest;
use crate::plan::{Applied, Plan};
use crate::test_manifests::{events_instance, CLASS_AND_DESTINATION};

/// Returns the manifest of a group in which a member runs instance "desk", or in which no member does.
fn manifest(member_of_desk: Option<&str>) -> Manifest {
    let mut text = format!("{CLASS_AND_DESTINATION}[group]\nname = \"clinics\"\n");
    for (member, port) in [("east", 7001), ("north", 7002), ("south", 7003)] {
        let desk = if member_of_desk == Some(member) {
            ", \"desk\""
        } else {
            ""
        };
        text += &format!(
            "[group.member.{member}]\nlink = \"127.0.0.1:{port}\"\ninstances = [\"{member}-1\"{desk}]\nvotes = true\n"
        );
    }
    let instances = ["east-1", "north-1", "south-1"].into_iter();
    for name in instances.chain(member_of_desk.map(|_| "desk")) {
        text += &events_instance(name);
    }
    Manifest::parse(&text).unwrap()
}

fn plan(before: Option<&str>, after: Option<&str>) -> String {
    let base = Applied {
        revision: 1,
        manifest: manifest(before),
    };
    Plan::new(base, manifest(after)).to_string()
}

#[test]
fn plan_says_which_instances_end_once_they_have_delivered() {
    let moved = plan(Some("east"), Some("north"));
    assert!(
        moved.contains("instance desk moves to north; at east it ends once it has delivered"),
        "{moved}"
    );
    let removed = plan(Some("east"), None);
    assert!(
        removed.contains("instance desk accepts nothing more, and ends once it has delivered"),
        "{removed}"
    );
    let added = plan(None, Some("east"));
    assert!(!added.contains("delivered"), "{added}");
}
