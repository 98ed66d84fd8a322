//! More callers come at once, with bodies as large as the configuration allows. The gateway must stay
//! within the memory of its machine.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Ending, RequestKind};
use crate::engine::{Engine, Runs, Traits};
use crate::platform::{Platform, CONTACT, DOMAINS, SIGKILL};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-callout","host":"desk.example","pathPrefix":"/callout/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":400,"priority":2,"service":"rounds","maxAttempts":1}],"services":[{"name":"rounds","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const GATEWAYS: usize = 2;

/// Memory of a gateway's machine, in bytes: `memoryMb` of the site's front machines.
const MEMORY: u64 = 260 * 1_024 * 1_024;

/// Size of a body, in bytes: `maxBodyBytes` of the configuration.
const BODY: usize = 4_194_304;

/// Clients of a gateway at usual times, and their number in a burst of x = 1.9.
const CLIENTS: usize = 28;
const BURST_CLIENTS: usize = 53;

/// Length of the traffic before the burst, and of the burst.
const BEFORE: Duration = Duration::from_secs(12);
const BURST: Duration = Duration::from_secs(10);

/// Requests that may be cut off.
const ALLOWED: usize = 3;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let platform = Platform::new(record.clone(), GATEWAYS, 5);
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
    for domain in 0..DOMAINS.len() {
        let traits = Traits {
            name: format!("i-{domain}"),
            service: "rounds",
            stage: None,
            slots: 6,
            domain,
            work_ms: (30, 90),
        };
        Engine::start(platform, 101 + domain as u8, traits, &runs);
    }
    if !platform.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the gateways are not ready".to_owned());
    }
    let log = Arc::new(Mutex::new(Vec::new()));
    let start_clients = |from: usize, to: usize| {
        for number in from * GATEWAYS..to * GATEWAYS {
            let kind = RequestKind {
                path: "/callout/2f",
                deadline: Duration::from_secs(6),
                headers: Vec::new(),
                body: BODY,
            };
            client::run_client(platform, number, kind, Duration::from_millis(50), &log);
        }
    };
    start_clients(0, CLIENTS);
    let begin = Instant::now();
    let mut is_burst = false;
    let mut most = 0;
    let mut kill = None;
    while begin.elapsed() < BEFORE + BURST && kill.is_none() {
        if trouble && !is_burst && begin.elapsed() >= BEFORE {
            platform.record.say(&format!(
                "burst; the most memory so far was {} MiB",
                most >> 20
            ));
            start_clients(CLIENTS, BURST_CLIENTS);
            is_burst = true;
        }
        // The platform kills a process that uses more memory than its machine has.
        for (gateway, machine) in platform.gateways.iter().enumerate() {
            let memory = platform.memory(machine);
            most = most.max(memory);
            if memory > MEMORY && kill.is_none() {
                platform.signal(machine, SIGKILL);
                kill = Some((gateway, platform.record.now()));
                let text = format!("{} uses {} MiB and is killed", machine.name, memory >> 20);
                platform.record.say(&text);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    platform.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let log = log.lock().unwrap().clone();
    let served = log
        .iter()
        .filter(|sent| sent.ending == Ending::Answer(200))
        .count();
    platform.record.say(&format!(
        "{} requests, {served} served; the most memory was {} MiB",
        log.len(),
        most >> 20
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let Some((gateway, at)) = kill else {
        return Verdict::Held;
    };
    // The gateway and the registrars have run without a disturbance since their start.
    assert!(begin.elapsed() > CONTACT);
    let runs = runs.lock().unwrap();
    let cut = log.iter().filter(|sent| {
        sent.gateway == gateway
            && sent.ending == Ending::Cut
            && sent.is_kept
            && sent.at < at
            && runs.contains_key(&sent.id)
    });
    let cut = cut.count();
    platform.record.say(&format!(
        "{cut} requests of kept connections had been passed on to sound engines and got no answer; \
         {ALLOWED} are allowed"
    ));
    if cut > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
