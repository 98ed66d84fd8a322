//! Stand-ins for engines and plain servers, which follow the users' PROTOCOL.md. Not for: clients.

use std::{
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    install::{Install, Record},
};

/// What an engine writes as an answer.
pub enum Reply {
    Whole(Vec<u8>),
    /// Pieces with a pause after each.
    Pieces(Vec<Vec<u8>>, Duration),
}

/// What an engine writes instead of its usual answer to a request that it runs.
pub type Trouble = Arc<dyn Fn(&Message) -> Option<Reply> + Send + Sync>;

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub engine: String,
    pub service: String,
}

#[derive(Clone)]
pub struct EngineOptions {
    pub name: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub ip: IpAddr,
    /// `prefill` or `decode`; none for a plain server.
    pub stage: Option<&'static str>,
}

pub struct Engine {
    pub address: SocketAddr,
}

/// All runs of all engines.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}

pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Headers that each answer of an engine to a request bears.
pub fn stamped(id: &str, engine: &str) -> String {
    format!(
        "Pimentousher-Request-Id: {id}\r\nPimentousher-Server-Stamp: 3e1b.07.{engine}\r\n\
         Pimentousher-Instance: {engine}\r\nPimentousher-Server-Load: 1,0,64\r\n\
         Keep-Alive: timeout=5\r\n"
    )
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

impl Engine {
    pub fn start(
        install: &Install,
        options: EngineOptions,
        runs: &Runs,
        record: &Record,
        trouble: Option<Trouble>,
    ) -> io::Result<Self> {
        let address = SocketAddr::new(options.ip, install.ports.engine);
        let listener = TcpListener::bind(address)?;
        let engine = Self { address };
        record.add(format!(
            "engine {} of service {} starts at {address}",
            options.name, options.service
        ));
        let (served, runs, record) = (options.clone(), runs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, runs, record) = (served.clone(), runs.clone(), record.clone());
                let trouble = trouble.clone();
                thread::spawn(move || serve(stream, &served, &runs, &record, trouble));
            }
        });
        let beat = Beat {
            options,
            address,
            born: now_ms(),
            controls: install.controls(),
        };
        thread::spawn(move || beat.run());
        Ok(engine)
    }
}

fn serve(
    mut stream: TcpStream,
    engine: &EngineOptions,
    runs: &Runs,
    record: &Record,
    trouble: Option<Trouble>,
) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Ok(Some(request)) = http::read_message(&mut stream, &mut kept, false) {
        let (pieces, pause) = match reply(&request, engine, runs, record, trouble.as_ref()) {
            Reply::Whole(bytes) => (vec![bytes], Duration::ZERO),
            Reply::Pieces(pieces, pause) => (pieces, pause),
        };
        for piece in pieces {
            if stream.write_all(&piece).is_err() {
                return;
            }
            thread::sleep(pause);
        }
    }
}

fn whole(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Whole(answer(status, headers, body))
}

fn reply(
    request: &Message,
    engine: &EngineOptions,
    runs: &Runs,
    record: &Record,
    trouble: Option<&Trouble>,
) -> Reply {
    let (method, path) = request.target();
    let name = engine.name;
    let id = request
        .header("pimentousher-request-id")
        .unwrap_or_default();
    if path == "/healthz" {
        return whole("200 OK", &stamped(id, name), "");
    }
    if path == "/api/report" {
        let stage = engine.stage.unwrap_or_default();
        let body = format!(
            "{{\"stage\":\"{stage}\",\"models\":[],\"busy\":true,\"seqNo\":0,\"waiting\":0,\
             \"runningReqs\":0,\"kvUsed\":0,\"kvTotal\":446876,\"kvHandles\":0}}"
        );
        return whole("200 OK", "Content-Type: application/json\r\n", &body);
    }
    if path.starts_with("/api/") {
        return whole("409 Conflict", "", "");
    }
    let not_run = format!("{}Pimentousher-Not-Run: 1\r\n", stamped(id, name));
    let expected = request.header("pimentousher-expect-instance");
    if expected.is_some_and(|expected| expected != name) {
        record.add(format!(
            "{name} turns {id} away: it is meant for another engine"
        ));
        return whole("421 Misdirected Request", &not_run, "");
    }
    if id.is_empty() {
        return whole("400 Bad Request", &not_run, "");
    }
    record.add(format!(
        "{name} of service {} runs {id}: {method} {path}",
        engine.service
    ));
    runs.0.lock().unwrap().push(Run {
        id: id.to_owned(),
        path,
        engine: name.to_owned(),
        service: engine.service.to_owned(),
    });
    if let Some(reply) = trouble.and_then(|trouble| trouble(request)) {
        return reply;
    }
    whole(
        "200 OK",
        &stamped(id, name),
        &format!("from {name} of service {}", engine.service),
    )
}

struct Beat {
    options: EngineOptions,
    address: SocketAddr,
    born: u64,
    controls: Vec<SocketAddr>,
}

impl Beat {
    fn run(self) {
        let mut number = 0_u64;
        let mut control = 0;
        loop {
            number += 1;
            let body = heartbeat(&self.options, self.address, number, self.born);
            let path = format!("/api/instances/{}", self.options.name);
            // Another daemon is called after a failure.
            for _ in 0..self.controls.len() {
                let address = self.controls[control];
                let host = address.to_string();
                let headers = [
                    ("Host", host.as_str()),
                    ("Content-Type", "application/json"),
                ];
                let request = http::request("PUT", &path, &headers, &body);
                let answer = http::exchange(address, &request, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
                control = (control + 1) % self.controls.len();
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    }
}

/// The heartbeat of a sound engine.
fn heartbeat(options: &EngineOptions, address: SocketAddr, number: u64, born: u64) -> String {
    let stage = options.stage.map_or_else(String::new, |stage| {
        format!(
            "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
        )
    });
    format!(
        "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,{stage}\"seqNo\":{number},\
         \"born\":{born}}}",
        options.service, options.zone
    )
}
