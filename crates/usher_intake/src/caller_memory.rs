//! The memory account of a listening port, shared by its connections. Not for: the decisions.

use std::{collections, sync, sync::atomic, time};

use futures_util::task;
use tokio::sync::{watch, Notify};
use usher_memory::{
    ChargeDecision, HeadShape, HolderId, HolderPhase, MemoryAccount, OpenDecision, PhaseCost,
};

/// Shortest time between two log lines on refusals of one port.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Bytes of a stream that are handed over to be written before more of it is read.
const MAX_UNWRITTEN_BYTES: usize = 16 * 1_024;

usher_types::value_type! {
    /// The reason for which a connection or a request is refused.
    pub enum EndReason {
        /// As many connections are open as may be.
        Connections,
        /// There is no memory for a head.
        Head,
        /// There is no memory for a body.
        Body,
        /// There is no memory to run a call, or for its answer.
        Answer,
        /// The connection ends for another one.
        Ended,
        /// A head took too long.
        HeadTimeout,
        /// The caller took no byte of an answer for too long.
        WriteTimeout,
    }
}

impl EndReason {
    /// Returns the name of the reason in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Head => "head-memory",
            Self::Body => "body-memory",
            Self::Answer => "answer-memory",
            Self::Ended => "ended-for-others",
            Self::HeadTimeout => "head-timeout",
            Self::WriteTimeout => "write-timeout",
        }
    }
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    /// Notified when a connection gives memory back.
    released: Notify,
    port: &'static str,
}

#[derive(Debug)]
struct State {
    account: MemoryAccount,
    /// Tells connections to end.
    ends: collections::HashMap<HolderId, watch::Sender<bool>>,
    refusals: collections::BTreeMap<EndReason, u64>,
    logged: Option<time::Instant>,
    /// Refusals since the last log line.
    unlogged: u64,
}

/// The memory account of a listening port; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallerMemory(sync::Arc<Shared>);

/// The part of the account that belongs to one connection; given back when the last clone is
/// dropped.
#[derive(Clone, Debug)]
pub struct ConnectionMemory(sync::Arc<Connection>);

#[derive(Debug)]
struct Connection {
    memory: CallerMemory,
    id: HolderId,
    phase: sync::Mutex<HolderPhase>,
    end: watch::Receiver<bool>,
    /// Set from the end of an answer's body until its last byte is written.
    unwritten: atomic::AtomicBool,
    /// Notified when an answer is written.
    written: Notify,
    /// Set when the read buffer has grown.
    is_grown: atomic::AtomicBool,
    /// Bytes that were handed over since all that was handed over was written.
    handed_over: atomic::AtomicUsize,
    /// The answer that waits until they are written.
    waiting_answer: task::AtomicWaker,
}

fn now() -> time::Instant {
    tokio::time::Instant::now().into_std()
}

impl CallerMemory {
    /// Makes an account with a budget; `port` names it in logs.
    pub fn new(port: &'static str, budget: usher_memory::MemoryBudget) -> Self {
        Self(sync::Arc::new(Shared {
            state: sync::Mutex::new(State {
                account: MemoryAccount::new(budget),
                ends: collections::HashMap::new(),
                refusals: collections::BTreeMap::new(),
                logged: None,
                unlogged: 0,
            }),
            released: Notify::new(),
            port,
        }))
    }

    /// Opens a connection; `None` when it must be closed.
    pub fn open(&self) -> Option<ConnectionMemory> {
        let mut state = self.lock();
        match state.account.open(now()) {
            OpenDecision::Refused => {
                self.refuse(&mut state, EndReason::Connections);
                None
            }
            OpenDecision::Opened(id, ended) => {
                if let Some(ended) = ended {
                    self.refuse(&mut state, EndReason::Connections);
                    state.tell_to_end(ended);
                }
                let (sender, end) = watch::channel(false);
                state.ends.insert(id, sender);
                drop(state);
                Some(ConnectionMemory(sync::Arc::new(Connection {
                    memory: self.clone(),
                    id,
                    phase: sync::Mutex::new(HolderPhase::Silent),
                    end,
                    unwritten: atomic::AtomicBool::new(false),
                    written: Notify::new(),
                    is_grown: atomic::AtomicBool::new(false),
                    handed_over: atomic::AtomicUsize::new(0),
                    waiting_answer: task::AtomicWaker::new(),
                })))
            }
        }
    }

    /// Returns the budget in bytes.
    pub fn budget_bytes(&self) -> usize {
        self.lock().account.budget().bytes
    }

    /// Returns the most bytes that were charged at a time.
    pub fn peak_bytes(&self) -> usize {
        self.lock().account.peak()
    }

    /// Returns the connections and bytes of each phase.
    pub fn by_phase(&self) -> collections::BTreeMap<&'static str, (usize, usize)> {
        self.lock().account.by_phase()
    }

    /// Returns the number of refusals for each reason.
    pub fn refusals(&self) -> collections::BTreeMap<EndReason, u64> {
        self.lock().refusals.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.0.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a refusal, and logs at most one line in each interval.
    fn refuse(&self, state: &mut State, reason: EndReason) {
        *state.refusals.entry(reason).or_default() += 1;
        state.unlogged += 1;
        let now = now();
        let is_due = |logged| now.saturating_duration_since(logged) >= LOG_INTERVAL;
        if state.logged.is_none_or(is_due) {
            state.logged = Some(now);
            tracing::warn!(
                port = self.0.port,
                reason = reason.name(),
                refusals = std::mem::take(&mut state.unlogged),
                used_bytes = state.account.used(),
                budget_bytes = state.account.budget().bytes,
                "refused callers to stay within the memory and connections of this process"
            );
        }
    }
}

impl State {
    fn tell_to_end(&self, id: HolderId) {
        if let Some(end) = self.ends.get(&id) {
            end.send_replace(true);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.account.close(self.id);
        state.ends.remove(&self.id);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}

impl ConnectionMemory {
    /// Returns the current phase.
    pub fn phase(&self) -> HolderPhase {
        *self.lock_phase()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: HolderPhase) {
        if self.set_phase(phase) {
            let mut state = self.0.memory.lock();
            state.account.enter(self.0.id, phase, now());
        }
    }

    /// Sets the phase, of which the account is still to be told; returns whether it is another one.
    fn set_phase(&self, phase: HolderPhase) -> bool {
        std::mem::replace(&mut *self.lock_phase(), phase) != phase
    }

    /// Records that bytes of a head or body have arrived.
    pub fn receive(&self, bytes: usize) {
        let mut state = self.0.memory.lock();
        state.account.receive(self.0.id, bytes, now());
    }

    /// Charges the buffers of a connection whose first byte has arrived; returns whether there is
    /// room.
    pub async fn charge_connection(&self) -> bool {
        self.charge(EndReason::Head, |account, id| {
            account.charge_base(id, PhaseCost::idle(), now())
        })
        .await
    }

    /// Records that the read buffer of the connection has grown.
    pub(crate) fn record_growth(&self) {
        self.0.is_grown.store(true, atomic::Ordering::Relaxed);
    }

    fn is_grown(&self) -> bool {
        self.0.is_grown.load(atomic::Ordering::Relaxed)
    }

    /// Charges a head as far as it has arrived, without waiting; `received` are the bytes that have
    /// arrived since the last charge.
    pub(crate) fn try_charge_head(&self, shape: HeadShape, received: usize) -> ChargeDecision {
        let cost = PhaseCost::head(shape, self.is_grown());
        let (id, now) = (self.0.id, now());
        let begins = self.set_phase(HolderPhase::Head);
        let mut state = self.0.memory.lock();
        if begins {
            state.account.enter(id, HolderPhase::Head, now);
        }
        if received > 0 {
            state.account.receive(id, received, now);
        }
        let decision = state.account.charge_base(id, cost, now);
        match &decision {
            ChargeDecision::Granted => {}
            ChargeDecision::Wait(ends) => self.end_others(&mut state, ends),
            ChargeDecision::Refused => self.0.memory.refuse(&mut state, EndReason::Head),
        }
        decision
    }

    /// Begins a call whose head is complete, when the answer to the last one is written. Charges the
    /// head and what is about to be made of it; returns whether there is room.
    pub async fn begin_call(&self, shape: HeadShape, more: usize) -> bool {
        if self.0.unwritten.load(atomic::Ordering::Acquire) {
            self.wait_written().await;
        }
        let cost = PhaseCost::head(shape, self.is_grown()).saturating_add(more);
        let begins = self.set_phase(HolderPhase::Call);
        self.charge(EndReason::Head, |account, id| {
            let now = now();
            if begins {
                account.enter(id, HolderPhase::Call, now);
            }
            account.charge_base(id, cost, now)
        })
        .await
    }

    /// Waits until the last answer is written.
    async fn wait_written(&self) {
        loop {
            let written = self.0.written.notified();
            tokio::pin!(written);
            written.as_mut().enable();
            if !self.0.unwritten.load(atomic::Ordering::Acquire) {
                return;
            }
            written.await;
        }
    }

    /// Waits until so little is left to be written that a part of an answer may be handed over.
    pub(crate) fn poll_room(&self, context: &mut std::task::Context<'_>) -> std::task::Poll<()> {
        let is_full = || self.0.handed_over.load(atomic::Ordering::Acquire) >= MAX_UNWRITTEN_BYTES;
        if is_full() {
            self.0.waiting_answer.register(context.waker());
            if is_full() {
                return std::task::Poll::Pending;
            }
        }
        std::task::Poll::Ready(())
    }

    /// Records bytes of an answer that are handed over to be written.
    pub(crate) fn hand_over(&self, bytes: usize) {
        self.0
            .handed_over
            .fetch_add(bytes, atomic::Ordering::AcqRel);
    }

    /// Records that the whole answer was handed over to be written.
    pub(crate) fn end_answer(&self) {
        self.0.unwritten.store(true, atomic::Ordering::Release);
    }

    /// Records that all that was handed over is written. The connection is idle if that was a whole
    /// answer.
    pub(crate) fn record_written(&self) {
        if self.0.handed_over.swap(0, atomic::Ordering::AcqRel) > 0 {
            self.0.waiting_answer.wake();
        }
        if self.0.unwritten.load(atomic::Ordering::Acquire) {
            self.0.unwritten.store(false, atomic::Ordering::Release);
            self.end_call();
            self.0.written.notify_waiters();
        }
    }

    /// Records whether the caller takes no byte of its answer, or takes bytes again.
    pub(crate) fn set_unwritten(&self, unwritten: bool) {
        let mut state = self.0.memory.lock();
        state.account.set_unwritten(self.0.id, unwritten, now());
    }

    /// Returns whether the connection may be closed at once when it is told to end: it has no call, or
    /// its caller doesn't read the answer. Other calls are answered first.
    pub fn ends_at_once(&self) -> bool {
        match self.phase() {
            HolderPhase::Silent | HolderPhase::Head | HolderPhase::Idle => true,
            HolderPhase::Body => false,
            HolderPhase::Call => self.0.memory.lock().account.is_stalled(self.0.id, now()),
        }
    }

    /// Charges a body; returns whether there is room. Waits for room that others are giving back.
    pub async fn charge_body(&self, bytes: usize) -> bool {
        self.charge(EndReason::Body, |account, id| {
            account.charge_body(id, bytes, now())
        })
        .await
    }

    /// Charges what a call holds while it runs and until its answer is written; returns whether there
    /// is room.
    pub async fn charge_answer(&self, bytes: usize) -> bool {
        self.charge(EndReason::Answer, |account, id| {
            account.charge_answer(id, bytes, now())
        })
        .await
    }

    /// Enters the idle phase, and gives back what a call took: its head, its body and its answer.
    fn end_call(&self) {
        let base = if self.is_grown() {
            PhaseCost::idle_after_long()
        } else {
            PhaseCost::idle()
        };
        let (id, now) = (self.0.id, now());
        let begins = self.set_phase(HolderPhase::Idle);
        let mut state = self.0.memory.lock();
        state.account.end_call(id, base, now);
        if begins {
            state.account.enter(id, HolderPhase::Idle, now);
        }
        drop(state);
        self.0.memory.0.released.notify_waiters();
    }

    /// Gives back what a body took.
    pub(crate) fn release_body(&self) {
        let mut state = self.0.memory.lock();
        // A charge that falls is always granted.
        let _ = state.account.charge_body(self.0.id, 0, now());
        drop(state);
        self.0.memory.0.released.notify_waiters();
    }

    async fn charge(
        &self,
        reason: EndReason,
        charge: impl Fn(&mut MemoryAccount, HolderId) -> ChargeDecision,
    ) -> bool {
        loop {
            let released = self.0.memory.0.released.notified();
            tokio::pin!(released);
            {
                let mut state = self.0.memory.lock();
                match charge(&mut state.account, self.0.id) {
                    ChargeDecision::Granted => return true,
                    ChargeDecision::Refused => {
                        self.0.memory.refuse(&mut state, reason);
                        return false;
                    }
                    ChargeDecision::Wait(ends) => self.end_others(&mut state, &ends),
                }
                // Memory is given back under the same lock, and notified later.
                released.as_mut().enable();
            }
            tokio::select! {
                () = released => {}
                () = self.told_to_end() => return false,
            }
        }
    }

    fn end_others(&self, state: &mut State, ends: &[HolderId]) {
        for end in ends {
            self.0.memory.refuse(state, EndReason::Ended);
            state.tell_to_end(*end);
        }
    }

    /// Counts that the connection ends by itself.
    pub fn record_end(&self, reason: EndReason) {
        let mut state = self.0.memory.lock();
        self.0.memory.refuse(&mut state, reason);
    }

    /// Waits until the connection is told to end.
    pub async fn told_to_end(&self) {
        let mut end = self.0.end.clone();
        if end.wait_for(|end| *end).await.is_err() {
            // The sender lives as long as this value.
            std::future::pending::<()>().await;
        }
    }

    fn lock_phase(&self) -> sync::MutexGuard<'_, HolderPhase> {
        let phase = self.0.phase.lock();
        phase.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
