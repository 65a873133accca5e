//! One instance: the core, the network and the frontends, assembled and run on one thread.
//!
//! [`run_instance`] assembles the instance, which starts all tasks, and then runs the engine's loop until the instance has
//! shut down. The command loop handles one [`InstanceCommand`] at a time, and the executor executes the engine's commands.
//! Every shutdown takes the same path, whatever causes it. [`run_on_platform`] runs the instance that the platform
//! configures by environment variables and a file.

pub mod admin;
mod assembly;
mod command;
mod config;
mod engine_loop;
mod error;
mod executor;
mod lease;
mod memory_plan;
mod platform;
pub mod platform_config;
mod resource_monitor;
mod shutdown;
mod signals;
mod state_folder;

pub use command::{InstanceCommand, ShutdownReason};
pub use config::{
    CloudEventsFrontendConfig, InstanceConfig, LeaseConfig, PlatformFrontendConfig, PolicyUpdate,
    StateFolder,
};
pub use error::InstanceError;
pub use memory_plan::MemoryLimit;
pub use platform::run_on_platform;
pub use shutdown::SHUTDOWN_TIMEOUT;
pub use signals::{register_signals, watch_signals};

use crate::log_line;
use crate::net::spawner::Spawner;
use async_channel::Receiver;
use state_folder::{Claim, ClaimInterrupt};
use std::time::{Duration, Instant};

/// Maximum age of the configured endpoint list, counted from the start of the instance. The list counts as received from
/// discovery at that time, and an endpoint that is draining may be called for only 250 ms after it.
const MAX_CONFIGURED_LIST_AGE: Duration = Duration::from_millis(150);

/// Returns the tracing span of all log lines of an instance. The instance's thread enters it once.
pub fn instance_span(name: &str) -> tracing::Span {
    tracing::info_span!("instance", name)
}

/// Runs one instance until it has shut down.
///
/// # Errors
/// The state folder or a listener of the instance cannot be used.
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
    let claimed = match claim.run(&class_names).await {
        Ok(claimed) => claimed,
        Err(ClaimInterrupt::ShutDown) => return Ok(()),
        Err(ClaimInterrupt::Failed(error)) => return Err(error),
    };
    let early_commands = claim.early_commands;
    if started_at.elapsed() > MAX_CONFIGURED_LIST_AGE {
        config.refresh_configured_list().await;
    }
    let instance = assembly::assemble(config, claimed, tasks.clone())?;
    let (counters, resources) = (instance.counters.clone(), instance.resources.clone());
    tasks.spawn(instance.command_loop.run(early_commands, commands));
    instance.engine_loop.run().await;
    log_line!("{counters}");
    log_line!("{}", resources.usage());
    Ok(())
}
