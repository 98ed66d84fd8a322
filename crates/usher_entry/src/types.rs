//! The types of an entry's exchangeable components, bundled in one type parameter.
//!
//! Not for: their values.

use std::marker;

use crate::{link, outcome, policy};

/// The component types of an entry; all calls to them are statically dispatched.
pub trait EntryTypes: Sized + 'static {
    /// Control connection.
    type Link: link::ControlLink;
    /// Clock.
    type Clock: usher_types::ClockSource;
    /// Sink for outcomes.
    type Outcomes: outcome::OutcomeSink;
    /// Decision policy.
    type Policy: policy::DecisionPolicy;
}

/// Bundles four component types into the types of an entry.
pub struct TypeSet<L, C, O, D>(marker::PhantomData<TypeTuple<L, C, O, D>>);

// A function type, so that the set is `Send` and `Sync` for any component types.
type TypeTuple<L, C, O, D> = fn() -> (L, C, O, D);

impl<L, C, O, D> EntryTypes for TypeSet<L, C, O, D>
where
    L: link::ControlLink,
    C: usher_types::ClockSource,
    O: outcome::OutcomeSink,
    D: policy::DecisionPolicy,
{
    type Link = L;
    type Clock = C;
    type Outcomes = O;
    type Policy = D;
}
