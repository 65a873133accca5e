//! Errors in the input.

/// An error that prevents a line of the input from being processed.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A batch starts before the previous batch has ended.
    #[error("a batch starts inside another batch")]
    NestedBatch,
    /// An event or the end of a batch precedes the start of a batch.
    #[error("a line outside any batch")]
    OutsideBatch,
    /// A line names an instance that is not running.
    #[error("instance {0:?} is not running")]
    UnknownInstance(String),
    /// An update refers to the number of an endpoint list that was not received.
    #[error("unknown list number {0}")]
    UnknownList(u64),
    /// The number of an outcome is not defined.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u64),
    /// A name is not defined in the instance's settings.
    #[error("unknown {kind} {name:?}")]
    UnknownName {
        /// The kind of item that the name refers to, for the error message.
        kind: &'static str,
        /// The name.
        name: String,
    },
}
