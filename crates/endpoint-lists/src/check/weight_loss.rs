//! The share of its weight that a destination loses by a change.

use crate::list::{Destination, Endpoint};
use std::collections::HashMap;

/// The share of its weight, 0 to 1, that a destination loses by a change.
///
/// The weight of each endpoint counts as lost as far as the endpoint loses against the one that keeps most of its
/// weight. The weight of endpoints that become inactive is lost completely. Scaling all weights alike loses nothing, nor
/// does adding endpoints.
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
