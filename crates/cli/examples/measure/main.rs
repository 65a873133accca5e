//! Measures processes over loopback, against simulated destinations:
//!
//!     cargo build --release --workspace --bins --examples
//!     target/release/examples/measure message target/release/marblefall [OTHER ...]
//!     target/release/examples/measure roster target/release/marblefall
//!     target/release/examples/measure idle target/release/marblefall [OTHER ...]
//!     target/release/examples/measure return target/release/marblefall
//!     target/release/examples/measure refusals target/release/marblefall [OTHER ...]
//!
//! - `message`: CPU and memory for each message, for one build or for several in turn.
//! - `roster`: the cost of an endpoint list of 10,000 destinations and 20,000 endpoints: to plan it, to start with it, and
//!   to put it in force while messages are delivered.
//! - `idle`: the cost of destinations that are never used.
//! - `return`: the recovery ramp of a destination after an outage that three instances observed, among 10,000 idle
//!   destinations. Each instance is a process. The run is repeated with one instance killed during the outage.
//! - `refusals`: the traffic of a destination that rejects every fourth call at random.

mod daemon;
mod endpoint_lists;
mod idle;
mod load;
mod message;
mod recovery;
mod rejections;

use std::error::Error;

/// The result of a measurement. Any error ends the program.
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
