//! Messages that wake the scanner's thread.

use crate::manifest::EndpointListSource;

/// A message that wakes the scanner's thread.
pub(super) enum Wakeup {
    /// A file has changed, or may have.
    FilesChanged,
    /// The manifest names another source of lists, or none.
    SourceChanged(Option<EndpointListSource>),
    /// The watcher was dropped.
    Shutdown,
}
