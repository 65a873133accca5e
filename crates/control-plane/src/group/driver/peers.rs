//! The channels to the other members of the group.

use crate::group::transport::{encode_frame, Channel, ChannelSetup, Hello, TransportEvent};
use crate::group::Membership;
use async_channel::Sender;
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::node::Frame;
use marblefall_delivery::net::spawner::Spawner;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The channels to the other members. A channel is opened when the first frame is sent to its member.
pub(super) struct Peers {
    hello: Hello,
    /// The members' addresses, in the order of their ids.
    addresses: Vec<SocketAddr>,
    channels: BTreeMap<MemberId, Channel>,
    transport_events: Sender<TransportEvent>,
    tasks: Spawner,
    rng: fastrand::Rng,
}

impl Peers {
    /// Creates the set without open channels. New connections are reported to `transport_events`.
    pub fn new(
        membership: &Membership,
        transport_events: Sender<TransportEvent>,
        tasks: Spawner,
        rng: fastrand::Rng,
    ) -> Peers {
        let group = &membership.group;
        Peers {
            hello: Hello::from_member(&group.name, membership.id),
            addresses: group.members.values().map(|member| member.link).collect(),
            channels: BTreeMap::new(),
            transport_events,
            tasks,
            rng,
        }
    }

    /// Sends a frame to a member of the group.
    pub fn send(&mut self, to: MemberId, frame: &Frame) {
        let Some(address) = self.addresses.get(to.0 as usize) else {
            return;
        };
        let channel = self.channels.entry(to).or_insert_with(|| {
            let setup = ChannelSetup {
                hello: self.hello.clone(),
                to,
                address: *address,
                events: self.transport_events.clone(),
                seed: self.rng.u64(..),
            };
            Channel::open(setup, &self.tasks)
        });
        channel.send(encode_frame(frame));
    }
}
