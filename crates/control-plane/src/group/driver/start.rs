//! Starts the daemon's coordination node: reads its state, listens for the other members, and spawns the driver.

use super::inbox::Inbox;
use super::operators::OpenRequests;
use super::peers::Peers;
use super::voter_state::VoterStateFile;
use super::{Driver, GroupEvent};
use crate::group::transport::{self, ListenerSetup, TransportEvent};
use crate::group::{GroupError, Membership};
use async_channel::{Receiver, Sender};
use marblefall_coordination::identifiers::{MemberId, Policy, ProcessIncarnation, StorageId};
use marblefall_coordination::node::{Node, NodeSetup};
use marblefall_delivery::clock::{Clock, SteadyClock};
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use marblefall_scheduler::Time;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;

/// Maximum number of queued transport events. While the queue is full, connections are not read.
const EVENT_QUEUE_CAPACITY: usize = 1024;

impl Membership {
    /// Starts the daemon's coordination node, and returns the events for the supervisor of the instances. The transport
    /// listens at `listen`, if given, instead of the manifest's address. This serves members that connect to the manifest's
    /// address through a proxy.
    ///
    /// # Errors
    /// The transport cannot listen at its address, or the voter's state cannot be read.
    pub fn start(
        self,
        home: &Path,
        listen: Option<SocketAddr>,
        lease_guard: Arc<LeaseGuard>,
        tasks: &Spawner,
    ) -> Result<Receiver<GroupEvent>, GroupError> {
        if let Some(warning) = self.group.warning() {
            log_line!(code = "even-voters", "{warning}");
        }
        let (transport_events, transport) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        self.listen(listen, transport_events.clone(), tasks)?;
        let (group_events, group_event_receiver) = async_channel::unbounded();
        let (verdict_sender, verdicts) = async_channel::unbounded();
        let voter_state_file = VoterStateFile::new(home);
        let mut rng = fastrand::Rng::new();
        let setup = self.node_setup(&voter_state_file, &mut rng)?;
        let driver = Driver {
            initial_policy: setup.initial_policy.clone(),
            node: Node::new(setup, Time(0)),
            peers: Peers::new(&self, transport_events, tasks.clone(), rng),
            membership: self,
            home: home.to_owned(),
            clock: Clock::start(SteadyClock::from_wall_clock()),
            lease_guard,
            published_lease: None,
            verdicts: verdict_sender,
            group_events,
            tasks: tasks.clone(),
            open_requests: OpenRequests::default(),
            voter_state_file,
            unstored_policy: None,
        };
        tasks.spawn(driver.run(Inbox {
            transport,
            verdicts,
        }));
        Ok(group_event_receiver)
    }

    fn listen(
        &self,
        listen: Option<SocketAddr>,
        events: Sender<TransportEvent>,
        tasks: &Spawner,
    ) -> Result<(), GroupError> {
        let address = listen.unwrap_or(self.group.members[&self.name].link);
        let listener =
            TcpListener::bind(address).map_err(|source| GroupError::Listen { address, source })?;
        let (group, name) = (&self.group.name, &self.name);
        log_line!("group {group}: member {name} listens at {address}");
        let setup = ListenerSetup {
            group: self.group.name.clone(),
            members: self.group.members.len() as u32,
            events,
        };
        tasks.spawn(transport::listen(listener, setup, tasks.clone()));
        Ok(())
    }

    fn node_setup(
        &self,
        voter_state_file: &VoterStateFile,
        rng: &mut fastrand::Rng,
    ) -> Result<NodeSetup, GroupError> {
        let incarnation = ProcessIncarnation(rng.u64(1..));
        let new_storage = StorageId(rng.u64(1..));
        let members = (0u32..).map(MemberId).zip(self.group.members.values());
        let voters = members.clone().filter(|(_, member)| member.votes);
        Ok(NodeSetup {
            own_id: self.id,
            members: members.map(|(id, _)| id).collect(),
            voters: voters.map(|(id, _)| id).collect(),
            settings: self.coordination_settings(),
            incarnation,
            state: voter_state_file.read(self, new_storage)?,
            initial_policy: self.initial_manifest.clone().map(Policy::from),
        })
    }
}
