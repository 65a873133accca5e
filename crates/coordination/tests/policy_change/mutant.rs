//! Mutants of the simulated members and leaders.

/// A deliberate fault of the simulated members or leaders, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    Unmodified,
    /// A member acts after its lease has expired.
    ActsAfterLease,
    /// A member confirms that it is quiesced, but continues to act.
    ActsWhileQuiesced,
    /// A member is restored to the state that it had before it was quiesced.
    RestoresEarlierState,
    /// A member's rejection is sent as an acceptance.
    IgnoresRejection,
    /// A leader grants leases after its own has expired.
    LeadsAfterLease,
    /// A new leader does not apply the committed outcomes of changes.
    IgnoresCommittedOutcomes,
}
