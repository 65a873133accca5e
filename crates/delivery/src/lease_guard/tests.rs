//! Tests of the permits and the closing of the lease guard.

use super::*;
use std::time::Duration;

#[test]
fn only_revision_in_force_gets_permits_until_lease_ends() {
    let guard = LeaseGuard::new(None);
    assert!(guard.acquire(0).is_none(), "a new guard is closed");
    guard.set(3, GuardState::Open(None));
    assert!(guard.acquire(3).is_some() && guard.acquire(2).is_none());
    assert_eq!(guard.state(2), GuardState::Suspended);
    let past = Instant::now()
        .checked_sub(Duration::from_millis(1))
        .unwrap();
    guard.set(3, GuardState::Open(Some(past)));
    assert!(guard.acquire(3).is_none());
    assert_eq!(guard.state(3), GuardState::Closed);
    guard.set(3, GuardState::Suspended);
    assert!(guard.acquire(3).is_none());
}

#[test]
fn permit_is_invalid_after_its_lease_ends() {
    let guard = LeaseGuard::new(None);
    let until = Instant::now() + Duration::from_millis(30);
    guard.set(1, GuardState::Open(Some(until)));
    let permit = guard.acquire(1).unwrap();
    while Instant::now() < until {
        assert!(guard.acquire(1).is_some() || Instant::now() >= until);
    }
    assert!(!permit.is_valid());
    assert!(LeasePermit::unconditional().is_valid());
}

#[test]
fn closing_waits_for_held_permits() {
    let guard = std::sync::Arc::new(LeaseGuard::new(None));
    guard.set(1, GuardState::Open(None));
    let permit = guard.acquire(1).unwrap();
    let (closed, closing_done) = std::sync::mpsc::channel();
    let other = guard.clone();
    let closing = std::thread::spawn(move || {
        other.set(1, GuardState::Suspended);
        closed.send(()).unwrap();
    });
    assert!(closing_done.try_recv().is_err());
    drop(permit);
    closing_done.recv_timeout(Duration::from_secs(5)).unwrap();
    closing.join().unwrap();
    assert!(guard.acquire(1).is_none());
}
