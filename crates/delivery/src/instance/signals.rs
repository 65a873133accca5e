//! The process's signals as commands.

use super::{InstanceCommand, InstanceError, SHUTDOWN_TIMEOUT};
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Registers the signals that are commands. Called before anything else starts: until then they would kill the process.
///
/// # Errors
/// The system does not register them.
pub fn signals() -> Result<Signals, InstanceError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(InstanceError::Signals)
}

/// Turns signals into commands for as long as somebody receives them.
pub async fn watch_signals(mut signals: Signals, commands: Sender<InstanceCommand>) {
    while let Some(Ok(signal)) = signals.next().await {
        let command = match signal {
            Signal::Usr1 => InstanceCommand::PrintCounters,
            Signal::Hup => InstanceCommand::ReloadConfig,
            _ => InstanceCommand::Shutdown {
                timeout: SHUTDOWN_TIMEOUT,
                restart: false,
            },
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}
