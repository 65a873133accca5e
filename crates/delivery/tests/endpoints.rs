//! Endpoint lists, endpoints that operators disable, and shutdown.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::restarting_engine::{submission, RestartingEngine, IDEMPOTENT_CLASS};
use common::{endpoint, endpoint_list, folder as temporary_folder, responses, started_attempts};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::{Origin, SubmitResponse};
use marblefall_scheduler::{EndpointStatus, Time};

#[test]
fn each_removed_endpoint_is_reported_once() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("removed"), 0);
    let endpoint = |n: u32, status| ListedEndpoint {
        status,
        ..endpoint(&format!("h-{n}"))
    };
    let removed_count = |commands: &[EngineCommand]| {
        commands
            .iter()
            .filter(|command| matches!(command, EngineCommand::EndpointRemoved(_)))
            .count()
    };
    for n in 1..100 {
        let changed = vec![
            endpoint(n, EndpointStatus::Active),
            endpoint(n - 1, EndpointStatus::Removed),
        ];
        assert_eq!(
            removed_count(
                &incarnation.step(n.into(), vec![EngineEvent::EndpointsUpdated(changed)])
            ),
            1
        );
    }
    // A complete list removes the endpoint "h" of the first list, because it is not in the new one.
    assert_eq!(
        removed_count(&incarnation.step(
            200,
            vec![EngineEvent::EndpointsReplaced(vec![endpoint(
                99,
                EndpointStatus::Active
            )])]
        )),
        1
    );
}

#[test]
fn drain_applies_before_submissions_of_the_same_step() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("drain"), 0);
    let draining = ListedEndpoint {
        status: EndpointStatus::Draining,
        ..endpoint("h")
    };
    let submission = submission(1, "m", Origin::Platform, IDEMPOTENT_CLASS);
    let commands = incarnation.step(
        10,
        vec![submission, EngineEvent::EndpointsUpdated(vec![draining])],
    );
    assert!(started_attempts(&commands).is_empty());
}

/// An endpoint that operators have disabled stays disabled although the list contains it as active.
#[test]
fn disabled_endpoint_receives_no_attempt_until_enabled() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("disabled"), 0);
    let disable = EngineEvent::EndpointsDisabled(["h".to_owned()].into());
    let submission = |n| submission(n, &format!("m{n}"), Origin::Platform, IDEMPOTENT_CLASS);
    assert!(
        started_attempts(&incarnation.step(10, vec![submission(1), disable])).is_empty(),
        "the endpoint is disabled before the queued submission is handled"
    );
    assert!(
        started_attempts(&incarnation.step(20, vec![endpoint_list(&["h"]), submission(2)]))
            .is_empty(),
        "the list does not enable the endpoint"
    );
    let commands = incarnation.step(30, vec![EngineEvent::EndpointsDisabled(Default::default())]);
    assert_eq!(
        started_attempts(&commands).len(),
        2,
        "once enabled, the endpoint receives both pending messages: {commands:?}"
    );
}

#[test]
fn no_attempt_starts_near_the_shutdown_deadline() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("shutdown"), 0);
    incarnation.step(
        10,
        vec![EngineEvent::Shutdown {
            deadline: Time(3_400_000),
        }],
    );
    let submission = |request, name| submission(request, name, Origin::Platform, IDEMPOTENT_CLASS);
    assert_eq!(
        started_attempts(&incarnation.step(100, vec![submission(1, "a")])).len(),
        1,
        "there is still time for an attempt"
    );
    let commands = incarnation.step(2500, vec![submission(2, "b")]);
    assert!(started_attempts(&commands).is_empty());
    assert!(matches!(
        responses(&commands)[0],
        (2, SubmitResponse::Rejected { .. })
    ));
    assert_eq!(
        started_attempts(&RestartingEngine::start(incarnation.folder.clone(), 4000).1).len(),
        1,
        "the next incarnation recovers the message"
    );
}
