//! Policies of the group: they are checked before they are agreed on, and stored in the home once they are in force.

use super::{Driver, GroupEvent};
use crate::manifest::{GroupSpec, Manifest};
use crate::plan::{Applied, APPLIED_FILE};
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use marblefall_coordination::identifiers::{Policy, ProposalId, Revision};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_delivery::log_line;

/// Why this member cannot act under a proposed policy.
#[derive(Debug, thiserror::Error)]
enum PolicyError {
    #[error("the policy cannot be read: {0}")]
    Undecodable(#[from] serde_json::Error),
    #[error("the file has no [group] any more")]
    NoGroup,
    #[error("of [group], a change may only say which instances a member runs")]
    OtherGroup,
    #[error("its home was founded with another file")]
    OtherInitialPolicy,
}

impl Driver {
    /// Checks whether a proposed policy can be decoded, is one that this member can act under, and has room for the
    /// messages that are held.
    pub(super) fn check_policy(&self, proposal: ProposalId, follows: Revision, policy: &[u8]) {
        let name = self.membership.name.clone();
        let manifest = match self.check_form(follows, policy) {
            Ok(manifest) => manifest,
            Err(error) => {
                let verdict = PolicyVerdict::Rejected(format!("member {name}: {error}"));
                // Never full, and open for as long as this driver is.
                let _ = self.verdicts.try_send((proposal, verdict));
                return;
            }
        };
        let (sender, verdict) = async_channel::bounded(1);
        let check = GroupEvent::CheckPolicy(Box::new(manifest), sender);
        let _ = self.group_events.try_send(check);
        let verdicts = self.verdicts.clone();
        self.tasks.spawn(async move {
            let verdict = match verdict.recv().await {
                Ok(PolicyVerdict::Accepted) => PolicyVerdict::Accepted,
                Ok(PolicyVerdict::Rejected(reason)) => {
                    PolicyVerdict::Rejected(format!("member {name}: {reason}"))
                }
                // The supervisor has ended: the leader asks again.
                Err(_) => return,
            };
            let _ = verdicts.try_send((proposal, verdict));
        });
    }

    /// Stores a policy that is in force in the home, and tells the supervisor.
    pub(super) fn store_policy(&mut self, revision: Revision, policy: &Policy) {
        if revision == Revision(0) {
            return;
        }
        let number = revision.0;
        let manifest: Manifest = match serde_json::from_slice(policy) {
            Ok(manifest) => manifest,
            Err(error) => {
                return log_line!(
                    code = "policy-unreadable",
                    "group: revision {number} cannot be read: {error}"
                )
            }
        };
        let applied = Applied {
            revision: number,
            manifest,
        };
        if Applied::read(&self.home).is_ok_and(|stored| stored == applied) {
            return;
        }
        // Cannot fail: all keys are strings.
        let text = serde_json::to_vec_pretty(&applied).unwrap_or_default();
        if let Err(error) = replace(
            &LocalDisk,
            &self.home.join(APPLIED_FILE),
            &text,
            Durability::PowerLoss,
        ) {
            // Until it is stored, instances stay under their policy, for which the lease guard is closed.
            self.unstored_policy = Some((revision, policy.clone()));
            return log_line!(
                code = "policy-not-written",
                "group: revision {number}: {error}"
            );
        }
        log_line!(
            code = "policy-in-force",
            "group: revision {number} is in force"
        );
        // Fails where the supervisor has ended.
        let _ = self.group_events.try_send(GroupEvent::PolicyInForce);
    }

    /// Stores a policy in force that could not be stored before.
    pub(super) fn retry_storing_policy(&mut self) {
        if let Some((revision, policy)) = self.unstored_policy.take() {
            self.store_policy(revision, &policy);
        }
    }

    /// Checks what does not depend on the instances.
    fn check_form(&self, follows: Revision, policy: &[u8]) -> Result<Manifest, PolicyError> {
        let manifest: Manifest = serde_json::from_slice(policy)?;
        let group = manifest.group.as_ref().ok_or(PolicyError::NoGroup)?;
        if fixed_settings(group) != fixed_settings(&self.membership.group) {
            return Err(PolicyError::OtherGroup);
        }
        let initial_policy = self.initial_policy.as_deref();
        let is_other_initial = initial_policy.is_some_and(|initial| initial != policy);
        if follows == Revision(0) && is_other_initial {
            return Err(PolicyError::OtherInitialPolicy);
        }
        Ok(manifest)
    }
}

/// What a change may not touch, as members could not agree on it while it changes: all of the group but which instances
/// its members run.
fn fixed_settings(group: &GroupSpec) -> GroupSpec {
    let mut group = group.clone();
    for member in group.members.values_mut() {
        member.instances.clear();
    }
    group
}
