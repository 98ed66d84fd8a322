//! Whether this registrar holds the duties, and with which fencing number. Not for: sending calls.

use std::{sync, time};

use crate::{fleet, registrar::duty_lease};

/// Names the holder of a duty in a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyStamp {
    /// Node that holds the duty.
    pub holder: usher_types::NodeName,
    /// Fencing number, higher than that of every earlier holder.
    pub fence: usher_types::FenceNumber,
}

/// Tells whether this node is the holder of the duties; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct DutyHolder<C> {
    access: fleet::FleetAccess,
    lease: sync::Arc<sync::Mutex<duty_lease::DutyLease>>,
    clock: C,
}

impl<C> DutyHolder<C>
where
    C: usher_types::ClockSource,
{
    /// Makes a holder that waits for `wait` after each change of the leader. It must be asked
    /// regularly, because the wait begins with the first question in a term.
    pub(crate) fn new(access: fleet::FleetAccess, wait: time::Duration, clock: C) -> Self {
        let lease = duty_lease::DutyLease::new(wait);
        Self {
            access,
            lease: sync::Arc::new(sync::Mutex::new(lease)),
            clock,
        }
    }

    /// Returns the stamp for a call that is sent at once; `None` when this node must not act.
    pub(crate) fn may_act(&self) -> Option<DutyStamp> {
        let status = self.access.status();
        let is_leader = status.role == usher_replica::ReplicaRole::Leader;
        let lease_until = status.lease_until.filter(|_| is_leader);
        let mut lease = self
            .lease
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // The clock is read last: a pause before this line makes the lease expire.
        let may_act = lease.may_act(status.term, lease_until, self.clock.now());
        may_act.then(|| DutyStamp {
            holder: self.access.name(),
            fence: usher_types::FenceNumber::new(status.term.get()),
        })
    }

    /// Returns whether a call with this stamp may still be sent.
    pub(crate) fn still_holds(&self, stamp: &DutyStamp) -> bool {
        self.may_act().as_ref() == Some(stamp)
    }
}
