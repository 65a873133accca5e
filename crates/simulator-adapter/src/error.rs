//! Errors of the input.

/// Why a line of the input cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A batch starts before the last one has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// An event, or the end of a batch, without the start of one.
    #[error("a line outside any batch")]
    OutsideBatch,
    /// An event for an instance that is not running.
    #[error("an event for an instance that was not started: {0:?}")]
    UnknownInstance(String),
    /// An update with the number of an endpoint list that was not sent.
    #[error("unknown list number {0}")]
    UnknownList(u64),
    /// An outcome without a meaning.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u64),
    /// A name that the instance's settings do not define.
    #[error("unknown {kind} {name:?}")]
    UnknownName {
        /// What the name stands for.
        kind: &'static str,
        /// The name.
        name: String,
    },
}
