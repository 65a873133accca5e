//! The role of an incarnation of the instance's process.

/// The role of this incarnation among the running ones. Only the active one schedules attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Another incarnation is active, and this one will take over from it.
    Standby,
    /// This incarnation is active.
    Active,
    /// This incarnation has handed over to a successor, or is shutting down in favour of one.
    HandedOver,
}
