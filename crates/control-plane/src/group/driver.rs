//! Runs the daemon's coordination [`Node`]: connects it to the clock, the disk and the transport, and sets the lease guard
//! of the daemon's instances.
//!
//! The policy in force is stored and the lease guard is set before any message is sent, because a message may state that
//! this member no longer acts.

mod inbox;
mod lease;
mod operators;
mod peers;
mod policy;
mod start;
mod voter_state;

use super::transport::TransportEvent;
use super::Membership;
use crate::manifest::Manifest;
use async_channel::Sender;
use inbox::{CheckedProposal, DriverEvent, Inbox};
use lease::PublishedLease;
use marblefall_coordination::identifiers::{ClockReading, Policy, Revision};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_coordination::node::{Node, NodeAction};
use marblefall_delivery::clock::Clock;
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use operators::OpenRequests;
use peers::Peers;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;
use voter_state::VoterStateFile;

/// An event of the group that the driver sends to the supervisor of the daemon's instances.
pub enum GroupEvent {
    /// A different policy is in force and was stored in the home.
    PolicyInForce,
    /// The lease of the instances has begun, has ended, or applies to a different revision.
    LeaseChanged,
    /// A request to check whether the instances can act under this policy with their open messages. The verdict is sent to
    /// the channel.
    CheckPolicy(Box<Manifest>, Sender<PolicyVerdict>),
}

struct Driver {
    membership: Membership,
    home: PathBuf,
    node: Node,
    clock: Clock,
    lease_guard: Arc<LeaseGuard>,
    published_lease: Option<PublishedLease>,
    peers: Peers,
    verdicts: Sender<CheckedProposal>,
    group_events: Sender<GroupEvent>,
    tasks: Spawner,
    open_requests: OpenRequests,
    /// The initial policy that was stored when the home was created. A different initial policy is rejected.
    initial_policy: Option<Policy>,
    voter_state_file: VoterStateFile,
    /// The policy in force, if storing it failed.
    unstored_policy: Option<(Revision, Policy)>,
}

impl Driver {
    async fn run(mut self, inbox: Inbox) {
        loop {
            self.tick();
            self.expire_requests();
            self.retry_storing_policy();
            let event = inbox.receive(self.next_wake()).await;
            self.handle_event(event);
            // All queued events of the transport are handled before the node's next tick.
            while let Some(event) = inbox.try_receive() {
                self.handle_event(event);
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
        let node = self
            .clock
            .instant(self.node.next_wake(self.now().monotonic));
        let request = self.open_requests.next_expiry();
        request.map_or(node, |request| request.min(node))
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
                let number = self.open_requests.open(responses);
                self.node.handle_request(now, number, request, &mut actions);
            }
            DriverEvent::Checked(CheckedProposal { proposal, verdict }) => {
                self.node
                    .handle_checked(now, proposal, verdict, &mut actions);
            }
            DriverEvent::Timer => {}
        }
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<NodeAction>) {
        // The policy is stored before the lease guard opens for it, and the guard is set before any message is sent.
        self.store_applied_policies(&actions);
        self.update_lease_guard();
        let own_id = self.membership.id;
        let mut own_frames = Vec::new();
        let mut written = true;
        for action in actions {
            match action {
                NodeAction::Write(bytes) => written = self.write_voter_state(&bytes),
                // Messages after a failed write depend on the state that was not written.
                NodeAction::Send(..) if !written => {}
                NodeAction::Send(to, frame) if to == own_id => own_frames.push(frame),
                NodeAction::Send(to, frame) => self.peers.send(to, &frame),
                NodeAction::CheckPolicy(proposal, base_revision, policy) => {
                    self.check_policy(proposal, base_revision, &policy);
                }
                // Already stored by `store_applied_policies`.
                NodeAction::ApplyPolicy(..) => {}
                NodeAction::Reply(number, reply) => self.respond(number, Some(reply)),
                NodeAction::Log(code, text) => log_line!(code, "group: {text}"),
            }
        }
        for frame in own_frames {
            self.handle_event(DriverEvent::Transport(TransportEvent::Frame(own_id, frame)));
        }
    }

    fn store_applied_policies(&mut self, actions: &[NodeAction]) {
        for action in actions {
            if let NodeAction::ApplyPolicy(revision, policy) = action {
                self.store_policy(*revision, policy);
            }
        }
    }

    /// Writes the voter's persistent state. Returns whether the state is on disk.
    fn write_voter_state(&mut self, bytes: &[u8]) -> bool {
        let written = self.voter_state_file.write(bytes);
        if !written {
            self.node.handle_write_failed();
        }
        written
    }
}
