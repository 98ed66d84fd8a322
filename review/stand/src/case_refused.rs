//! A model engine runs a request, answers 500, and goes on with bytes that don't end. The gateway must
//! not promise that the request has not run.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Ending, RequestKind};
use crate::engine::{Engine, Runs, Traits};
use crate::platform::{Platform, DOMAINS};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-block","host":"desk.example","pathPrefix":"/block/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1000,"priority":2,"service":"assist","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":300}],"services":[{"name":"assist","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":446876,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":8,"most":12,"kvHoldS":5.0,"roleSwitchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Engines of a domain; one of them generates, the others read prompts.
const ENGINES_PER_DOMAIN: usize = 4;

/// Share of the requests, in percent, that the faulty engine fails.
const FAILED_PERCENT: u64 = 40;

/// Length of the traffic before the fault, and with it.
const BEFORE: Duration = Duration::from_secs(4);
const DURING: Duration = Duration::from_secs(6);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let platform = Platform::new(record.clone(), 3, 5);
    let verdict = run(&platform, trouble);
    platform.end();
    verdict
}

fn run(platform: &Arc<Platform>, trouble: bool) -> Verdict {
    platform.start_all();
    platform.run_checks();
    if !platform.put_config(CONFIG, Duration::from_secs(10)) {
        return Verdict::NotRun("the configuration is not acknowledged".to_owned());
    }
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for domain in 0..DOMAINS.len() {
        for number in 0..ENGINES_PER_DOMAIN {
            let traits = Traits {
                name: format!("i-{domain}{number}"),
                service: "assist",
                stage: Some(if number == 0 { "decode" } else { "prefill" }),
                slots: 64,
                domain,
                work_ms: (20, 20),
            };
            let host = 101 + engines.len() as u8;
            engines.push(Engine::start(platform, host, traits, &runs));
        }
    }
    if !platform.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the gateways are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let log = Arc::new(Mutex::new(Vec::new()));
    for number in 0..12 {
        let prefix = format!("5c1e{number:04x}:800,91bd{number:04x}:410,e440{number:04x}:250");
        let kind = RequestKind {
            path: "/block/2f",
            deadline: Duration::from_secs(6),
            headers: vec![
                ("Pimentousher-Model", "m".to_owned()),
                ("Pimentousher-Token-Counts", "1460,80".to_owned()),
                ("Pimentousher-Prompt-Prefix", prefix),
            ],
            body: 1_460,
        };
        client::run_client(platform, number, kind, Duration::from_millis(150), &log);
    }
    thread::sleep(BEFORE);
    if trouble {
        let faulty = &engines[0];
        platform
            .record
            .say(&format!("{} begins to fail", faulty.traits.name));
        faulty
            .endless_errors
            .store(FAILED_PERCENT, Ordering::Relaxed);
    }
    thread::sleep(DURING);
    engines[0].endless_errors.store(0, Ordering::Relaxed);
    // Longer than the deadline of a request.
    thread::sleep(Duration::from_secs(7));
    platform.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let log = log.lock().unwrap();
    let runs = runs.lock().unwrap();
    let mut endings = BTreeMap::new();
    let mut broken = 0;
    for sent in log.iter() {
        *endings.entry(format!("{:?}", sent.ending)).or_insert(0) += 1;
        let promised = matches!(sent.ending, Ending::Answer(408 | 421 | 429 | 503));
        if let Some(run) = runs.get(&sent.id).filter(|_| promised) {
            broken += 1;
            platform.record.say(&format!(
                "{} ran at {} at {:.3} s, and was answered {:?} at {:.3} s: 'not run'",
                sent.id,
                run[0].engine,
                run[0].at.as_secs_f64(),
                sent.ending,
                sent.ended.as_secs_f64(),
            ));
        }
    }
    platform
        .record
        .say(&format!("{} requests: {endings:?}", log.len()));
    if !log.iter().any(|sent| sent.ending == Ending::Answer(200)) {
        return Verdict::NotRun("no request was served".to_owned());
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
