//! The protecting mechanisms by name, for tests that remove one. Not for: settings.

usher_types::value_type! {
    /// A mechanism that a test can remove, to show that its invariant catches the fault.
    pub enum StateMechanism {
        /// A change whose base version is not current is refused.
        BaseVersion,
        /// A repeated request id gets the first answer.
        ConfigResend,
        /// A repeated request id with other content is a conflict.
        ConfigContent,
        /// A key that is held or ended isn't granted.
        ClaimLookup,
        /// Only the holder of a claim ends it.
        ClaimHolderCheck,
        /// A key with a time older than the keeping time is refused.
        ClaimKeyAge,
        /// Ended keys without a time are kept for good.
        ClaimClosedKept,
        /// A recorded answer is given only to the same call.
        ClaimFingerprint,
        /// One order is in flight per engine.
        OrderInFlight,
        /// A result counts only for the order in flight.
        OrderFence,
        /// An order names the registered incarnation.
        OrderIncarnation,
        /// An incarnation that was replaced isn't taken back.
        TargetIncarnation,
        /// A leaving mark stays until a new incarnation.
        TargetLeaving,
        /// The time of the state never goes back.
        StateTime,
    }
}

impl StateMechanism {
    /// All mechanisms.
    pub const ALL: [Self; 14] = [
        Self::BaseVersion,
        Self::ConfigResend,
        Self::ConfigContent,
        Self::ClaimLookup,
        Self::ClaimHolderCheck,
        Self::ClaimKeyAge,
        Self::ClaimClosedKept,
        Self::ClaimFingerprint,
        Self::OrderInFlight,
        Self::OrderFence,
        Self::OrderIncarnation,
        Self::TargetIncarnation,
        Self::TargetLeaving,
        Self::StateTime,
    ];
}

/// Returns whether a mechanism is in place.
pub(crate) fn is_enabled(disabled: Option<StateMechanism>, mechanism: StateMechanism) -> bool {
    disabled != Some(mechanism)
}
