//! The exchangeable parts of an entry, as types. Not for: their values.

use std::marker;

use crate::{link, outcome, policy};

/// Names the types that an entry is put together from; all calls are static.
pub trait EntryTypes: Sized + 'static {
    /// Connection to control.
    type Link: link::ControlLink;
    /// Clock.
    type Clock: usher_types::ClockSource;
    /// Receiver of outcomes.
    type Outcomes: outcome::OutcomeSink;
    /// Decisions.
    type Policy: policy::DecisionPolicy;
}

/// Joins four types to the parts of an entry.
pub struct TypeSet<L, C, O, D>(marker::PhantomData<TypeTuple<L, C, O, D>>);

// A function type, so that the set is Send and Sync whatever the parts are.
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
