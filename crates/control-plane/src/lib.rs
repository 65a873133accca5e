//! The control plane: runs the instances that operators declare, and puts changes to the declaration in force.
//!
//! | module | concern |
//! | --- | --- |
//! | [`manifest`] | the operators' declaration |
//! | [`plan`] | the change from the applied manifest to another one, and how it is applied |
//! | [`endpoint_directory`] | the destinations of the applied manifest |
//! | [`list_watcher`] | the endpoint lists beside the manifest |
//! | [`supervisor`] | the instances and their restarts |
//! | [`group`] | several daemons that change their policy together |

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
