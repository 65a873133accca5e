//! The instances' answer to a policy that the group proposes: whether it has room for the messages they hold.

use super::instance_handle::InstanceHandle;
use crate::manifest::{destination_number, Manifest};
use async_io::Timer;
use futures_lite::future;
use marblefall_delivery::core::engine::{PolicyMismatch, ProposedPolicy};
use marblefall_delivery::instance::InstanceCommand;
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an instance may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a proposed policy cannot be put in force.
#[derive(Debug, thiserror::Error)]
pub(super) enum PolicyCheckError {
    #[error("instance {0} is only starting")]
    Starting(String),
    #[error("instance {0}: does not answer")]
    NoAnswer(String),
    #[error("instance {instance}: {source}")]
    Mismatch {
        instance: String,
        source: PolicyMismatch,
    },
}

/// Asks all instances that run; `expected` are those that have to.
pub(super) async fn check_policy(
    proposed: &Manifest,
    instances: &BTreeMap<String, InstanceHandle>,
    expected: &[&str],
) -> Result<(), PolicyCheckError> {
    if let Some(name) = expected.iter().find(|name| !instances.contains_key(**name)) {
        return Err(PolicyCheckError::Starting((*name).to_owned()));
    }
    let names = proposed.destinations.keys();
    let destinations: BTreeSet<_> = names
        .map(|name| DestinationId(destination_number(name)))
        .collect();
    let classes: BTreeSet<String> = proposed.classes.keys().cloned().collect();
    for (name, instance) in instances {
        let manifest = proposed.instance_manifest(name);
        let policy = ProposedPolicy {
            classes: classes.clone(),
            destinations: destinations.clone(),
            max_open: manifest.map_or(usize::MAX, |manifest| manifest.limits.max_open),
        };
        let verdict = ask(name, instance, policy).await;
        // One that leaves the manifest finishes what it holds within its time, as always.
        if proposed.instances.contains_key(name) {
            verdict?;
        }
    }
    Ok(())
}

async fn ask(
    name: &str,
    instance: &InstanceHandle,
    policy: ProposedPolicy,
) -> Result<(), PolicyCheckError> {
    let (sender, answer) = async_channel::bounded(1);
    instance.send(InstanceCommand::CheckPolicy(policy, sender));
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    match future::or(async { answer.recv().await.ok() }, timeout).await {
        Some(verdict) => verdict.map_err(|source| PolicyCheckError::Mismatch {
            instance: name.to_owned(),
            source,
        }),
        None => Err(PolicyCheckError::NoAnswer(name.to_owned())),
    }
}
