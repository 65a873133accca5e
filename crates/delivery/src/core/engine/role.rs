//! Which incarnation of the instance's process decides.

/// The role of this incarnation among those that run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Another incarnation decides, and this one is to take over from it.
    Standby,
    /// This incarnation decides.
    Active,
    /// This incarnation decided until another one took over.
    HandedOver,
}
