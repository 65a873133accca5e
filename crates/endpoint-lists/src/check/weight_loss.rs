//! Computes the share of its weight that a destination loses in a change.

use crate::list::{Destination, Endpoint};
use std::collections::HashMap;

/// Returns the share of its weight, 0 to 1, that a destination loses in a change.
///
/// For each old endpoint, the ratio of its new weight to its old weight is compared with the largest such ratio of the
/// destination. The relative shortfall counts as lost. The weight of an endpoint that becomes inactive is lost completely.
/// Scaling all weights by the same factor and adding endpoints cause no loss.
pub fn weight_loss(old: &Destination, new: &Destination) -> f64 {
    let new_weights: HashMap<&str, f64> = active(new)
        .map(|endpoint| (endpoint.name.as_str(), endpoint.weight))
        .collect();
    let old_endpoints: Vec<&Endpoint> = active(old).collect();
    let total: f64 = old_endpoints.iter().map(|endpoint| endpoint.weight).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let remaining = |endpoint: &Endpoint| {
        let new_weight = new_weights.get(endpoint.name.as_str());
        new_weight.map_or(0.0, |new_weight| new_weight / endpoint.weight)
    };
    let max_remaining = old_endpoints
        .iter()
        .map(|endpoint| remaining(endpoint))
        .fold(0.0, f64::max);
    let lost = |endpoint: &Endpoint| {
        let lost_share = if max_remaining > 0.0 {
            1.0 - remaining(endpoint) / max_remaining
        } else {
            1.0
        };
        endpoint.weight / total * lost_share
    };
    old_endpoints.iter().map(|endpoint| lost(endpoint)).sum()
}

fn active(destination: &Destination) -> impl Iterator<Item = &Endpoint> {
    destination
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.is_active())
}
