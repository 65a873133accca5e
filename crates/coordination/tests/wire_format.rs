//! Checks that messages between daemons and entries of the log are encoded as in earlier versions of the program. Daemons
//! of different versions can then work in one group, and a voter can read the log of an earlier version. The expected bytes
//! were written by an earlier version and must not be changed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_coordination::identifiers::{
    Author, Epoch, MemberId, Policy, ProcessIncarnation, ProposalId, Revision, StorageId,
    StorageVersion,
};
use marblefall_coordination::message::{
    LeaseGrant, LeaseRequest, PolicyVerdict, ToLeader, ToMember,
};
use marblefall_coordination::node::{
    ChangePhase, Frame, GroupStatus, MemberStatus, PendingStatus, Reply, Request, RequestNumber,
};
use marblefall_coordination::replicated_state::{
    ChangeOutcome, LeaderEntry, LogEntry, PendingChange, ReplicatedState, ResolvedChange,
};
use marblefall_coordination::voter::{KnownStorage, PaxosMessage, VoterMessage};
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};
use omnipaxos::messages::Message;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

fn hex(value: &impl Serialize) -> String {
    let bytes = postcard::to_allocvec(value).unwrap();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn policy() -> Policy {
    Policy::from(&b"policy"[..])
}

fn author() -> Author {
    Author {
        name: "ann at east".to_owned(),
        key: 300,
    }
}

fn voters() -> BTreeMap<MemberId, StorageId> {
    [(MemberId(0), StorageId(11)), (MemberId(2), StorageId(12))].into()
}

fn resolved_change(outcome: ChangeOutcome) -> ResolvedChange {
    ResolvedChange {
        proposal: ProposalId(8),
        author: author(),
        proposed_ms: 100,
        resolved_ms: 200,
        outcome,
    }
}

fn state() -> ReplicatedState {
    ReplicatedState {
        epoch: Epoch(3),
        committed: Revision(5),
        policy: policy(),
        resolved: ProposalId(8),
        pending: Some(PendingChange {
            proposal: ProposalId(9),
            policy: policy(),
            author: author(),
            proposed_ms: 300,
        }),
        excluded: BTreeSet::from([MemberId(1)]),
        history: VecDeque::from([
            resolved_change(ChangeOutcome::InForce(Revision(5))),
            resolved_change(ChangeOutcome::Withdrawn("late".to_owned())),
        ]),
        voters: voters(),
    }
}

#[test]
fn messages_to_leader_are_encoded_as_before() {
    let request = ToLeader::LeaseRequest(LeaseRequest {
        incarnation: ProcessIncarnation(1000),
        sent_at: -7,
        applied: Some(Revision(5)),
    });
    let rejected = PolicyVerdict::Rejected("no".to_owned());
    let checked = |verdict| ToLeader::PolicyChecked(ProposalId(9), verdict);
    for (message, bytes) in [
        (request, "0100e8070d0105"),
        (checked(PolicyVerdict::Accepted), "01010900"),
        (checked(rejected), "01010901026e6f"),
        (ToLeader::Quiesced(ProposalId(9), Epoch(3)), "01020903"),
    ] {
        assert_eq!(hex(&Frame::ToLeader(message.clone())), bytes, "{message:?}");
    }
}

#[test]
fn messages_to_member_are_encoded_as_before() {
    let granted = ToMember::LeaseGranted(LeaseGrant {
        incarnation: ProcessIncarnation(1000),
        sent_at: -7,
        duration: Some(900),
        committed: Revision(5),
        policy: Some(policy()),
        resolved: ProposalId(8),
    });
    let check = ToMember::CheckPolicy(ProposalId(9), Revision(5), policy());
    for (message, bytes) in [
        (granted, "020300e8070d01880e050106706f6c69637908"),
        (check, "020301090506706f6c696379"),
        (ToMember::Quiesce(ProposalId(9)), "02030209"),
        (ToMember::Resolved(ProposalId(9)), "02030309"),
    ] {
        let frame = Frame::ToMember(Epoch(3), message.clone());
        assert_eq!(hex(&frame), bytes, "{message:?}");
    }
}

#[test]
fn messages_between_voters_are_encoded_as_before() {
    let version = |id, write_count| StorageVersion {
        id: StorageId(id),
        write_count,
    };
    let hello = VoterMessage::Hello {
        storage: version(11, 4),
        configuration: 2,
    };
    let known = VoterMessage::KnownStorage(KnownStorage {
        own: StorageId(12),
        configuration: 2,
        known: version(11, 3),
    });
    for (message, bytes) in [
        (hello, "00000b0402"),
        (known, "00010c020b03"),
        (VoterMessage::AdmissionRequest(StorageId(13)), "00020d"),
        (VoterMessage::ConfirmLeader(Epoch(3), 17), "00050311"),
        (VoterMessage::LeaderConfirmed(Epoch(3), 17), "00060311"),
        (
            VoterMessage::Configuration(2, Box::new(state())),
            "000302030506706f6c69637908010906706f6c6963790b616e6e2061742065617374ac02d804010102080b\
             616e6e2061742065617374ac02c80190030005080b616e6e2061742065617374ac02c801900301046c61\
             746502000b020c",
        ),
    ] {
        assert_eq!(hex(&Frame::Voter(message.clone())), bytes, "{message:?}");
    }
}

/// Only the fields before the consensus library's own message are compared with fixed bytes.
#[test]
fn paxos_message_is_encoded_as_before() {
    let message = Message::BLE(BLEMessage {
        from: 1,
        to: 2,
        msg: HeartbeatMsg::Request(HeartbeatRequest { round: 300 }),
    });
    let frame = Frame::Voter(VoterMessage::Paxos(PaxosMessage {
        configuration: 2,
        write_count: 5,
        message: message.clone(),
    }));
    assert_eq!(hex(&frame), format!("00040205{}", hex(&message)));
}

#[test]
fn operators_requests_are_encoded_as_before() {
    let propose = Request::Propose {
        base: Revision(5),
        policy: policy(),
        author: author(),
    };
    for (request, bytes) in [
        (
            propose,
            "0315000506706f6c6963790b616e6e2061742065617374ac02",
        ),
        (Request::Outcome(300), "031501ac02"),
        (Request::Withdraw, "031502"),
        (Request::Exclude(MemberId(1)), "03150301"),
        (Request::Status, "031504"),
        (Request::History, "031505"),
    ] {
        let frame = Frame::Request(RequestNumber(21), request.clone());
        assert_eq!(hex(&frame), bytes, "{request:?}");
    }
}

#[test]
fn replies_to_operators_are_encoded_as_before() {
    let in_force = resolved_change(ChangeOutcome::InForce(Revision(5)));
    let withdrawn = resolved_change(ChangeOutcome::Withdrawn("late".to_owned()));
    let pending = Reply::Pending(ChangePhase::Quiescing, vec![MemberId(1)]);
    for (reply, bytes) in [
        (Reply::Proposed, "041500"),
        (Reply::Busy(author()), "0415010b616e6e2061742065617374ac02"),
        (Reply::Stale(Revision(5)), "04150205"),
        (pending, "041503010101"),
        (
            Reply::Resolved(in_force),
            "041504080b616e6e2061742065617374ac02c80190030005",
        ),
        (Reply::Unknown, "041505"),
        (Reply::Accepted, "041506"),
        (Reply::NothingPending, "041507"),
        (
            Reply::History(vec![withdrawn]),
            "04150901080b616e6e2061742065617374ac02c801900301046c617465",
        ),
    ] {
        let frame = Frame::Reply(RequestNumber(21), reply.clone());
        assert_eq!(hex(&frame), bytes, "{reply:?}");
    }
}

#[test]
fn group_status_is_encoded_as_before() {
    let present = MemberStatus {
        member: MemberId(0),
        applied: Some(Revision(5)),
        since_last_request: Some(1500),
        votes: true,
        excluded: false,
    };
    let absent = MemberStatus {
        member: MemberId(1),
        applied: None,
        since_last_request: None,
        votes: false,
        excluded: true,
    };
    let status = GroupStatus {
        leader: MemberId(2),
        committed: Revision(5),
        pending: Some(PendingStatus {
            author: author(),
            phase: ChangePhase::Checking,
            awaited: vec![MemberId(0), MemberId(1)],
        }),
        members: vec![present, absent],
    };
    assert_eq!(
        hex(&Frame::Reply(
            RequestNumber(21),
            Reply::Status(Box::new(status))
        )),
        "0415080205010b616e6e2061742065617374ac02000200010200010501b81701000100000001"
    );
}

#[test]
fn log_entries_are_encoded_as_before() {
    let appended = |entry| LogEntry::Leader {
        epoch: Epoch(3),
        unix_ms: 100,
        entry,
    };
    let log = [
        LogEntry::EpochStarted(Epoch(3)),
        appended(LeaderEntry::Proposed(ProposalId(9), policy(), author())),
        appended(LeaderEntry::InForce(ProposalId(9))),
        appended(LeaderEntry::Withdrawn(ProposalId(9), "late".to_owned())),
        appended(LeaderEntry::Excluded(MemberId(1))),
        appended(LeaderEntry::Readmitted(MemberId(1))),
        LogEntry::ConfigurationEnded(voters()),
    ];
    assert_eq!(
        hex(&log.to_vec()),
        "0700030103c801000906706f6c6963790b616e6e2061742065617374ac020103c80101090103c8010209046c61\
         74650103c80103010103c80104010202000b020c"
    );
}
