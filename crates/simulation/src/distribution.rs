//! Distributions of the service times of destinations.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Pareto, StandardNormal};

/// Shape of a distribution with a given mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Constant: every value is the mean.
    Constant,
    /// Exponential distribution.
    Exponential,
    /// Log-normal distribution with this standard deviation of the logarithm. At 0.5 the tail is short, at 1.5 it is long.
    LogNormal(f64),
    /// Pareto distribution with this exponent, which is above 1. The lower the exponent, the heavier the tail.
    Pareto(f64),
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean, in ms.
    pub mean_ms: f64,
    /// Shape of the distribution.
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
                    // Not reached: the scenario reader rejects exponents for which the distribution has no mean.
                    Err(_) => self.mean_ms,
                }
            }
        }
    }
}
