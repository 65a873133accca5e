//! Measures whole processes over loopback, against stand-ins of destinations:
//!
//!     cargo build --release --workspace --bins --examples
//!     target/release/examples/measure message target/release/marblefall [OTHER ...]
//!     target/release/examples/measure roster target/release/marblefall
//!     target/release/examples/measure idle target/release/marblefall [OTHER ...]
//!     target/release/examples/measure return target/release/marblefall
//!     target/release/examples/measure refusals target/release/marblefall [OTHER ...]
//!
//! `message`: CPU and memory for each message, of one build or of several in turn. `roster`: what an endpoint list of 10,000
//! destinations and 20,000 endpoints costs to plan, to start with, and to put in force while messages are delivered. `idle`:
//! what destinations cost that are never used. `return`: the recovery ramp of a destination after an outage that three
//! instances saw, each a process of its own, among 10,000 idle destinations; once as they are, once with one of them killed
//! during the outage. `refusals`: what a destination gets that rejects every fourth call at random.

mod daemon;
mod endpoint_lists;
mod idle;
mod load;
mod message;
mod recovery;
mod rejections;

use std::error::Error;

/// The result of a measurement, any failure of which ends the program.
type Measured<T> = Result<T, Box<dyn Error + Send + Sync>>;

fn main() -> Measured<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((measurement, builds)) = arguments.split_first() else {
        return Err(USAGE.into());
    };
    match (measurement.as_str(), builds) {
        ("message", [_, ..]) => message::measure(builds),
        ("roster", [build]) => endpoint_lists::measure(build),
        ("idle", [_, ..]) => idle::measure(builds),
        ("return", [build]) => recovery::measure(build),
        ("refusals", [_, ..]) => builds
            .iter()
            .try_for_each(|build| rejections::measure(build)),
        _ => Err(USAGE.into()),
    }
}

const USAGE: &str = "usage: measure message|idle|refusals BUILD... | measure roster|return BUILD";
