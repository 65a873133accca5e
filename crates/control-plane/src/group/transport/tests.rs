use super::*;
use async_executor::LocalExecutor;
use async_io::Async;
use marblefall_coordination::identifiers::{Epoch, ProposalId};
use marblefall_coordination::message::ToMember;
use marblefall_delivery::net::server::Spawner;
use std::net::TcpListener;
use std::rc::Rc;

/// A daemon that has many events queued does not lose its connections for that.
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
