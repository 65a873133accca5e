//! Tests of the channel to a member, and of the encoding of `Hello` and `OperatorResponse`.

use super::*;
use async_executor::LocalExecutor;
use async_io::Async;
use marblefall_coordination::identifiers::{Epoch, ProposalId};
use marblefall_coordination::message::ToMember;
use marblefall_delivery::net::spawner::Spawner;
use std::net::TcpListener;
use std::rc::Rc;

/// A full event queue delays the event of a new connection, but does not break the connection.
#[test]
fn channel_connecting_to_full_queue_delivers_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = async_channel::bounded(1);
    let connected = |member| TransportEvent::Connected(MemberId(member));
    events.try_send(connected(5)).unwrap();
    let tasks = Rc::new(LocalExecutor::new());
    let setup = ChannelSetup {
        hello: Hello::from_member("g", MemberId(0)),
        to: MemberId(1),
        address,
        events,
        seed: 1,
    };
    let channel = Channel::open(setup, &Spawner::new(&tasks));
    async_io::block_on(tasks.run(async {
        let listener = Async::new(listener).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let hello = read_frame::<Hello>(&mut stream).await.unwrap();
        assert_eq!(hello.member(), Some(MemberId(0)));
        for member in [5, 1] {
            let event = received.recv().await.unwrap();
            assert!(matches!(event, TransportEvent::Connected(MemberId(id)) if id == member));
        }
        let resolved = ToMember::Resolved(ProposalId(2));
        channel.send(encode_frame(&Frame::ToMember(Epoch(1), resolved)));
        assert!(matches!(
            read_frame::<Frame>(&mut stream).await,
            Ok(Frame::ToMember(Epoch(1), _))
        ));
    }));
}

/// Daemons and operators' commands of different program versions must be able to communicate.
#[test]
fn hello_and_response_encoding_is_unchanged() {
    // Tuples with the fields in the order in which earlier versions encoded them.
    let earlier_hello = |peer: (u8, Option<u32>)| match peer {
        (tag, Some(member)) => encode_frame(&(1u16, "g", (tag, member))),
        (tag, None) => encode_frame(&(1u16, "g", tag)),
    };
    let member = Hello::from_member("g", MemberId(300));
    assert_eq!(encode_frame(&member), earlier_hello((0, Some(300))));
    let operator = Hello::from_operator("g");
    assert_eq!(encode_frame(&operator), earlier_hello((1, None)));
    let response = OperatorResponse {
        local: LocalStatus {
            member: "east".to_owned(),
            applied: Some(5),
            lease_state: "acts".to_owned(),
            last_leader: Some(LastLeader {
                name: "north".to_owned(),
                contact_ms_ago: 300,
            }),
            voting: Some(VotingStatus {
                participates: true,
                configuration: 2,
            }),
        },
        reply: Some(Reply::Unknown),
    };
    let earlier_local = (
        "east",
        Some(5u64),
        "acts",
        Some(("north", 300u64)),
        Some((true, 2u32)),
    );
    assert_eq!(
        encode_frame(&response),
        encode_frame(&(earlier_local, Some(Reply::Unknown)))
    );
}
