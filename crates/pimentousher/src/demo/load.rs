//! Runs the demo's mixed load with its faults and counts the outcomes. Not for: checking single
//! answers (`caller`).

use std::{collections, time};

use futures_util::StreamExt as _;

use crate::demo::{
    caller::{CallOutcome, CallPlan, CallResult, DemoCaller},
    count::{DemoCount, TimeFigures},
    fleet,
};

/// Requests of one run.
const REQUEST_COUNT: usize = 600;
/// Interval between requests; all of them take about 9 s.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(15);
/// Request number from which the demo looks for an engine with open streams, and crashes the first.
const CRASH_AT: usize = 200;
/// Request number before which an entry starts to shut down.
const STOP_AT: usize = 400;
/// Maximum number of failures that are described.
const MAX_EXAMPLES: usize = 5;

/// Returns request `number` of the load: short and long streams, completions and plain calls.
fn plan_request(number: usize) -> CallPlan {
    let words = |count: usize| {
        format!(
            "question {number}: {}",
            "which crew is free? ".repeat(count)
        )
    };
    match number % 10 {
        0 => CallPlan::Stream {
            prompt: words(600),
            tokens: 160,
        },
        1 | 4 | 7 => CallPlan::Stream {
            prompt: words(4),
            tokens: 32,
        },
        2 | 8 => CallPlan::Completion {
            prompt: words(8),
            tokens: 24,
        },
        3 => CallPlan::Read {
            path: format!("crews/{number}"),
        },
        digit => CallPlan::Write {
            key: format!("call-out-{number}"),
            body: format!("{{\"fault\":{number}}}"),
            drops: digit == 6,
        },
    }
}

/// Sends all requests, injects the faults and counts the outcomes.
pub(super) async fn run(fleet: &mut fleet::DemoFleet) -> DemoCount {
    let caller = DemoCaller::new(fleet.addresses());
    let plans: Vec<_> = (0..REQUEST_COUNT).map(plan_request).collect();
    let mut running = futures_util::stream::FuturesUnordered::new();
    let mut stopping = None;
    let mut crashed = false;
    for (number, plan) in plans.iter().enumerate() {
        // The crash must interrupt open streams to test resuming.
        if number >= CRASH_AT && !crashed {
            let mut busy = fleet
                .engines
                .iter()
                .filter(|engine| engine.open_streams() > 0);
            if let Some(engine) = busy.next() {
                engine.crash();
                crashed = true;
            }
        }
        if number == STOP_AT {
            let entry = fleet.entries.pop();
            stopping = entry.map(|entry| tokio::spawn(async move { entry.shut_down().await }));
        }
        let (caller, plan) = (caller.clone(), plan.clone());
        running.push(tokio::spawn(
            async move { caller.call(&plan, number).await },
        ));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut results = Vec::new();
    while let Some(result) = running.next().await {
        results.push(result.unwrap_or_else(|error| CallResult {
            outcome: CallOutcome::Lost(format!("the caller ended: {error}")),
            ..CallResult::default()
        }));
    }
    if let Some(stopping) = stopping {
        let _ = stopping.await;
    }
    let mut count = summarize(&results);
    count_doubled(fleet, &plans, &mut count);
    count.invariants_violated = usher_types::violation_count();
    count
}

fn summarize(results: &[CallResult]) -> DemoCount {
    let mut count = DemoCount {
        requests: results.len() as u64,
        ..DemoCount::default()
    };
    let mut first_tokens = Vec::new();
    let mut token_gaps = Vec::new();
    for result in results {
        match &result.outcome {
            CallOutcome::Complete => count.whole += 1,
            CallOutcome::Refused => count.refused += 1,
            CallOutcome::Lost(reason) => {
                count.lost += 1;
                add_example(&mut count, format!("lost: {reason}"));
            }
        }
        count.resent += u64::from(result.attempts > 1);
        first_tokens.extend(result.first_token);
        token_gaps.extend(&result.token_gaps);
    }
    count.first_token_ms = TimeFigures::from_durations(&mut first_tokens);
    count.inter_token_ms = TimeFigures::from_durations(&mut token_gaps);
    count
}

/// Counts the non-idempotent calls that took effect more than once on the services.
fn count_doubled(fleet: &fleet::DemoFleet, plans: &[CallPlan], count: &mut DemoCount) {
    let mut runs = collections::BTreeMap::new();
    for service in &fleet.services {
        for (key, run_count) in service.calls() {
            *runs.entry(key).or_insert(0) += run_count;
        }
    }
    for plan in plans {
        let CallPlan::Write { key, .. } = plan else {
            continue;
        };
        let run_count = runs.get(key).copied().unwrap_or_default();
        if run_count > 1 {
            count.doubled += 1;
            add_example(count, format!("doubled: {key} ran {run_count} times"));
        }
    }
}

fn add_example(count: &mut DemoCount, example: String) {
    if count.examples.len() < MAX_EXAMPLES {
        count.examples.push(example);
    }
}
