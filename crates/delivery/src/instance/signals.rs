//! Translates signals of the process to commands of its instance.

use super::{InstanceCommand, InstanceError, ShutdownReason, SHUTDOWN_TIMEOUT};
use crate::log_line;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::time::Duration;

/// Delay before signals are read again after an error.
const ERROR_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Registers the signals that are translated to commands. Before this call, they kill the process.
///
/// # Errors
/// The signals cannot be registered.
pub fn register_signals() -> Result<Signals, InstanceError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(InstanceError::Signals)
}

/// Sends a command for each signal until the channel of commands is closed.
pub async fn watch_signals(mut signals: Signals, commands: Sender<InstanceCommand>) {
    while let Some(signal) = signals.next().await {
        let signal = match signal {
            Ok(signal) => signal,
            Err(error) => {
                // A process that no longer received signals could only be killed.
                log_line!(
                    code = "signal-not-read",
                    "cannot read signals: {error}; retrying"
                );
                Timer::after(ERROR_RETRY_DELAY).await;
                continue;
            }
        };
        let command = match signal {
            Signal::Usr1 => InstanceCommand::PrintCounters,
            Signal::Hup => InstanceCommand::ReloadConfig,
            _ => InstanceCommand::Shutdown {
                timeout: SHUTDOWN_TIMEOUT,
                reason: ShutdownReason::Stop,
            },
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}
