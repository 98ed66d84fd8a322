//! A running fake engine. Not for: its HTTP API.

use std::{collections, io, net, sync, time};

use tokio::sync as tokio_sync;

use crate::{announce, batch, engine_http, engine_options, faults, order, server};

/// Interval at which a stalled or idle engine checks for work.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Maximum lag behind the step schedule that an engine makes up for; any lag above it is ignored.
const MAX_STEP_LAG: time::Duration = time::Duration::from_millis(50);

/// State shared by the HTTP handlers and the background tasks.
pub(crate) struct EngineCore {
    pub(crate) options: engine_options::EngineOptions,
    pub(crate) batch: sync::Mutex<batch::BatchQueue>,
    pub(crate) orders: sync::Mutex<order::OrderTracker>,
    pub(crate) faults: faults::EngineFaults,
    pub(crate) handle: server::ServerHandle,
    pub(crate) work: tokio_sync::Notify,
    pub(crate) requests: sync::Mutex<Vec<String>>,
    /// Number of HTTP requests of any kind.
    pub(crate) http_requests: sync::atomic::AtomicU64,
    leaving: sync::atomic::AtomicBool,
    loads: sync::Mutex<collections::VecDeque<(time::Instant, announce::LoadSnapshot)>>,
}

/// Locks a mutex and ignores poisoning.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Returns the system time in ms since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    let since = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl EngineCore {
    pub(crate) fn is_leaving(&self) -> bool {
        let leaving = self.leaving.load(sync::atomic::Ordering::SeqCst);
        leaving || lock(&self.orders).is_draining()
    }

    fn load_now(&self) -> announce::LoadSnapshot {
        let batch = lock(&self.batch);
        announce::LoadSnapshot {
            at_ms: unix_time_ms(),
            running: batch.running(),
            waiting: batch.waiting(),
            prefill_tokens_waiting: batch.prefill_waiting(),
            kv_pieces_used: batch.pieces_used(),
        }
    }

    /// Returns the newest load report that is at least as old as the load lag.
    pub(crate) fn load(&self) -> announce::LoadSnapshot {
        let lag = self.options.scaled(self.options.load_lag);
        if lag.is_zero() {
            return self.load_now();
        }
        let now = time::Instant::now();
        let loads = lock(&self.loads);
        let old = loads.iter().rev().find(|(at, _)| now - *at >= lag);
        old.map(|(_, load)| *load).unwrap_or_default()
    }

    fn announcement(&self, address: net::SocketAddr) -> announce::Announcement {
        let shape = lock(&self.orders).shape().clone();
        announce::Announcement {
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
            address,
            kind: usher_types::TargetKind::Engine,
            service: self.options.service.clone(),
            model: Some(shape.model),
            adapters: shape.adapters,
            version: Some(shape.version),
            role: Some(shape.role),
            region: self.options.region.clone(),
            domain: self.options.domain.clone(),
            kv_pieces: self.options.kv_pieces.get(),
            fenced: self.options.fenced,
            leaving: self.is_leaving(),
            load: self.load(),
        }
    }
}

/// A simulated engine that serves HTTP on loopback.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use usher_fake::{EngineOptions, FakeEngine};
/// let engine = FakeEngine::start(EngineOptions::new("engine-1")).await.unwrap();
/// engine.faults().slow_by(5.0);
/// assert_ne!(engine.address().port(), 0);
/// # });
/// ```
#[derive(Clone)]
pub struct FakeEngine {
    core: sync::Arc<EngineCore>,
    address: net::SocketAddr,
}

impl FakeEngine {
    /// Starts the engine in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the listen address can't be bound.
    pub async fn start(options: engine_options::EngineOptions) -> io::Result<Self> {
        let orders = order::OrderTracker::new(options.fenced, options.shape.clone());
        let core = sync::Arc::new(EngineCore {
            batch: sync::Mutex::new(batch::BatchQueue::new(options.clone())),
            orders: sync::Mutex::new(orders),
            faults: faults::EngineFaults::default(),
            handle: server::ServerHandle::new(),
            work: tokio_sync::Notify::new(),
            requests: sync::Mutex::default(),
            http_requests: sync::atomic::AtomicU64::new(0),
            leaving: sync::atomic::AtomicBool::new(false),
            loads: sync::Mutex::default(),
            options,
        });
        let make_router = |_| engine_http::router(core.clone());
        let address = server::start(core.options.bind, make_router, core.handle.clone()).await?;
        tokio::spawn(run_steps(core.clone()));
        tokio::spawn(run_load_sampler(core.clone()));
        let announcer = core.clone();
        tokio::spawn(announce::run_announcer(
            core.options.entries.clone(),
            core.options.announce_interval,
            core.handle.clone(),
            move || announcer.announcement(address),
        ));
        Ok(Self { core, address })
    }

    /// Returns the listen address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the injected faults, which can be changed at any time.
    pub fn faults(&self) -> &faults::EngineFaults {
        &self.core.faults
    }

    /// Returns the number of HTTP requests that it has answered, of any kind.
    pub fn http_requests(&self) -> u64 {
        let count = &self.core.http_requests;
        count.load(sync::atomic::Ordering::SeqCst)
    }

    /// Simulates a crash: resets all connections and stops listening.
    pub fn crash(&self) {
        self.core.handle.crash();
    }

    /// Announces that it is leaving, lets the running streams finish, and stops.
    pub async fn leave(&self) {
        self.begin_leaving();
        while !lock(&self.core.batch).is_idle() && !self.core.handle.is_ended() {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        // The last bytes of the streams may not have been written to the connections yet.
        tokio::time::sleep(self.core.options.announce_interval).await;
        self.core.handle.stop();
    }

    /// Announces from now on that it is leaving, and continues to serve.
    pub fn begin_leaving(&self) {
        self.core
            .leaving
            .store(true, sync::atomic::Ordering::SeqCst);
    }

    /// Closes all connections and stops listening.
    pub fn stop(&self) {
        self.core.handle.stop();
    }

    /// Waits until the engine was stopped or has crashed.
    pub async fn ended(&self) {
        self.core.handle.ended().await;
    }

    /// Returns the ids of the accepted requests in order of arrival.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.core.requests).clone()
    }

    /// Returns the number of generated tokens.
    pub fn generated_tokens(&self) -> u64 {
        lock(&self.core.batch).generated
    }

    /// Returns the number of streams that were cancelled or whose client disconnected.
    pub fn cancelled_streams(&self) -> u64 {
        lock(&self.core.batch).cancelled
    }

    /// Returns the number of running and queued streams.
    pub fn open_streams(&self) -> usize {
        let batch = lock(&self.core.batch);
        (batch.running() + batch.waiting()) as usize
    }

    /// Returns the accepted orders and the state that results from them.
    pub fn order_state(&self) -> order::OrderState {
        lock(&self.core.orders).state()
    }
}

/// Runs the batch step by step. Sleeps for the duration of each step and catches up after short
/// delays.
async fn run_steps(core: sync::Arc<EngineCore>) {
    let mut due = time::Instant::now();
    while !core.handle.is_ended() {
        let faults = core.faults.current();
        let role = lock(&core.orders).shape().role;
        let now = time::Instant::now();
        let planned = lock(&core.batch).plan(&faults, role, now);
        let Some(step) = planned else {
            // Also wakes up without a notification, to detect abandoned streams and cleared faults.
            let _ = tokio::time::timeout(IDLE_POLL_INTERVAL, core.work.notified()).await;
            due = time::Instant::now();
            continue;
        };
        due = due.max(now - MAX_STEP_LAG.min(step)) + step;
        if due > now {
            tokio::select! {
                () = core.handle.ended() => return,
                () = tokio::time::sleep_until(due.into()) => {}
            }
        }
        let outcome = lock(&core.batch).finish_step(&faults, time::Instant::now());
        if outcome == batch::StepOutcome::Crashed {
            core.handle.crash();
        }
        // With a step time of zero, the loop would otherwise never let the connections write.
        tokio::task::yield_now().await;
    }
}

async fn run_load_sampler(core: sync::Arc<EngineCore>) {
    let lag = core.options.scaled(core.options.load_lag);
    if lag.is_zero() {
        return;
    }
    let interval = (lag / 4).max(time::Duration::from_millis(5));
    while !core.handle.is_ended() {
        let now = time::Instant::now();
        let load = core.load_now();
        {
            let mut loads = lock(&core.loads);
            loads.push_back((now, load));
            loads.retain(|(at, _)| now - *at <= lag * 3);
        }
        tokio::time::sleep(interval).await;
    }
}
