//! Checks with the instances whether a proposed policy permits their open messages.

use super::desired_state::DesiredState;
use super::instance_handle::InstanceHandle;
use crate::manifest::{name_hash, Manifest};
use async_io::Timer;
use futures_lite::future;
use marblefall_delivery::core::engine::{PolicyMismatch, ProposedPolicy};
use marblefall_delivery::instance::InstanceCommand;
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum time for an instance's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why the instances cannot act under a proposed policy.
#[derive(Debug, thiserror::Error)]
pub(super) enum PolicyCheckError {
    #[error("instance {0} is still starting")]
    Starting(String),
    #[error("instance {0} does not respond")]
    NoResponse(String),
    #[error("instance {instance}: {source}")]
    Mismatch {
        instance: String,
        source: PolicyMismatch,
    },
}

/// Checks a proposed policy with all running instances. An instance that is removed, or that the policy assigns to another
/// member, has to deliver its messages under the policy as well; its number of open messages is not limited by it.
///
/// # Errors
/// One of the desired instances does not run, or an instance that the policy declares does not respond or cannot act under
/// the policy.
pub(super) async fn check_policy(
    proposed: &Manifest,
    instances: &BTreeMap<String, InstanceHandle>,
    desired: &DesiredState,
) -> Result<(), PolicyCheckError> {
    if let Some(name) = desired
        .instances()
        .find(|name| !instances.contains_key(*name))
    {
        return Err(PolicyCheckError::Starting(name.to_owned()));
    }
    let names = proposed.destinations.keys();
    let destinations: BTreeSet<_> = names.map(|name| DestinationId(name_hash(name))).collect();
    let classes: BTreeSet<String> = proposed.classes.keys().cloned().collect();
    for (name, instance) in instances {
        let manifest = proposed.instance_manifest(name);
        let stays = manifest.filter(|_| desired.would_run(proposed, name));
        let policy = ProposedPolicy {
            classes: classes.clone(),
            destinations: destinations.clone(),
            max_open: stays.map_or(usize::MAX, |manifest| manifest.limits.max_open),
        };
        let verdict = request_verdict(name, instance, policy).await;
        // Messages of an instance that the policy does not declare at all end by their deadlines.
        if proposed.instances.contains_key(name) && !instance.has_ended() {
            verdict?;
        }
    }
    Ok(())
}

async fn request_verdict(
    name: &str,
    instance: &InstanceHandle,
    policy: ProposedPolicy,
) -> Result<(), PolicyCheckError> {
    let (sender, response) = async_channel::bounded(1);
    instance.send(InstanceCommand::CheckPolicy(policy, sender));
    let timeout = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        None
    };
    match future::or(async { response.recv().await.ok() }, timeout).await {
        Some(verdict) => verdict.map_err(|source| PolicyCheckError::Mismatch {
            instance: name.to_owned(),
            source,
        }),
        None => Err(PolicyCheckError::NoResponse(name.to_owned())),
    }
}
