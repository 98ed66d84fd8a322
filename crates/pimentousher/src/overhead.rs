//! Measures the latency and CPU time that an entry adds to a short request on loopback. Not for:
//! experiments on policies (`usher_bench`).

use std::{fmt, io, net, sync, time};

use http_body_util::BodyExt as _;
use usher_entry::{EntryBuilder, EntryOptions, MemoryControl};
use usher_fake::{EngineOptions, FakeEngine};

use crate::cpu_time;

/// Thread-name prefix of the entry's runtime, by which its CPU time is measured.
const ENTRY_THREADS: &str = "entry-worker";

/// Time allowed for the entry to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Calls to each side before the measurement starts.
const WARM_UP_CALLS: usize = 200;

usher_types::value_type! {
    /// Size and kind of the measured load.
    pub struct OverheadOptions {
        /// Calls to each side in each round.
        pub calls: usize,
        /// Rounds, each of direct calls followed by routed ones.
        pub rounds: usize,
        /// Concurrent callers.
        pub callers: usize,
        /// Output tokens of a call.
        pub tokens: u64,
        /// Whether callers request a streamed answer.
        pub stream: bool,
    }
}

impl Default for OverheadOptions {
    fn default() -> Self {
        Self {
            calls: 2_000,
            rounds: 5,
            callers: 8,
            tokens: 16,
            stream: true,
        }
    }
}

usher_types::value_type! {
    /// Results of one side of the comparison, direct or routed.
    pub struct OverheadSide {
        /// Median duration of a call.
        pub p50: time::Duration,
        /// 99th percentile of the duration of a call.
        pub p99: time::Duration,
        /// Calls per second.
        pub rate: f64,
    }
}

usher_types::value_type! {
    /// Results of both sides, and the cost of the entry.
    pub struct OverheadReport {
        /// Calls sent directly to the fake engine.
        pub direct: OverheadSide,
        /// Calls sent through the entry.
        pub routed: OverheadSide,
        /// CPU time of the entry for each call.
        pub entry_time: time::Duration,
    }
}

impl OverheadReport {
    /// Returns the median of routed calls as a multiple of that of direct ones.
    pub fn p50_ratio(&self) -> f64 {
        self.routed.p50.as_secs_f64() / self.direct.p50.as_secs_f64()
    }

    /// Returns the 99th percentile of routed calls as a multiple of that of direct ones.
    pub fn p99_ratio(&self) -> f64 {
        self.routed.p99.as_secs_f64() / self.direct.p99.as_secs_f64()
    }

    /// Returns the rate of routed calls as a share of that of direct ones.
    pub fn rate_ratio(&self) -> f64 {
        self.routed.rate / self.direct.rate
    }

    /// Returns the calls per second that one core of an entry can handle.
    pub fn calls_per_core(&self) -> f64 {
        1.0 / self.entry_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for OverheadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, side) in [("direct", &self.direct), ("routed", &self.routed)] {
            writeln!(
                f,
                "{name}: p50 {:.0} us, p99 {:.0} us, {:.0} calls/s",
                side.p50.as_secs_f64() * 1e6,
                side.p99.as_secs_f64() * 1e6,
                side.rate
            )?;
        }
        write!(
            f,
            "routed/direct: p50 {:.2}, p99 {:.2}, rate {:.2}; entry: {:.0} us of a core per call, {:.0} calls/s per core",
            self.p50_ratio(),
            self.p99_ratio(),
            self.rate_ratio(),
            self.entry_time.as_secs_f64() * 1e6,
            self.calls_per_core()
        )
    }
}

type Client = hyper_util::client::legacy::Client<
    hyper_util::client::legacy::connect::HttpConnector,
    http_body_util::Full<bytes::Bytes>,
>;

/// Measures direct and routed calls in turn; blocks the thread and creates its own runtimes.
///
/// Engine, entry and callers run on separate threads, so that the CPU time of the entry can be
/// measured separately. Compare only ratios within one run: absolute times depend on the machine
/// and its other load.
///
/// # Errors
///
/// Fails if a part can't start or a call fails.
pub fn measure_overhead(options: &OverheadOptions) -> io::Result<OverheadReport> {
    let engines = runtime("engine-worker", 2)?;
    let entries = runtime(ENTRY_THREADS, 2)?;
    let callers = runtime("caller", 2)?;
    let (stop, signal) = usher_kernel::StopSource::new();
    let node = entries.block_on(async {
        let control = MemoryControl::new();
        let options = EntryOptions::new("entry-1", "south-a");
        EntryBuilder::new(options, control.link())
            .start(signal)
            .await
    })?;
    let engine = engines.block_on(async {
        let options = EngineOptions::new("engine-1")
            .with_entries(vec![node.address()])
            .with_announce_interval(time::Duration::from_millis(100))
            .without_delays();
        FakeEngine::start(options).await
    })?;
    let start = time::Instant::now();
    while node.status().targets == 0 || !node.status().ready {
        if start.elapsed() > READY_TIMEOUT {
            return Err(io::Error::other("the entry did not become ready"));
        }
        std::thread::sleep(time::Duration::from_millis(10));
    }
    let report = callers.block_on(compare(options, engine.address(), node.address()));
    engine.stop();
    stop.drain();
    stop.stop();
    for runtime in [callers, entries, engines] {
        runtime.shutdown_background();
    }
    report
}

fn runtime(name: &str, threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

async fn compare(
    options: &OverheadOptions,
    direct: net::SocketAddr,
    routed: net::SocketAddr,
) -> io::Result<OverheadReport> {
    let body = serde_json::json!({
        "model": "assist-1",
        "stream": options.stream,
        "max_tokens": options.tokens,
        "messages": [{ "role": "user", "content": "Which crew is nearest to site 14, and when?" }],
    });
    let body = bytes::Bytes::from(body.to_string());
    let mut sides = [SideTimes::default(), SideTimes::default()];
    let mut entry_time = time::Duration::ZERO;
    for address in [direct, routed] {
        run_calls(address, &body, WARM_UP_CALLS, options.callers).await?;
    }
    for _ in 0..options.rounds {
        for (side, address) in sides.iter_mut().zip([direct, routed]) {
            let before = cpu_time::of_threads(ENTRY_THREADS)?;
            let start = time::Instant::now();
            let times = run_calls(address, &body, options.calls, options.callers).await?;
            side.elapsed += start.elapsed();
            side.times.extend(times);
            let after = cpu_time::of_threads(ENTRY_THREADS)?;
            if address == routed {
                entry_time += after.saturating_sub(before);
            }
        }
    }
    let [direct, routed] = sides;
    let calls = u32::try_from(routed.times.len()).unwrap_or(u32::MAX).max(1);
    Ok(OverheadReport {
        direct: direct.summary(),
        routed: routed.summary(),
        entry_time: entry_time / calls,
    })
}

#[derive(Default)]
struct SideTimes {
    times: Vec<time::Duration>,
    elapsed: time::Duration,
}

impl SideTimes {
    fn summary(mut self) -> OverheadSide {
        self.times.sort();
        let count = self.times.len();
        let at = |share: f64| {
            let index = ((count as f64 * share) as usize).min(count.saturating_sub(1));
            self.times.get(index).copied().unwrap_or_default()
        };
        OverheadSide {
            p50: at(0.5),
            p99: at(0.99),
            rate: count as f64 / self.elapsed.as_secs_f64(),
        }
    }
}

/// Sends calls from several concurrent callers, each with its own connection.
async fn run_calls(
    address: net::SocketAddr,
    body: &bytes::Bytes,
    calls: usize,
    callers: usize,
) -> io::Result<Vec<time::Duration>> {
    let callers = callers.max(1);
    let remaining = sync::Arc::new(sync::atomic::AtomicUsize::new(calls));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(run_caller(address, body.clone(), remaining.clone()));
    }
    let mut times = Vec::with_capacity(calls);
    while let Some(joined) = tasks.join_next().await {
        times.extend(joined.map_err(io::Error::other)??);
    }
    Ok(times)
}

async fn run_caller(
    address: net::SocketAddr,
    body: bytes::Bytes,
    remaining: sync::Arc<sync::atomic::AtomicUsize>,
) -> io::Result<Vec<time::Duration>> {
    let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client =
        hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .build(connector);
    let mut times = Vec::new();
    let decrement = |remaining: usize| remaining.checked_sub(1);
    let order = sync::atomic::Ordering::SeqCst;
    while remaining.fetch_update(order, order, decrement).is_ok() {
        let start = time::Instant::now();
        call(&client, address, body.clone()).await?;
        times.push(start.elapsed());
    }
    Ok(times)
}

async fn call(client: &Client, address: net::SocketAddr, body: bytes::Bytes) -> io::Result<()> {
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(http_body_util::Full::new(body))
        .map_err(io::Error::other)?;
    let response = client.request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    if status != http::StatusCode::OK {
        let body = body.to_bytes();
        let text = String::from_utf8_lossy(&body);
        return Err(io::Error::other(format!(
            "call was answered {status}: {text}"
        )));
    }
    Ok(())
}
