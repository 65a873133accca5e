//! One instance: puts the core, the network and the frontends together and runs them on one thread.
//!
//! [`run_instance`] goes through the assembly, which starts all tasks, and then runs the engine's loop until the instance
//! has shut down. The command loop takes an [`InstanceCommand`] at a time; the executor executes what the engine wants
//! done; all that ends an instance goes through the shutdown. [`run_on_platform`] is the instance that the platform
//! configures by environment variables and a file.

pub mod admin;
mod assembly;
mod command;
mod config;
mod engine_loop;
mod error;
mod executor;
mod platform;
pub mod platform_config;
mod shutdown;
mod signals;
mod state_folder;

pub use command::InstanceCommand;
pub use config::{
    CloudEventsFrontendConfig, InstanceConfig, LeaseConfig, PlatformFrontendConfig, PolicyUpdate,
    StateFolder,
};
pub use error::InstanceError;
pub use platform::run_on_platform;
pub use shutdown::SHUTDOWN_TIMEOUT;
pub use signals::{signals, watch_signals};

use crate::log_line;
use crate::net::spawner::Spawner;
use async_channel::Receiver;
use state_folder::Claim;
use std::time::{Duration, Instant};

/// The list of endpoints in the configuration is good for so long after the process has started: discovery counts as heard
/// from its first moment, and what drained may be called for 250 ms after that.
const CONFIGURED_LIST_IS_FRESH: Duration = Duration::from_millis(150);

/// The span of all log lines of an instance; its thread enters it once.
pub fn instance_span(name: &str) -> tracing::Span {
    tracing::info_span!("instance", name)
}

/// Runs one instance until it has shut down.
///
/// # Errors
/// Its state folder or a listener cannot be used.
pub async fn run_instance(
    mut config: InstanceConfig,
    commands: Receiver<InstanceCommand>,
    tasks: Spawner,
) -> Result<(), InstanceError> {
    let class_names = std::mem::take(&mut config.class_names);
    let mut claim = Claim {
        folder: &config.state_folder,
        commands: &commands,
        early_commands: Vec::new(),
    };
    let started_at = Instant::now();
    let claimed = claim.run(&class_names).await?;
    let early_commands = claim.early_commands;
    let Some(claimed) = claimed else {
        return Ok(());
    };
    if started_at.elapsed() > CONFIGURED_LIST_IS_FRESH {
        config.refresh_configured_list().await;
    }
    let instance = assembly::assemble(config, claimed, tasks.clone())?;
    let counters = instance.counters.clone();
    tasks.spawn(instance.command_loop.run(early_commands, commands));
    instance.engine_loop.run().await;
    log_line!("{counters}");
    Ok(())
}
