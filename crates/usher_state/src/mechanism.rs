//! The mechanisms that protect the invariants of the state, which tests disable one at a time.
//! Not for: settings.

usher_types::value_type! {
    /// A mechanism that a test can disable, to show that its invariant detects the fault.
    pub enum StateMechanism {
        /// A change whose base version is not current is refused.
        BaseVersion,
        /// A repeated request id gets the first answer again.
        ConfigResend,
        /// A repeated request id with other content is a conflict.
        ConfigContent,
        /// A key is granted only if it has no claim, or if the claim was released.
        ClaimLookup,
        /// Only the holder of a claim can end it.
        ClaimHolderCheck,
        /// A key whose timestamp is older than the retention period is refused.
        ClaimKeyAge,
        /// Ended keys without a timestamp are kept forever.
        ClaimClosedKept,
        /// A recorded answer is returned only to the same call.
        ClaimFingerprint,
        /// An engine has at most one order in flight.
        OrderInFlight,
        /// A result is accepted only for the order in flight.
        OrderFence,
        /// An order is accepted only for the registered incarnation.
        OrderIncarnation,
        /// An incarnation that was replaced can't be registered again.
        TargetIncarnation,
        /// A leaving mark stays until the target has a new incarnation.
        TargetLeaving,
        /// The time of the state never decreases.
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

/// Returns whether a mechanism is enabled.
pub(crate) fn is_enabled(disabled: Option<StateMechanism>, mechanism: StateMechanism) -> bool {
    disabled != Some(mechanism)
}
