//! Reads scenario files, merges the files that they include, and reports problems by file and line.
//!
//! A file may `include` others by path. Tables are merged, lists of tables are concatenated, and the values of the
//! including file take precedence. Values given with `--set` take precedence over all files. A number may be a range,
//! `{ from = 5, to = 10 }`, from which each seed draws its own value.
//!
//! `form` defines the tables and keys of a file, `source` reads and merges files, `reader` validates values and draws from
//! ranges, and `model` defines the resulting scenario.

mod draft;
mod error;
mod form;
mod model;
mod reader;
mod source;

pub use draft::Draft;
pub use error::{OverrideError, ScenarioError, ScenarioProblem, ValueError};
pub use model::{
    Arrivals, Class, Crash, EndpointLocation, ListChange, Load, Network, Partition, Scenario,
};
pub(crate) use source::line_number;
