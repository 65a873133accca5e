//! Simulated operators, who propose changes and request outcomes.

use super::common::policy_rejected_by;
use super::simulation::Simulation;
use marblefall_coordination::identifiers::{Author, MemberId, Policy};
use marblefall_coordination::node::{Node, Reply, Request, RequestNumber};
use rand::Rng;

impl Simulation {
    /// Sends this member a proposal of a policy that all members accept.
    pub fn propose_acceptable(&mut self, at: MemberId) {
        self.last_key += 1;
        let policy = format!("policy {}", self.last_key).into_bytes();
        self.propose(at, Policy::from(policy));
    }

    /// Sends this member a proposal of a policy that a random member rejects.
    pub fn propose_rejected(&mut self, at: MemberId) {
        self.last_key += 1;
        let rejecting = self.random_member();
        self.propose(at, policy_rejected_by(rejecting.0 as u8));
    }

    fn propose(&mut self, at: MemberId, policy: Policy) {
        let key = self.last_key;
        let applied = self.daemons[&at].node.as_ref().and_then(Node::applied);
        let request = Request::Propose {
            base: applied.unwrap_or_default(),
            policy,
            author: Author {
                name: "a test".to_owned(),
                key,
            },
        };
        self.call(at, |node, now, actions| {
            node.handle_request(now, RequestNumber(key), request, actions);
        });
    }

    /// Sends a random member a request for the outcome of a random earlier change.
    pub fn request_outcome(&mut self) {
        let at = self.random_member();
        let key = self.rng.random_range(0..=self.last_key);
        self.call(at, |node, now, actions| {
            node.handle_request(now, RequestNumber(key), Request::Outcome(key), actions);
        });
    }

    /// Checks that all replies contain the same outcome of a change.
    pub fn check_outcome(&mut self, key: u64, reply: Reply) {
        let Reply::Resolved(change) = reply else {
            return;
        };
        if change.author.key == key {
            let first = self.outcomes.entry(key);
            let first = first.or_insert_with(|| change.outcome.clone());
            assert_eq!(*first, change.outcome, "change {key} has two outcomes");
        }
    }
}
