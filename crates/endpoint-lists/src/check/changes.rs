//! Checks of a list against the list that it replaces.

use super::{weight_loss, Checker};
use crate::diagnostic::Diagnostic;
use crate::list::{Destination, EndpointList, ParsedList};
use std::collections::BTreeSet;

/// Diagnostic code of a loss beyond the limits of the rules.
const LARGE_LOSS: &str = "large-loss";
const PERCENT: f64 = 100.0;

/// The loss of active endpoints in a change.
#[derive(Default)]
struct EndpointLoss {
    /// Number of active endpoints before the change.
    total: u32,
    /// Number of these endpoints that are not active after the change.
    lost: u32,
}

impl EndpointLoss {
    fn between(old: &EndpointList, new: &EndpointList) -> EndpointLoss {
        let mut loss = EndpointLoss::default();
        for (name, old) in &old.destinations {
            let active: BTreeSet<&str> = new
                .destinations
                .get(name)
                .into_iter()
                .flat_map(|destination| &destination.endpoints)
                .filter(|endpoint| endpoint.is_active())
                .map(|endpoint| endpoint.name.as_str())
                .collect();
            for endpoint in old.endpoints.iter().filter(|endpoint| endpoint.is_active()) {
                loss.total += 1;
                loss.lost += u32::from(!active.contains(endpoint.name.as_str()));
            }
        }
        loss
    }

    /// Returns the share of the active endpoints that is lost, 0 to 1.
    fn share(&self) -> f64 {
        f64::from(self.lost) / f64::from(self.total.max(1))
    }
}

impl<'a> Checker<'a> {
    /// Checks that the revision increases.
    pub(super) fn check_revision(&mut self, previous: &EndpointList) {
        let (new, old) = (self.parsed.list.revision, previous.revision);
        if new > old {
            return;
        }
        let message =
            format!("revision {new} is not above {old}, which is active with different content");
        let help = format!(
            "raise the revision at the start and in [end] to {} or more",
            old.saturating_add(1)
        );
        self.error_at_revision("old-revision", message, help);
    }

    /// Checks that no destination loses more of its weight than the rules permit without a loss allowance.
    pub(super) fn check_weight_losses(&mut self, previous: &EndpointList) {
        let empty = Destination::default();
        let list = &self.parsed.list;
        let allowance = list.loss_allowance.clone().unwrap_or_default();
        for (name, old) in &previous.destinations {
            let new = list.destinations.get(name).unwrap_or(&empty);
            let loss = if old == new {
                0.0
            } else {
                weight_loss(old, new)
            };
            let is_allowed = allowance.destinations.contains(name);
            if loss <= self.context.rules.max_weight_loss || is_allowed {
                continue;
            }
            let message = format!(
                "{:.0}% of the weight of {name} would be removed at once",
                loss * PERCENT
            );
            let help = format!(
                "use smaller steps, or allow the loss: allow_loss = {{ revision = {}, destinations = [{name:?}] }}",
                list.revision
            );
            let span = self
                .span_of(name)
                .unwrap_or(self.parsed.spans.revision.clone());
            self.diagnostics
                .push(Diagnostic::error(LARGE_LOSS, Some(span), message, help));
        }
    }

    /// Checks that the list does not lose more endpoints than the rules permit without a loss allowance.
    pub(super) fn check_endpoint_losses(&mut self, previous: &EndpointList) {
        let list = &self.parsed.list;
        let loss = EndpointLoss::between(previous, list);
        let is_allowed = list
            .loss_allowance
            .as_ref()
            .is_some_and(|allowance| allowance.endpoints);
        if loss.share() <= self.context.rules.max_endpoint_loss || is_allowed {
            return;
        }
        let EndpointLoss { total, lost } = loss;
        let message = format!("{lost} of the {total} active endpoints would be removed at once");
        let help = format!(
            "use smaller steps, or allow the loss: allow_loss = {{ revision = {}, endpoints = true }}",
            list.revision
        );
        self.error_at_revision(LARGE_LOSS, message, help);
    }

    /// Warns of endpoints whose address changes. The change is usually intended, but messages sent to a wrong address are
    /// lost.
    pub(super) fn check_address_changes(&mut self, previous: &EndpointList) {
        let parsed: &'a ParsedList = self.parsed;
        for (name, destination) in &parsed.list.destinations {
            let Some(old) = previous.destinations.get(name) else {
                continue;
            };
            for endpoint in &destination.endpoints {
                let old = old.endpoints.iter().find(|old| old.name == endpoint.name);
                let Some(old) = old.filter(|old| old.address != endpoint.address) else {
                    continue;
                };
                let message = format!(
                    "{name}/{} moves from {} to {}",
                    endpoint.name, old.address, endpoint.address
                );
                let help = "make sure that the endpoint responds at the new address";
                self.warning("moved", name, message, help);
            }
        }
    }
}
