//! The control plane: what operators declare, and what keeps the instances to it.
//!
//! [`manifest`] is what they declare, [`plan`] what a change to it would do and how it is applied,
//! [`endpoint_directory`] the destinations of what is applied, [`list_watcher`] the endpoint lists beside it,
//! [`supervisor`] what runs the instances, and [`group`] what makes several supervisors change together.

#![forbid(unsafe_code)]

pub mod endpoint_directory;
pub mod group;
mod instance_config;
mod json_file;
pub mod list_watcher;
pub mod manifest;
pub mod plan;
pub mod supervisor;

pub use json_file::JsonFileError;
