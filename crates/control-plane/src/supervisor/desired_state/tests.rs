//! Tests of the manifests of declared and removed instances.

use super::DesiredState;
use crate::endpoint_directory::CompactApplied;
use crate::manifest::Manifest;
use crate::test_manifests::{events_instance, CLASS_AND_DESTINATION};

fn manifest(instances: &[&str]) -> Manifest {
    let instances: String = instances.iter().map(|name| events_instance(name)).collect();
    Manifest::parse(&format!("{CLASS_AND_DESTINATION}{instances}")).unwrap()
}

/// Guards against an overloaded destination: while a removed instance delivers its messages, the others took its share.
#[test]
fn removed_instances_count_among_those_that_share_rates() {
    let before = manifest(&["one", "two"]).instance_manifest("two").unwrap();
    let mut desired = DesiredState {
        home: "home".into(),
        applied: CompactApplied {
            manifest: manifest(&["one"]),
            ..CompactApplied::default()
        },
        group_member: None,
        removed_instances: 0,
    };
    let total = |desired: &DesiredState| {
        let declared = desired.declared_manifest("one").unwrap();
        let removed = desired.manifest_of("two", &before);
        (declared.total_instances, removed.total_instances)
    };
    // In the round in which the instance is removed, only itself knows of it.
    assert_eq!(total(&desired), (1, 2));
    desired.removed_instances = 1;
    assert_eq!(total(&desired), (2, 2));
    assert_eq!(desired.manifest_of("two", &before).events, before.events);
}
