//! Drives the daemon's [`Node`]: clock, disk and transport around it, and the lease guard of the daemon's instances.
//!
//! Before anything is sent, the policy in force is stored and the lease guard is set: what is sent may depend on nobody
//! acting any more.

mod lease;
mod operators;
mod policy;

use super::transport::{
    self, encode_frame, Channel, ChannelSetup, Hello, ListenerSetup, TransportEvent,
};
use super::{group_file, read_if_present, GroupError, Membership, VOTES_FILE};
use crate::manifest::{destination_number, Manifest};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use lease::ShownLease;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use marblefall_coordination::identifiers::{
    ClockReading, MemberId, Policy, ProcessIncarnation, ProposalId, Revision, StorageId,
};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_coordination::node::{Frame, Node, NodeAction, NodeSetup, RequestNumber};
use marblefall_coordination::persistent_state::PersistentState;
use marblefall_delivery::clock::{Clock, SteadyClock};
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use marblefall_scheduler::Time;
use operators::{OpenRequest, RESPONSE_TIMEOUT};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

/// Events that are queued at most; beyond that the transport waits.
const EVENT_QUEUE: usize = 1024;

/// What the supervisor of the daemon's instances learns of the group.
pub enum GroupEvent {
    /// Another policy is in force, and is stored in the home.
    PolicyInForce,
    /// Whether instances may act has changed.
    LeaseChanged,
    /// Can the instances act under this policy with the messages that they hold?
    CheckPolicy(Box<Manifest>, Sender<PolicyVerdict>),
}

/// What the driver waits for.
enum DriverEvent {
    Transport(TransportEvent),
    Checked(ProposalId, PolicyVerdict),
    Woken,
}

/// What the driver receives.
struct Inbox {
    transport: Receiver<TransportEvent>,
    verdicts: Receiver<(ProposalId, PolicyVerdict)>,
}

struct Driver {
    membership: Membership,
    home: PathBuf,
    node: Node,
    clock: Clock,
    lease_guard: Arc<LeaseGuard>,
    shown_lease: Option<ShownLease>,
    channels: BTreeMap<MemberId, Channel>,
    transport_events: Sender<TransportEvent>,
    verdicts: Sender<(ProposalId, PolicyVerdict)>,
    group_events: Sender<GroupEvent>,
    tasks: Spawner,
    rng: fastrand::Rng,
    open_requests: BTreeMap<RequestNumber, OpenRequest>,
    last_request: RequestNumber,
    /// The policy that this home was founded with: another initial policy is rejected.
    initial_policy: Option<Policy>,
    /// The last write of the votes file failed.
    write_failing: bool,
    /// A policy in force that could not be stored yet.
    unstored_policy: Option<(Revision, Policy)>,
}

impl Membership {
    /// Starts the daemon's node; returns what the supervisor of its instances learns of the group. The transport listens
    /// at `listen`, if that is given, where others reach it by the manifest's address through something in between.
    ///
    /// # Errors
    /// Where the address cannot be listened at, or the votes file cannot be read.
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
        let (transport_events, transport) = async_channel::bounded(EVENT_QUEUE);
        self.listen(listen, transport_events.clone(), tasks)?;
        let (group_events, group_event_receiver) = async_channel::unbounded();
        let (verdict_sender, verdicts) = async_channel::unbounded();
        let mut rng = fastrand::Rng::new();
        let setup = self.node_setup(home, &mut rng)?;
        let driver = Driver {
            initial_policy: setup.initial_policy.clone(),
            node: Node::new(setup, Time(0)),
            membership: self,
            home: home.to_owned(),
            clock: Clock::start(SteadyClock::from_wall_clock()),
            lease_guard,
            shown_lease: None,
            channels: BTreeMap::new(),
            transport_events,
            verdicts: verdict_sender,
            group_events,
            tasks: tasks.clone(),
            rng,
            open_requests: BTreeMap::new(),
            last_request: RequestNumber(0),
            write_failing: false,
            unstored_policy: None,
        };
        let inbox = Inbox {
            transport,
            verdicts,
        };
        tasks.spawn(driver.run(inbox));
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
        log_line!("group {group}: member {name}, link at {address}");
        let setup = ListenerSetup {
            group: self.group.name.clone(),
            members: self.group.members.len() as u32,
            events,
        };
        tasks.spawn(transport::listen(listener, setup, tasks.clone()));
        Ok(())
    }

    fn node_setup(&self, home: &Path, rng: &mut fastrand::Rng) -> Result<NodeSetup, GroupError> {
        let incarnation = ProcessIncarnation(rng.u64(1..));
        let new_storage = StorageId(rng.u64(1..));
        let members = (0u32..).map(MemberId).zip(self.group.members.values());
        let voters = members.clone().filter(|(_, member)| member.votes);
        Ok(NodeSetup {
            own_id: self.id,
            members: members.map(|(id, _)| id).collect(),
            voters: voters.map(|(id, _)| id).collect(),
            settings: self.settings(),
            incarnation,
            state: self.read_votes(home, new_storage)?,
            initial_policy: self.initial_manifest.clone().map(Policy::from),
        })
    }

    /// The state of the home's voter, if it has one. Where there is no file or it cannot be decoded, the state of a new
    /// storage: the group then admits the voter as a new one.
    fn read_votes(
        &self,
        home: &Path,
        new_storage: StorageId,
    ) -> Result<Option<PersistentState>, GroupError> {
        if !self.group.members[&self.name].votes {
            return Ok(None);
        }
        let path = group_file(home, VOTES_FILE);
        let owner = destination_number(&format!("{}/{}", self.group.name, self.name));
        let new = || PersistentState::new(owner, new_storage);
        let Some(bytes) = read_if_present(&path)? else {
            return Ok(Some(new()));
        };
        let state = PersistentState::decode(&bytes, owner).unwrap_or_else(|error| {
            log_line!(
                code = "votes-unreadable",
                "{}: {error}; this voter asks to be admitted as a new one",
                path.display()
            );
            // Kept for whoever looks into it; where it cannot be, it is overwritten.
            let _ = std::fs::rename(&path, path.with_extension("unreadable"));
            new()
        });
        Ok(Some(state))
    }
}

impl Driver {
    async fn run(mut self, inbox: Inbox) {
        loop {
            self.tick();
            self.expire_requests();
            self.retry_storing_policy();
            let event = inbox.receive(self.next_wake()).await;
            self.handle_event(event);
            // All events that are there by now are handled before the node is ticked.
            while let Ok(event) = inbox.transport.try_recv() {
                self.handle_event(DriverEvent::Transport(event));
            }
        }
    }

    fn now(&self) -> ClockReading {
        let now = self.clock.now();
        ClockReading {
            monotonic: now.monotonic,
            unix_ms: now.unix_ms,
        }
    }

    fn tick(&mut self) {
        let mut actions = Vec::new();
        self.node.tick(self.now(), &mut actions);
        self.execute(actions);
    }

    fn next_wake(&self) -> Instant {
        let node = self.node.next_wake(self.now().monotonic);
        let requests = self.open_requests.values();
        requests
            .map(|request| request.received_at + RESPONSE_TIMEOUT)
            .fold(self.clock.instant(node), Instant::min)
    }

    fn handle_event(&mut self, event: DriverEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        match event {
            DriverEvent::Transport(TransportEvent::Frame(from, frame)) => {
                self.node.handle_frame(now, from, frame, &mut actions);
            }
            DriverEvent::Transport(TransportEvent::Connected(to)) => {
                self.node.handle_connected(now, to, &mut actions);
            }
            DriverEvent::Transport(TransportEvent::Request(request, responses)) => {
                let number = self.open_request(responses);
                self.node.handle_request(now, number, request, &mut actions);
            }
            DriverEvent::Checked(proposal, verdict) => {
                self.node
                    .handle_checked(now, proposal, verdict, &mut actions);
            }
            DriverEvent::Woken => {}
        }
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<NodeAction>) {
        // The policy is stored before the lease guard opens for it, and the guard is set before anything is sent.
        for action in &actions {
            if let NodeAction::ApplyPolicy(revision, policy) = action {
                self.store_policy(*revision, policy);
            }
        }
        self.update_lease_guard();
        let own_id = self.membership.id;
        let mut own_frames = Vec::new();
        let mut written = true;
        for action in actions {
            match action {
                NodeAction::Write(bytes) => written = self.write_votes(&bytes),
                // What depends on a write that failed is not sent.
                NodeAction::Send(..) if !written => {}
                NodeAction::Send(to, frame) if to == own_id => own_frames.push(frame),
                NodeAction::Send(to, frame) => self.send(to, &frame),
                NodeAction::CheckPolicy(proposal, follows, policy) => {
                    self.check_policy(proposal, follows, &policy);
                }
                NodeAction::ApplyPolicy(..) => {}
                NodeAction::Reply(number, reply) => self.respond(number, Some(reply)),
                NodeAction::Log(code, text) => log_line!(code, "group: {text}"),
            }
        }
        for frame in own_frames {
            self.handle_event(DriverEvent::Transport(TransportEvent::Frame(own_id, frame)));
        }
    }

    /// Writes the voter's state; whether it is on disk.
    fn write_votes(&mut self, bytes: &[u8]) -> bool {
        let path = group_file(&self.home, VOTES_FILE);
        match write_file(&path, bytes) {
            Ok(()) => {
                if std::mem::take(&mut self.write_failing) {
                    log_line!(code = "votes-written", "votes can be written again");
                }
                true
            }
            Err(error) => {
                self.node.handle_write_failed();
                if !std::mem::replace(&mut self.write_failing, true) {
                    log_line!(
                        code = "votes-not-written",
                        "{}: {error}; this voter sends nothing until it can be written",
                        path.display()
                    );
                }
                false
            }
        }
    }

    fn send(&mut self, to: MemberId, frame: &Frame) {
        let group = &self.membership.group;
        let Some(member) = group.members.values().nth(to.0 as usize) else {
            return;
        };
        let channel = self.channels.entry(to).or_insert_with(|| {
            let setup = ChannelSetup {
                hello: Hello::from_member(&group.name, self.membership.id),
                to,
                address: member.link,
                events: self.transport_events.clone(),
                seed: self.rng.u64(..),
            };
            Channel::open(setup, &self.tasks)
        });
        channel.send(encode_frame(frame));
    }
}

impl Inbox {
    /// The next event, at the latest at this time.
    async fn receive(&self, wake: Instant) -> DriverEvent {
        let transport = async {
            let event = self.transport.recv().await;
            event.map_or(DriverEvent::Woken, DriverEvent::Transport)
        };
        let verdict = async {
            match self.verdicts.recv().await {
                Ok((proposal, verdict)) => DriverEvent::Checked(proposal, verdict),
                Err(_) => DriverEvent::Woken,
            }
        };
        let timer = async {
            Timer::at(wake).await;
            DriverEvent::Woken
        };
        future::or(transport, future::or(verdict, timer)).await
    }
}

/// Replaces a file, and makes its folder if need be.
fn write_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    if let Some(folder) = path.parent() {
        LocalDisk.create_folder(folder)?;
    }
    replace(&LocalDisk, path, bytes, Durability::PowerLoss)
}
