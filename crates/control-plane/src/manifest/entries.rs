//! The entries of a table in the operators' file, with their positions.

use std::collections::BTreeMap;
use toml::Spanned;

/// Entries by name, each with its position in the file.
pub(super) type Entries<T> = BTreeMap<String, Spanned<T>>;

/// Returns the entries without their positions.
pub(super) fn without_positions<T>(entries: Entries<T>) -> BTreeMap<String, T> {
    entries
        .into_iter()
        .map(|(name, entry)| (name, entry.into_inner()))
        .collect()
}
