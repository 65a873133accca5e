//! Fronts translate between a wire and the core; they decide nothing. What they have in common with the network
//! is the `seam`.

pub mod cloudevents;
pub mod relay;
