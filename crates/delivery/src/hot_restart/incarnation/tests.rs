//! Lock files and marks of incarnations.

use super::lock_file::UNNUMBERED_LOCK;
use super::*;

fn folder(name: &str) -> PathBuf {
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("marblefall-incarnation-{name}-{process}"));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn predecessor_is_found_until_it_exits() {
    let folder = folder("running");
    let mut first = Incarnation::claim(&folder).unwrap();
    assert_eq!(first.running_predecessors().unwrap(), []);
    assert!(!first.has_successor());
    let mut second = Incarnation::claim(&folder).unwrap();
    let predecessor = Predecessor {
        generation: first.generation(),
        state: PredecessorState::Active,
    };
    assert_eq!(second.running_predecessors().unwrap(), [predecessor]);
    assert!(first.has_successor());
    first.mark_handed_over().unwrap();
    assert_eq!(
        second.running_predecessors().unwrap()[0].state,
        PredecessorState::Inactive
    );
    drop(first);
    assert_eq!(second.running_predecessors().unwrap(), []);
    assert!(second.has_exited(predecessor.generation));
    second.release_exited();
    assert_eq!(lock_generations(&folder).unwrap(), [second.generation()]);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn successor_requests_are_found_by_the_predecessor() {
    let folder = folder("requests");
    let mut first = Incarnation::claim(&folder).unwrap();
    assert_eq!(first.successor_requests(), SuccessorRequests::default());
    let mut second = Incarnation::claim(&folder).unwrap();
    second.announce(first.generation()).unwrap();
    assert_eq!(
        first.successor_requests(),
        SuccessorRequests {
            standby_started: true,
            hand_over: false
        }
    );
    second.fence(first.generation()).unwrap();
    assert_eq!(
        first.successor_requests(),
        SuccessorRequests {
            standby_started: true,
            hand_over: true
        }
    );
    assert_eq!(
        second.running_predecessors().unwrap()[0].state,
        PredecessorState::Inactive,
        "a fenced predecessor decides nothing"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn exited_standby_is_succeeded_by_a_later_generation() {
    let folder = folder("reclaim");
    let mut first = Incarnation::claim(&folder).unwrap();
    assert_eq!(
        first.claim_after_exited_standbys().unwrap(),
        None,
        "there was no standby"
    );
    let standby = Incarnation::claim(&folder).unwrap();
    assert_eq!(
        first.claim_after_exited_standbys().unwrap(),
        None,
        "the standby is running"
    );
    let standby_generation = standby.generation();
    drop(standby);
    let claimed = first.claim_after_exited_standbys().unwrap().unwrap();
    assert!(claimed > standby_generation);
    first.release_exited();
    assert_eq!(lock_generations(&folder).unwrap(), [claimed]);
    let mut next = Incarnation::claim(&folder).unwrap();
    assert_eq!(next.running_predecessors().unwrap()[0].generation, claimed);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn unnumbered_predecessor_is_awaited_and_never_fenced() {
    let folder = folder("unnumbered");
    std::fs::create_dir_all(&folder).unwrap();
    let unnumbered = File::create(folder.join(UNNUMBERED_LOCK)).unwrap();
    unnumbered.try_lock().unwrap();
    let mut incarnation = Incarnation::claim(&folder).unwrap();
    assert_eq!(
        incarnation.running_predecessors().unwrap(),
        [Predecessor {
            generation: UNNUMBERED,
            state: PredecessorState::Active
        }]
    );
    incarnation.announce(UNNUMBERED).unwrap();
    incarnation.fence(UNNUMBERED).unwrap();
    assert!(folder.join(UNNUMBERED_SUCCESSOR).exists());
    assert_eq!(
        incarnation.running_predecessors().unwrap()[0].state,
        PredecessorState::Active,
        "an unnumbered predecessor does not read marks"
    );
    drop(unnumbered);
    assert_eq!(incarnation.running_predecessors().unwrap(), []);
    incarnation.release_exited();
    assert!(!folder.join(UNNUMBERED_LOCK).exists());
    assert!(!folder.join(UNNUMBERED_SUCCESSOR).exists());
    let _ = std::fs::remove_dir_all(&folder);
}

/// Regression: unreadable marks were treated as no marks, so a fenced incarnation started attempts.
#[test]
fn incarnation_whose_new_marks_cannot_be_read_does_not_act() {
    let folder = folder("unreadable-marks");
    let mut first = Incarnation::claim(&folder).unwrap();
    let second = Incarnation::claim(&folder).unwrap();
    second.announce(first.generation()).unwrap();
    assert!(
        first.may_act(),
        "an announcement does not request a handover"
    );
    // A file that is open only for appending cannot be read.
    let unreadable = OpenOptions::new()
        .append(true)
        .open(lock_path(&folder, first.generation()))
        .unwrap();
    let readable = std::mem::replace(&mut first.own.file, unreadable);
    assert!(first.may_act(), "there is no new mark to read");
    second.fence(first.generation()).unwrap();
    assert!(!first.may_act());
    assert!(
        first.successor_requests().standby_started,
        "marks that were read before still hold"
    );
    first.own.file = readable;
    assert!(!first.may_act());
    assert!(first.successor_requests().hand_over);
    let _ = std::fs::remove_dir_all(&folder);
}
