//! Messages that wake the scanner's thread.

use crate::manifest::EndpointListSource;

/// A message that wakes the scanner's thread.
pub(super) enum Wakeup {
    /// A file may have changed.
    FilesChanged,
    /// The source of lists in the manifest may have changed; `None` if the manifest declares none.
    SourceChanged(Option<EndpointListSource>),
    /// The watcher was dropped.
    Shutdown,
}
