//! How long a partner works on a call.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Pareto, StandardNormal};

/// The shape of the times, around their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// All alike.
    Constant,
    /// Without memory.
    Exponential,
    /// The logarithm is normal, with this standard deviation: 0.5 is mild, 1.5 has a long tail.
    LogNormal(f64),
    /// A power law with this exponent, above 1: the lower, the heavier the tail.
    Pareto(f64),
}

/// Service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Their mean, in ms.
    pub mean_ms: f64,
    /// Their shape.
    pub shape: Shape,
}

impl Service {
    /// One of them, in ms.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        match self.shape {
            Shape::Constant => self.mean_ms,
            Shape::Exponential => self.mean_ms * rng.sample::<f64, _>(Exp1),
            Shape::LogNormal(sigma) => {
                let normal: f64 = rng.sample(StandardNormal);
                self.mean_ms * (sigma * normal - sigma * sigma / 2.0).exp()
            }
            // The scale that gives the mean; an exponent that has none is turned away with the scenario.
            Shape::Pareto(exponent) => {
                match Pareto::new(self.mean_ms * (exponent - 1.0) / exponent, exponent) {
                    Ok(pareto) => pareto.sample(rng),
                    Err(_) => self.mean_ms,
                }
            }
        }
    }
}
