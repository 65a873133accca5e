//! The process's signals as commands.

use super::{InstanceCommand, InstanceError, SHUTDOWN_TIMEOUT};
use crate::log_line;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::time::Duration;

/// How long reading pauses after an error.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

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
    while let Some(signal) = signals.next().await {
        let signal = match signal {
            Ok(signal) => signal,
            Err(error) => {
                // A process that heard no signal any more could only be killed.
                log_line!(code = "signal-not-read", "{error}; tried again");
                Timer::after(ERROR_PAUSE).await;
                continue;
            }
        };
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
