//! Experiment: one limit enforced by many daemons, with capacity leases or with a sliding-window
//! counter whose state the daemons exchange every few seconds. Not for: fairness between firms.
//!
//! The counter follows the algorithm that the README of the Caddy HTTP Rate Limit Module
//! describes: a ring buffer for each key and window, with state that is written and read every few
//! seconds, approximate and eventually consistent.

use std::{collections, time};

use rand::{Rng as _, SeedableRng as _};
use usher_policy::{divide_capacity, CapacityLease, ShareGrant};

use crate::{experiments::common, limits, options, report};

/// Limit in calls per second, over all daemons together.
const LIMIT: f64 = 400.0;
/// Window of the counter and of the exact limit that it is compared with, in seconds.
const WINDOW: f64 = 10.0;
/// Duration of the load, and the demand relative to the limit in consecutive periods of ten
/// seconds.
const SECONDS: f64 = 80.0;
const DEMAND: [f64; 4] = [0.7, 1.5, 0.9, 2.0];
const DEMAND_PERIOD: f64 = 10.0;
/// Interval at which the load balancer's weights of the daemons change, in seconds.
const WEIGHT_PERIOD: f64 = 7.0;
/// Numbers of daemons, from that of one cooperative up to the target size.
const DAEMONS: [usize; 5] = [8, 21, 64, 128, 340];
/// Interval of the heartbeat that carries the demand, delay of the grant, both in seconds, validity
/// of a grant, and the bytes of demand and grant with framing.
const HEARTBEAT: f64 = 0.5;
const GRANT_DELAY: f64 = 0.1;
const GRANT_VALID: time::Duration = time::Duration::from_secs(3);
const LEASE_BYTES: f64 = 28.0 + 36.0;
/// Interval in seconds at which the counter's state is exchanged, and the bytes of one daemon's
/// state per key.
const EXCHANGE: f64 = 4.0;
const STATE_BYTES: f64 = 40.0;
/// Length of the periods over which accepted calls are compared, in seconds.
const COMPARE_PERIOD: f64 = 2.0;
/// Seconds of the limit that a bucket holds, as in the lease.
const BURST: f64 = 0.5;

/// Time and daemon of one call.
type Arrival = (f64, usize);

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("limits", options);
    let mut report = report::ExperimentReport::default();
    for daemons in DAEMONS {
        let arrivals = arrivals(daemons, setup.seed, SECONDS * setup.scale);
        let lease = run_lease(daemons, &arrivals);
        let counter = run_counter(daemons, &arrivals);
        let lease_bytes = LEASE_BYTES / HEARTBEAT;
        // Each daemon writes its own state and reads that of all daemons.
        let counter_bytes = STATE_BYTES * (daemons as f64 + 1.0) / EXCHANGE;
        let lease = compare_accepted(&arrivals, &lease, central_bucket(daemons));
        let counter = compare_accepted(&arrivals, &counter, central_window());
        for (method, (overshoot, wrongful), bytes) in [
            ("lease", lease, lease_bytes),
            ("sliding window", counter, counter_bytes),
        ] {
            report.limits.push(limits::LimitRow {
                method: method.to_owned(),
                daemons,
                overshoot,
                wrongful,
                bytes_per_second: bytes,
            });
        }
    }
    report
}

fn arrivals(daemons: usize, seed: u64, seconds: f64) -> Vec<Arrival> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut weights = new_weights(daemons, &mut random);
    let mut next_change = WEIGHT_PERIOD;
    let mut at = 0.0;
    let mut calls = Vec::new();
    while at < seconds {
        let period = (at / DEMAND_PERIOD) as usize % DEMAND.len();
        let rate = DEMAND[period] * LIMIT;
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= next_change {
            weights = new_weights(daemons, &mut random);
            next_change += WEIGHT_PERIOD;
        }
        calls.push((at, pick(&weights, &mut random)));
    }
    calls
}

/// Returns cumulative weights; a few daemons get several times the mean.
fn new_weights(daemons: usize, random: &mut rand_chacha::ChaCha8Rng) -> Vec<f64> {
    let mut sum = 0.0;
    let draws = (0..daemons).map(|_| {
        sum += 0.2 - (1.0 - random.random::<f64>()).ln();
        sum
    });
    draws.collect()
}

fn pick(weights: &[f64], random: &mut rand_chacha::ChaCha8Rng) -> usize {
    let total = weights.last().copied().unwrap_or(0.0);
    let draw = random.random::<f64>() * total;
    weights
        .partition_point(|weight| *weight < draw)
        .min(weights.len().saturating_sub(1))
}

fn run_lease(daemons: usize, arrivals: &[Arrival]) -> Vec<bool> {
    let base = time::Instant::now();
    let instant = |at: f64| base + time::Duration::from_secs_f64(at);
    let mut leases = vec![CapacityLease::new(); daemons];
    let grant = |rates: &[f64], leases: &mut [CapacityLease], at: f64| {
        for (lease, rate) in leases.iter_mut().zip(rates) {
            let until = instant(at) + GRANT_VALID;
            lease.on_grant(ShareGrant { rate: *rate, until }, instant(at));
        }
    };
    let equal = vec![LIMIT / daemons as f64; daemons];
    grant(&equal, &mut leases, 0.0);
    let mut pending: collections::VecDeque<(f64, Vec<f64>)> = collections::VecDeque::new();
    let mut heartbeat = HEARTBEAT;
    let mut accepted = Vec::with_capacity(arrivals.len());
    for &(at, daemon) in arrivals {
        while heartbeat <= at {
            let now = instant(heartbeat);
            let demands = leases.iter_mut().map(|lease| lease.demand(now));
            let rates = divide_capacity(LIMIT, &demands.collect::<Vec<_>>());
            pending.push_back((heartbeat + GRANT_DELAY, rates));
            heartbeat += HEARTBEAT;
        }
        while pending.front().is_some_and(|(due, _)| *due <= at) {
            if let Some((due, rates)) = pending.pop_front() {
                grant(&rates, &mut leases, due);
            }
        }
        let now = instant(at);
        leases[daemon].on_demand(1.0, now);
        accepted.push(leases[daemon].try_take(1.0, now));
    }
    accepted
}

fn run_counter(daemons: usize, arrivals: &[Arrival]) -> Vec<bool> {
    // Ring buffers with the times of accepted calls, and the counts last written and read.
    let mut rings: Vec<collections::VecDeque<f64>> = vec![collections::VecDeque::new(); daemons];
    let mut written = vec![0_usize; daemons];
    let mut read = vec![0_usize; daemons];
    let mut next = (0..daemons)
        .map(|daemon| EXCHANGE * daemon as f64 / daemons as f64)
        .collect::<Vec<_>>();
    let allowed = (LIMIT * WINDOW) as usize;
    let mut accepted = Vec::with_capacity(arrivals.len());
    let mut exchange = 0.0;
    for &(at, daemon) in arrivals {
        // The daemons exchange one after the other; a step of 50 ms is much shorter than the
        // interval.
        while exchange <= at {
            for other in 0..daemons {
                if next[other] <= exchange {
                    trim(&mut rings[other], exchange);
                    written[other] = rings[other].len();
                    read[other] = written.iter().sum::<usize>() - written[other];
                    next[other] += EXCHANGE;
                }
            }
            exchange += 0.05;
        }
        trim(&mut rings[daemon], at);
        let accept = rings[daemon].len() + read[daemon] < allowed;
        if accept {
            rings[daemon].push_back(at);
        }
        accepted.push(accept);
    }
    accepted
}

fn trim(ring: &mut collections::VecDeque<f64>, now: f64) {
    while ring.front().is_some_and(|at| *at < now - WINDOW) {
        ring.pop_front();
    }
}

/// Returns the calls accepted in excess of, and short of, those that the same algorithm accepts
/// with exact knowledge of all daemons, as shares of the latter. Both are compared over short
/// periods, because it does not matter which individual call is refused.
fn compare_accepted<A>(arrivals: &[Arrival], accepted: &[bool], mut admits: A) -> (f64, f64)
where
    A: FnMut(f64) -> bool,
{
    let mut periods: collections::BTreeMap<u64, (f64, f64)> = collections::BTreeMap::new();
    for (&(at, _), accept) in arrivals.iter().zip(accepted) {
        let period = periods.entry((at / COMPARE_PERIOD) as u64).or_default();
        period.0 += f64::from(u8::from(*accept));
        period.1 += f64::from(u8::from(admits(at)));
    }
    let expected: f64 = periods.values().map(|(_, exact)| exact).sum();
    let excess = periods.values().map(|(got, exact)| (got - exact).max(0.0));
    let shortfall = periods.values().map(|(got, exact)| (exact - got).max(0.0));
    (
        excess.sum::<f64>() / expected.max(1.0),
        shortfall.sum::<f64>() / expected.max(1.0),
    )
}

/// Returns one bucket for all daemons, which holds `BURST` seconds of the limit, but at least one
/// call per daemon.
fn central_bucket(daemons: usize) -> impl FnMut(f64) -> bool {
    let depth = (LIMIT * BURST).max(daemons as f64);
    let (mut tokens, mut filled) = (depth, 0.0);
    move |at| {
        tokens = f64::min(tokens + LIMIT * (at - filled), depth);
        filled = at;
        let has_room = tokens >= 1.0;
        tokens -= f64::from(u8::from(has_room));
        has_room
    }
}

/// Returns one window for all daemons.
fn central_window() -> impl FnMut(f64) -> bool {
    let mut window: collections::VecDeque<f64> = collections::VecDeque::new();
    move |at| {
        trim(&mut window, at);
        let has_room = (window.len() as f64) < LIMIT * WINDOW;
        if has_room {
            window.push_back(at);
        }
        has_room
    }
}
