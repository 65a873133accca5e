//! Notices of final outcomes, as the platform receives them. The platform defines the keys and states.

use crate::core::FinalOutcome;
use serde::Serialize;
use std::borrow::Cow;

#[derive(Serialize)]
struct Notice<'a> {
    #[serde(rename = "id")]
    identity: Cow<'a, str>,
    state: State,
    #[serde(rename = "after_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// The client may submit the message again.
    Returned,
    /// The message was not delivered, or it is unknown whether it was.
    Failed,
}

/// Encodes the notice of a message's final outcome as one line of JSON.
pub fn encode_notice(identity: &[u8], outcome: FinalOutcome) -> String {
    let (state, retry_after_ms) = match outcome {
        FinalOutcome::Returned { retry_after_ms } => (State::Returned, Some(retry_after_ms)),
        FinalOutcome::Delivered | FinalOutcome::Failed | FinalOutcome::Expired => {
            (State::Failed, None)
        }
    };
    let notice = Notice {
        identity: String::from_utf8_lossy(identity),
        state,
        retry_after_ms,
    };
    // Serializing strings and numbers cannot fail.
    let mut line = serde_json::to_string(&notice).unwrap_or_default();
    line.push('\n');
    line
}
