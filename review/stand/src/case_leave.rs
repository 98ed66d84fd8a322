//! An engine leaves without notice and is acknowledged; then all registrars and some gateways are
//! killed at the same moment. The engine must get no work when they are back.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, RequestKind};
use crate::engine::{Engine, Runs, Traits};
use crate::platform::{Machine, Platform, CONTACT, DOMAINS, DRAIN, SIGKILL};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-callout","host":"desk.example","pathPrefix":"/callout/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":400,"priority":2,"service":"rounds","maxAttempts":1}],"services":[{"name":"rounds","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const GATEWAYS: usize = 5;
const CLIENTS: usize = 16;

/// Gateways that are killed: a share of 0.6.
const KILLED_GATEWAYS: usize = 3;

/// Delay before the platform starts a process that was killed again; all are back within a second.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Time for which the engine that leaves goes on to serve; longer than `drainMs` by some seconds.
const SERVES_ON: Duration = Duration::from_secs(9);

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
    let mut engines = Vec::new();
    for domain in 0..DOMAINS.len() {
        let traits = Traits {
            name: format!("i-{domain}"),
            service: "rounds",
            stage: None,
            slots: 6,
            domain,
            work_ms: (30, 90),
        };
        let host = 101 + domain as u8;
        engines.push(Engine::start(platform, host, traits, &runs));
    }
    if !platform.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the gateways are not ready".to_owned());
    }
    let log = Arc::new(Mutex::new(Vec::new()));
    for number in 0..CLIENTS {
        let kind = RequestKind {
            path: "/callout/2f",
            deadline: Duration::from_secs(6),
            headers: Vec::new(),
            body: 600,
        };
        client::run_client(platform, number, kind, Duration::from_millis(20), &log);
    }
    thread::sleep(Duration::from_secs(6));
    let leaver = &engines[0];
    let acknowledged = (0..platform.registrars.len()).any(|registrar| leaver.leave(registrar));
    let acknowledged_at = platform.record.now();
    if !acknowledged {
        return Verdict::NotRun("the end of the engine is not acknowledged".to_owned());
    }
    let text = format!("the end of {} is acknowledged", leaver.traits.name);
    platform.record.say(&text);
    let killed: Vec<&Machine> = platform
        .registrars
        .iter()
        .chain(platform.gateways.iter().take(KILLED_GATEWAYS))
        .collect();
    if trouble {
        for machine in &killed {
            platform.signal(machine, &[SIGKILL]);
        }
        for machine in &killed {
            platform.reap(machine);
        }
        thread::sleep(RESTART_DELAY);
        for machine in &killed {
            platform.start(machine, false);
        }
    }
    // From now on no machine is disturbed any more.
    let calm_since = platform.record.now();
    let started = Instant::now();
    thread::sleep(SERVES_ON.saturating_sub(platform.record.now() - acknowledged_at));
    let served_until = platform.record.now();
    platform.record.say("the engine that leaves would end now");
    platform.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    assert!(started.elapsed() > CONTACT);
    let in_touch_from = calm_since + CONTACT;
    let forbidden_from = in_touch_from.max(acknowledged_at + DRAIN);
    let log = log.lock().unwrap();
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for sent in log.iter().filter(|sent| sent.at > forbidden_from) {
        let at_leaver = |run: &&crate::engine::Run| run.engine == leaver.traits.name;
        let run = runs
            .get(&sent.id)
            .and_then(|runs| runs.iter().find(at_leaver));
        if let Some(run) = run.filter(|run| run.at < served_until) {
            broken += 1;
            if broken <= 5 {
                platform.record.say(&format!(
                    "{} was sent to {} {:.2} s after the acknowledgement and {:.2} s after the last \
                     start of a machine, and ran at {}",
                    sent.id,
                    platform.gateways[sent.gateway].name,
                    (sent.at - acknowledged_at).as_secs_f64(),
                    (sent.at.saturating_sub(calm_since)).as_secs_f64(),
                    run.engine,
                ));
            }
        }
    }
    let later = log.iter().filter(|sent| sent.at > forbidden_from).count();
    platform.record.say(&format!(
        "{} requests; of {later} that were sent when all machines were in touch again, {broken} \
         reached the engine that had left",
        log.len(),
    ));
    if later == 0 {
        return Verdict::NotRun("no request was sent after the restarts".to_owned());
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
