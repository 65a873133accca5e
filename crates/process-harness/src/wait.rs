//! Bounded waits for conditions.

use crate::HarnessError;
use std::thread;
use std::time::{Duration, Instant};

/// The limit of every wait. Only a failed run reaches it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Errors
/// It does not hold within [`WAIT_LIMIT`].
pub fn wait_for(
    description: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), HarnessError> {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        if Instant::now() >= deadline {
            let condition = description.to_owned();
            return Err(HarnessError::TimedOut { condition });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
