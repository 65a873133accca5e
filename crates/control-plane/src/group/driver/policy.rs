//! Checks policies that are proposed in the group, and stores the policy in force in the home.

use super::inbox::CheckedProposal;
use super::{Driver, GroupEvent};
use crate::json_file::JsonFileError;
use crate::manifest::{GroupSpec, Manifest};
use crate::plan::Applied;
use crate::removed_instances;
use marblefall_coordination::identifiers::{Policy, ProposalId, Revision};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_delivery::log_line;
use std::io;

/// The reason why this member cannot act under a proposed policy.
#[derive(Debug, thiserror::Error)]
enum PolicyError {
    #[error("the policy cannot be decoded: {0}")]
    Undecodable(#[from] serde_json::Error),
    #[error("the file no longer has a [group]")]
    NoGroup,
    #[error("of [group], a change may only say which instances a member runs")]
    GroupSettingsChanged,
    #[error("its home was created with a different file")]
    InitialPolicyMismatch,
}

/// The effect of storing the policy in force.
enum StoredPolicy {
    /// The policy was already stored.
    Unchanged,
    /// The policy has replaced another one.
    Replaced,
}

impl Driver {
    /// Checks whether a proposed policy can be decoded, whether this member can act under it, and whether it permits the
    /// instances' open messages. The verdict arrives as an event.
    pub(super) fn check_policy(
        &self,
        proposal: ProposalId,
        base_revision: Revision,
        policy: &[u8],
    ) {
        match self.check_without_instances(base_revision, policy) {
            Ok(manifest) => self.check_with_instances(proposal, manifest),
            Err(error) => {
                let verdict = rejection(&self.membership.name, &error.to_string());
                // Cannot fail: the queue is unbounded and stays open as long as this driver exists.
                let _ = self
                    .verdicts
                    .try_send(CheckedProposal { proposal, verdict });
            }
        }
    }

    /// Performs the checks that do not depend on the instances.
    fn check_without_instances(
        &self,
        base_revision: Revision,
        policy: &[u8],
    ) -> Result<Manifest, PolicyError> {
        let manifest: Manifest = serde_json::from_slice(policy)?;
        let group = manifest.group.as_ref().ok_or(PolicyError::NoGroup)?;
        if fixed_settings(group) != fixed_settings(&self.membership.group) {
            return Err(PolicyError::GroupSettingsChanged);
        }
        let initial_policy = self.initial_policy.as_deref();
        let differs_from_initial = initial_policy.is_some_and(|initial| initial != policy);
        if base_revision == Revision(0) && differs_from_initial {
            return Err(PolicyError::InitialPolicyMismatch);
        }
        Ok(manifest)
    }

    /// Requests the instances' verdict from the supervisor.
    fn check_with_instances(&self, proposal: ProposalId, manifest: Manifest) {
        let (sender, verdict) = async_channel::bounded(1);
        let check = GroupEvent::CheckPolicy(Box::new(manifest), sender);
        // Fails if the supervisor has ended. In this case no verdict arrives below.
        let _ = self.group_events.try_send(check);
        let name = self.membership.name.clone();
        let verdicts = self.verdicts.clone();
        self.tasks.spawn(async move {
            let verdict = match verdict.recv().await {
                Ok(PolicyVerdict::Accepted) => PolicyVerdict::Accepted,
                Ok(PolicyVerdict::Rejected(reason)) => rejection(&name, &reason),
                // The supervisor has ended. The leader repeats the request.
                Err(_) => return,
            };
            let _ = verdicts.try_send(CheckedProposal { proposal, verdict });
        });
    }

    /// Stores the policy in force in the home and notifies the supervisor. Does nothing if the policy is already stored.
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
                    "group: revision {number} cannot be decoded: {error}"
                )
            }
        };
        let applied = Applied {
            revision: number,
            manifest,
        };
        match self.replace_applied(&applied) {
            Ok(StoredPolicy::Unchanged) => return,
            Ok(StoredPolicy::Replaced) => {}
            Err(error) => {
                // Until the new policy is stored, instances keep the previous one, for which the lease guard is closed.
                self.unstored_policy = Some((revision, policy.clone()));
                return log_line!(
                    code = "policy-not-written",
                    "group: revision {number} cannot be stored: {error}"
                );
            }
        }
        log_line!(
            code = "policy-in-force",
            "group: revision {number} is in force"
        );
        // Fails if the supervisor has ended.
        let _ = self.group_events.try_send(GroupEvent::PolicyInForce);
    }

    /// Replaces the applied manifest of the home. Before, it stores the instances that this member runs under the previous
    /// manifest and no longer under the new one, so that their messages are not forgotten whenever the process ends.
    fn replace_applied(&self, applied: &Applied) -> io::Result<StoredPolicy> {
        match Applied::read(&self.home) {
            Ok(stored) if stored == *applied => return Ok(StoredPolicy::Unchanged),
            Ok(stored) => removed_instances::store(
                &self.home,
                &stored.manifest,
                &applied.manifest,
                |manifest, instance| {
                    let group = manifest.group.as_ref();
                    group.is_some_and(|group| group.runs(&self.membership.name, instance))
                },
            )?,
            Err(JsonFileError::Read { source, .. }) => return Err(source),
            Err(error @ JsonFileError::Parse { .. }) => log_line!(
                code = "applied-unreadable",
                "group: the previous policy cannot be decoded and is replaced: {error}"
            ),
        }
        applied.write(&self.home)?;
        Ok(StoredPolicy::Replaced)
    }

    /// Retries storing the policy in force if storing it has failed.
    pub(super) fn retry_storing_policy(&mut self) {
        if let Some((revision, policy)) = self.unstored_policy.take() {
            self.store_policy(revision, &policy);
        }
    }
}

fn rejection(member: &str, reason: &str) -> PolicyVerdict {
    PolicyVerdict::Rejected(format!("member {member}: {reason}"))
}

/// Returns the settings that a change must not alter: all settings of the group except for the instances of its members.
/// While these settings change, the members could not agree on the change.
fn fixed_settings(group: &GroupSpec) -> GroupSpec {
    let mut group = group.clone();
    for member in group.members.values_mut() {
        member.instances.clear();
    }
    group
}
