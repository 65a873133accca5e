//! Bounded waits for conditions.

use crate::HarnessError;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time of every wait. Only failed runs reach it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds. `description` describes the condition in the error.
///
/// # Errors
/// The condition does not hold within [`WAIT_LIMIT`].
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
