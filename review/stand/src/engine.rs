//! An engine or a plain service: it registers itself, runs requests in slots and answers them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::platform::{Platform, DOMAINS, HEARTBEAT};

/// Requests that wait for a slot; more are turned away.
const QUEUE: usize = 24;

/// Idle connections are closed after this time.
const IDLE: Duration = Duration::from_secs(10);

/// A request that has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub at: Duration,
}

/// What ran, by request id; shared by all engines.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// The fixed properties of an engine.
pub struct Traits {
    pub name: String,
    pub service: &'static str,
    pub stage: Option<&'static str>,
    pub slots: usize,
    pub domain: usize,
    /// Time that a plain request takes, from the first to the last.
    pub work_ms: (u64, u64),
}

/// Requests at an engine.
#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A running engine.
pub struct Engine {
    pub traits: Traits,
    pub address: SocketAddr,
    platform: Arc<Platform>,
    runs: Runs,
    born: u64,
    sequence: AtomicU64,
    load: Mutex<Load>,
    freed: Condvar,
    /// Whether heartbeats are sent.
    pub beats: AtomicBool,
    /// Share of the requests, in percent, that run and then are answered 500 with a body whose
    /// bytes come without end.
    pub endless_errors: AtomicU64,
    counter: AtomicU64,
}

impl Engine {
    /// Starts an engine on a loopback address of this run.
    pub fn start(platform: &Arc<Platform>, host: u8, traits: Traits, runs: &Runs) -> Arc<Self> {
        let listener = TcpListener::bind(platform.engine_address(host)).expect("an address");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let engine = Arc::new(Self {
            traits,
            address: listener.local_addr().expect("an address"),
            platform: platform.clone(),
            runs: runs.clone(),
            born: now.as_millis() as u64,
            sequence: AtomicU64::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            beats: AtomicBool::new(true),
            endless_errors: AtomicU64::new(0),
            counter: AtomicU64::new(0),
        });
        let server = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let engine = server.clone();
                thread::spawn(move || engine.serve(socket));
            }
        });
        let sender = engine.clone();
        thread::spawn(move || sender.send_heartbeats());
        engine
    }

    fn heartbeat(&self) -> String {
        let traits = &self.traits;
        let stage = traits.stage.map_or_else(String::new, |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"seqNo":{},"born":{}{stage}}}"#,
            traits.service,
            self.address,
            DOMAINS[traits.domain].0,
            traits.slots,
            self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            self.born,
        )
    }

    fn send_heartbeats(&self) {
        let count = self.platform.registrars.len();
        let mut registrar = self.traits.name.len() % count;
        let path = format!("/api/instances/{}", self.traits.name);
        while !self.platform.stop.load(Ordering::Relaxed) {
            if self.beats.load(Ordering::Relaxed) {
                let body = self.heartbeat();
                for _ in 0..count {
                    let address = self.platform.control(registrar);
                    let second = Duration::from_secs(1);
                    let answer = http::exchange(address, second, "PUT", &path, body.as_bytes());
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        break;
                    }
                    registrar = (registrar + 1) % count;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Says at a registrar that this engine leaves for good, without having said so before; returns
    /// whether that is acknowledged.
    pub fn leave(&self, registrar: usize) -> bool {
        self.beats.store(false, Ordering::Relaxed);
        let path = format!("/api/instances/{}", self.traits.name);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(r#"{{"seqNo":{sequence},"born":{}}}"#, self.born);
        let address = self.platform.control(registrar);
        let second = Duration::from_secs(1);
        let answer = http::exchange(address, second, "DELETE", &path, body.as_bytes());
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let _ = socket.set_read_timeout(Some(IDLE));
        let Ok(mut writer) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, socket: &mut TcpStream) -> std::io::Result<()> {
        let name = &self.traits.name;
        if request.path() == "/api/report" {
            let stage = self.traits.stage.unwrap_or("decode");
            let body = format!(
                r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seqNo":0,"waiting":0,"runningReqs":0,"kvUsed":0,"kvTotal":446876,"kvHandles":0}}"#
            );
            return http::write_answer(socket, "200 OK", &[], body.as_bytes());
        }
        if request.method() == "DELETE" || request.path().starts_with("/api/") {
            return http::write_answer(socket, "200 OK", &[], b"");
        }
        let id = request
            .header("pimentousher-request-id")
            .unwrap_or_default();
        let not_run = [
            ("Pimentousher-Request-Id", id),
            ("Pimentousher-Not-Run", "1"),
            ("Keep-Alive", "timeout=10"),
        ];
        if request.header("pimentousher-expect-instance") != Some(name) {
            return http::write_answer(socket, "421 Misdirected Request", &not_run, b"");
        }
        if !self.take_slot() {
            return http::write_answer(socket, "503 Service Unavailable", &not_run, b"");
        }
        let result = self.run(request, id, socket);
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        result
    }

    /// Waits for a slot; returns false when too many requests wait.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.traits.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.traits.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn run(&self, request: &Message, id: &str, socket: &mut TcpStream) -> std::io::Result<()> {
        let name = &self.traits.name;
        let stamp = format!("{name}.{id}");
        let kept = [
            ("Pimentousher-Request-Id", id),
            ("Pimentousher-Server-Stamp", &stamp),
            ("Keep-Alive", "timeout=10"),
        ];
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        // Spread evenly by a multiplicative hash of the number of the request.
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        if request.header("pimentousher-stage") == Some("prefill") {
            thread::sleep(Duration::from_millis(30));
            let body = format!(r#"{{"kvHandle":"h{number}","tokens":1460,"version":1}}"#);
            return http::write_answer(socket, "200 OK", &kept, body.as_bytes());
        }
        self.platform
            .record
            .line(&format!("run {id} at {name}, {} bytes", request.body.len()));
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(Run {
                engine: name.clone(),
                at: self.platform.record.now(),
            });
        if self.traits.stage.is_none() {
            let (least, most) = self.traits.work_ms;
            let work = least + spread % (most - least + 1);
            thread::sleep(Duration::from_millis(work));
            return http::write_answer(socket, "200 OK", &kept, &[b'x'; 800]);
        }
        if spread % 100 < self.endless_errors.load(Ordering::Relaxed) {
            return self.write_endless_error(id, &stamp, socket);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPimentousher-Request-Id: {id}\r\n\
             Pimentousher-Server-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\
             Keep-Alive: timeout=10\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        for event in 1..=5 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: token {event}\n\n");
            socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }

    /// Answers 500 with bytes that are no answer and come without end, until the caller closes.
    fn write_endless_error(
        &self,
        id: &str,
        stamp: &str,
        socket: &mut TcpStream,
    ) -> std::io::Result<()> {
        let record = &self.platform.record;
        record.line(&format!(
            "{} answers {id} with 500 and a body without end",
            self.traits.name
        ));
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nPimentousher-Request-Id: {id}\r\n\
             Pimentousher-Server-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        let limit = Instant::now() + Duration::from_secs(60);
        while Instant::now() < limit {
            socket.write_all(b"10\r\n0123456789abcdef\r\n")?;
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}
