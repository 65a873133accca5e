//! The control plane: runs the instances that operators declare in a manifest, and applies changes of the manifest.
//!
//! | module | concern |
//! | --- | --- |
//! | [`manifest`] | the operators' declaration of instances, classes and destinations |
//! | [`plan`] | planning and applying a change of the manifest |
//! | [`endpoint_directory`] | the destinations of the applied manifest, with their endpoints |
//! | [`list_watcher`] | watching the endpoint lists, which are files separate from the manifest |
//! | [`supervisor`] | running and restarting the instances |
//! | [`group`] | coordination of several daemons that change their policy together |

#![forbid(unsafe_code)]

pub mod endpoint_directory;
pub mod group;
mod instance_config;
mod json_file;
pub mod list_watcher;
pub mod manifest;
pub mod plan;
mod removed_instances;
pub mod supervisor;
#[cfg(test)]
mod test_manifests;

pub use json_file::JsonFileError;
