//! Many callers whose bodies stop just short of their end, and the platform, which ends a process that
//! uses more memory than its machine has.

use std::{
    env,
    io::{self, BufRead, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, EngineOptions, Runs},
    has_trouble, http,
    install::{address, Install, Record},
    Verdict,
};

const CONFIG: &str = "{\"version\":11,\"routes\":[\
    {\"name\":\"callout\",\"host\":\"desk.example\",\"pathPrefix\":\"/callout/\",\"kind\":\"unsafe\",\
    \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"rounds\",\"maxAttempts\":1,\
    \"sticky\":false,\"resumable\":false}],\
    \"services\":[\
    {\"name\":\"rounds\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

/// `memoryMb` of a front machine, taken as the larger MiB.
const MEMORY_BYTES: u64 = 260 * 1_024 * 1_024;

/// Processes of the crowd at each gateway, and connections of each.
const CROWDS: usize = 3;
const CONNECTIONS: usize = 900;

/// Parts of a prompt, so that the head is inside `maxHeaderBytes`.
const PARTS: usize = 3_900;

/// Length of a body; one byte less is sent.
const BODY_BYTES: usize = 2_000;

/// The rule counts machines on which processes end three times, two machines at least.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// A process of the crowd: opens its connections, says so, and stays until its input ends.
pub fn crowd_member(front: SocketAddr) -> io::Result<()> {
    let prefix = vec!["a:1"; PARTS].join(",");
    let body = "b".repeat(BODY_BYTES - 1);
    let mut held = Vec::new();
    for number in 0..CONNECTIONS {
        let id = std::process::id() as usize * CONNECTIONS + number;
        let request = format!(
            "POST /callout/7 HTTP/1.1\r\nHost: desk.example\r\nPimentousher-Request-Id: {id:016x}\r\n\
             Pimentousher-Deadline-Ms: 6000\r\nPimentousher-Token-Counts: {PARTS},1\r\n\
             Pimentousher-Prompt-Prefix: {prefix}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        // The head alone is inside `maxHeaderBytes`, and the body inside `maxBodyBytes`.
        assert!(request.len() < 16_384);
        let request = request + &body;
        // All members together send less than 50 MB a second to a gateway, under half of its link.
        thread::sleep(Duration::from_millis(1));
        // One that is turned away is no loss to the crowd.
        if let Ok(mut stream) = http::connect(front) {
            if stream.write_all(request.as_bytes()).is_ok() {
                held.push(stream);
            }
        }
    }
    println!("{}", held.len());
    let _ = io::stdin().lock().read_line(&mut String::new());
    Ok(())
}

struct Crowd(Vec<Child>);

impl Crowd {
    fn start(front: SocketAddr) -> io::Result<Self> {
        let program = env::current_exe()?;
        let members = (0..CROWDS).map(|_| {
            let mut command = Command::new(&program);
            let command = command.args(["crowd-member", &front.to_string()]);
            command.stdin(Stdio::piped()).stdout(Stdio::null()).spawn()
        });
        Ok(Self(members.collect::<io::Result<_>>()?))
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for member in &mut self.0 {
            let _ = member.kill();
            let _ = member.wait();
        }
    }
}

/// The platform: ends a gateway whose memory is over the limit, and starts it again.
fn watch(
    install: &Mutex<Install>,
    front: usize,
    ends: &AtomicUsize,
    stops: &AtomicBool,
    record: &Record,
) {
    let mut most = 0;
    while !stops.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        let mut install = install.lock().unwrap();
        let bytes = install.fronts[front].memory();
        most = most.max(bytes);
        if bytes <= MEMORY_BYTES {
            continue;
        }
        let name = install.fronts[front].name.clone();
        record.add(format!(
            "{name} uses {bytes} bytes, more than {MEMORY_BYTES}: ended by the platform"
        ));
        ends.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = install.restart_front(front) {
            record.add(format!("{name} doesn't start: {error}"));
            return;
        }
    }
    record.add(format!("gateway {front}: at most {most} bytes seen"));
}

fn is_served(front: SocketAddr, id: &str) -> bool {
    let headers = [
        ("Host", "desk.example"),
        ("Pimentousher-Request-Id", id),
        ("Pimentousher-Deadline-Ms", "6000"),
    ];
    let request = http::request("POST", "/callout/7", &headers, "order");
    let answer = http::exchange(front, &request, Duration::from_secs(2));
    answer.is_ok_and(|answer| answer.status() == 200)
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    install.first_config(CONFIG)?;
    let runs = Runs::default();
    let options = EngineOptions {
        name: "i-rounds-1",
        service: "rounds",
        zone: "south-a",
        ip: address(51),
        stage: None,
    };
    let _engine = Engine::start(&install, options, &runs, record, None).map_err(fail)?;
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 1")?;
    let fronts: Vec<_> = (0..MACHINES).map(|front| install.front(front)).collect();
    let install = Arc::new(Mutex::new(install));
    let stops = Arc::new(AtomicBool::new(false));
    let ends: Arc<[AtomicUsize; MACHINES]> = Arc::default();
    let watches: Vec<_> = (0..MACHINES)
        .map(|front| {
            let (install, ends, stops) = (install.clone(), ends.clone(), stops.clone());
            let record = record.clone();
            thread::spawn(move || watch(&install, front, &ends[front], &stops, &record))
        })
        .collect();
    let begin = Instant::now();
    let reached = || ends.iter().all(|ends| ends.load(Ordering::Relaxed) >= ENDS);
    let mut round = 0;
    while !reached() && round < 8 && begin.elapsed() < Duration::from_secs(75) {
        round += 1;
        // An ordinary request shows that the gateways serve.
        for (front, address) in fronts.iter().enumerate() {
            let limit = Instant::now() + Duration::from_secs(6);
            let mut number = 0;
            while !is_served(*address, &format!("c0ffee{round:04}{front:02}{number:04}")) {
                number += 1;
                if Instant::now() >= limit {
                    return Err(format!(
                        "gateway {front} doesn't serve before round {round}"
                    ));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        record.add(format!("round {round}: both gateways serve"));
        let crowds: io::Result<Vec<_>> = match has_trouble() {
            true => fronts.iter().map(|front| Crowd::start(*front)).collect(),
            false => Ok(Vec::new()),
        };
        let crowds = crowds.map_err(fail)?;
        let count = crowds.len() * CROWDS * CONNECTIONS;
        record.add(format!(
            "round {round}: {count} callers stop just short of the end of their bodies"
        ));
        thread::sleep(Duration::from_millis(5_000));
        drop(crowds);
        record.add(format!("round {round}: these callers leave"));
    }
    stops.store(true, Ordering::Relaxed);
    for watch in watches {
        let _ = watch.join();
    }
    let ends: Vec<_> = ends
        .iter()
        .map(|ends| ends.load(Ordering::Relaxed))
        .collect();
    Ok(match reached_by(&ends) {
        false => Verdict::Held,
        true => Verdict::Broken(format!(
            "gateways used more memory than their machines have, and were ended {ends:?} times"
        )),
    })
}

fn reached_by(ends: &[usize]) -> bool {
    ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES
}
