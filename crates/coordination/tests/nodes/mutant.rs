//! Mutants of the simulated nodes.

/// A deliberate fault of the simulated nodes, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    Unmodified,
    /// A voter whose storage was lost continues under its old identity, with an empty log.
    TrustsLostStorage,
    /// A voter whose storage was restored from an old copy continues as if it were current.
    TrustsRestoredStorage,
    /// A voter sends messages before its state is on disk, and then crashes.
    SendsBeforeWriting,
    /// A member continues to act after its lease has expired.
    ActsAfterLease,
    /// A member acts under its stored policy before it holds a lease.
    TrustsStoredPolicy,
    /// A member confirms that it is quiesced, but continues to act.
    ActsWhileQuiesced,
}
