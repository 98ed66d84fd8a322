//! Clients: each sends requests one after the other and notes what becomes of them.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::platform::Platform;

/// What a client sends.
#[derive(Clone)]
pub struct RequestKind {
    pub path: &'static str,
    pub deadline: Duration,
    pub headers: Vec<(&'static str, String)>,
    pub body: usize,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A complete answer with this status.
    Answer(u16),
    /// No connection was made.
    NotConnected,
    /// The connection ended without a complete answer.
    Cut,
    /// No complete answer before the deadline; the client closes its connection.
    GivenUp,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub gateway: usize,
    /// Time at which the last byte was sent.
    pub at: Duration,
    pub ended: Duration,
    pub ending: Ending,
}

/// All requests of a run.
pub type Log = Arc<Mutex<Vec<Sent>>>;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    // Spread by a multiplicative hash, so that ids are unlike each other.
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Sends one request, on the client's open connection if there is one.
pub fn request(
    platform: &Platform,
    kind: &RequestKind,
    gateway: usize,
    connection: &mut Option<Connection>,
) -> Sent {
    let id = next_id();
    let record = &platform.record;
    let name = &platform.gateways[gateway].name;
    let ended = |at, ending: Ending| {
        let ended = record.now();
        record.line(&format!("end {id} at {name}: {ending:?}"));
        Sent {
            id: id.clone(),
            gateway,
            at,
            ended,
            ending,
        }
    };
    if connection.is_none() {
        match Connection::open(platform.front(gateway), kind.deadline) {
            Ok(opened) => *connection = Some(opened),
            Err(_) => return ended(record.now(), Ending::NotConnected),
        }
    }
    let Some(mut open) = connection.take() else {
        return ended(record.now(), Ending::NotConnected);
    };
    let _ = open.socket().set_read_timeout(Some(kind.deadline));
    let deadline = kind.deadline.as_millis().to_string();
    let mut headers = vec![
        ("Host", "desk.example"),
        ("Pimentousher-Request-Id", id.as_str()),
        ("Pimentousher-Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(
        kind.headers
            .iter()
            .map(|(name, value)| (*name, value.as_str())),
    );
    let body = vec![b'b'; kind.body];
    record.line(&format!(
        "send {id} to {name}, {} {} bytes",
        kind.path, kind.body
    ));
    let sent = open.send("POST", kind.path, &headers, &body);
    let at = record.now();
    let answer = sent.and_then(|()| open.read());
    match answer {
        Ok(answer) => {
            let closes = answer
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if !closes {
                *connection = Some(open);
            }
            ended(at, Ending::Answer(answer.status()))
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            ended(at, Ending::GivenUp)
        }
        Err(_) => ended(at, Ending::Cut),
    }
}

/// Runs a client until the run stops: it keeps its connection as long as that is open, and else
/// goes to a gateway in rotation.
pub fn run_client(
    platform: &Arc<Platform>,
    number: usize,
    kind: RequestKind,
    pause: Duration,
    log: &Log,
) {
    let (platform, log) = (platform.clone(), log.clone());
    thread::spawn(move || {
        let mut connection = None;
        let mut gateway = None;
        while !platform.stop.load(Ordering::Relaxed) {
            if connection.is_none() {
                let taken = platform.in_rotation();
                gateway = taken.get(number % taken.len().max(1)).copied();
            }
            let Some(gateway) = gateway else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let sent = request(&platform, &kind, gateway, &mut connection);
            log.lock().unwrap().push(sent);
            thread::sleep(pause);
        }
    });
}
