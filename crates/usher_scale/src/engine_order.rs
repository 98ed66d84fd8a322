//! An order of engines and its answer. Not for: the choice of the number.

usher_types::value_type! {
    /// How engines may be taken away.
    pub enum EngineKind {
        /// Stays until it is given up.
        Lasting,
        /// May be taken away at any time, together with all others of its kind and domain.
        Reclaimable,
    }
}

usher_types::value_type! {
    /// An order of an absolute number of engines; repeating it changes nothing.
    #[derive(Eq)]
    pub struct EngineOrder {
        /// Failure domain of the engines.
        pub domain: usher_types::DomainName,
        /// Their kind.
        pub kind: EngineKind,
        /// Their number.
        pub engines: u32,
    }
}

usher_types::value_type! {
    /// The answer to an order.
    pub enum OrderAnswer {
        /// The number is in force.
        Accepted,
        /// There are no engines of the kind in the domain at the moment.
        Unavailable,
        /// The order may or may not be in force.
        Unknown,
    }
}
