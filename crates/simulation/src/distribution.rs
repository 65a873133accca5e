//! Distributions of a destination's service times.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Pareto, StandardNormal};

/// The shape of a distribution around its mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Always the mean.
    Constant,
    /// Exponential.
    Exponential,
    /// Log-normal with this standard deviation of the logarithm: 0.5 is mild, 1.5 has a long tail.
    LogNormal(f64),
    /// A power law with this exponent, above 1. The lower the exponent, the heavier the tail.
    Pareto(f64),
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// The mean, in ms.
    pub mean_ms: f64,
    /// The shape.
    pub shape: Shape,
}

impl ServiceTime {
    /// Draws a service time, in ms.
    pub fn sample(&self, rng: &mut impl Rng) -> f64 {
        match self.shape {
            Shape::Constant => self.mean_ms,
            Shape::Exponential => self.mean_ms * rng.sample::<f64, _>(Exp1),
            Shape::LogNormal(sigma) => {
                let normal: f64 = rng.sample(StandardNormal);
                self.mean_ms * (sigma * normal - sigma * sigma / 2.0).exp()
            }
            Shape::Pareto(exponent) => {
                let scale = self.mean_ms * (exponent - 1.0) / exponent;
                match Pareto::new(scale, exponent) {
                    Ok(pareto) => pareto.sample(rng),
                    // The scenario reader rejects exponents without a mean.
                    Err(_) => self.mean_ms,
                }
            }
        }
    }
}
