//! Ordinary streams beside a crowd that sends many large bodies of legal size.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    crowd::Crowd,
    engine::{self, Engine, EngineOptions, Runs},
    http,
    install::{address, Install, Record},
    Verdict,
};

const CONFIG: &str = "{\"version\":11,\"routes\":[\
    {\"name\":\"visit\",\"host\":\"desk.example\",\"pathPrefix\":\"/visit/\",\"kind\":\"streaming\",\
    \"timeoutMs\":8000,\"targetLatencyMs\":600,\"priority\":1,\"service\":\"assist\",\"maxAttempts\":1,\
    \"sticky\":true,\"resumable\":false,\"targetGapMs\":300},\
    {\"name\":\"callout\",\"host\":\"desk.example\",\"pathPrefix\":\"/callout/\",\"kind\":\"unsafe\",\
    \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"rounds\",\"maxAttempts\":1,\
    \"sticky\":false,\"resumable\":false}],\
    \"services\":[\
    {\"name\":\"assist\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"rounds\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

const CALLERS: usize = 30;
const EVENTS: usize = 24;
const EVENT_BYTES: usize = 5_000;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

fn pieces(id: &str) -> Vec<Vec<u8>> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        engine::stamped(id, "i-assist-1")
    );
    let mut pieces = vec![head.into_bytes()];
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(EVENT_BYTES));
        pieces.push(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
    }
    pieces.push(b"0\r\n\r\n".to_vec());
    pieces
}

/// Sends a request on a kept connection, and reads its stream as it comes. Returns what was seen if the
/// connection was closed without an event; a caller that didn't come so far is an error.
fn read_stream(
    front: SocketAddr,
    number: usize,
    record: &Record,
) -> Result<Option<String>, String> {
    let mut stream = http::connect(front).map_err(|error| error.to_string())?;
    let limit = Some(Duration::from_secs(8));
    stream
        .set_read_timeout(limit)
        .map_err(|error| error.to_string())?;
    let mut kept = Vec::new();
    for part in 0..2 {
        let id = format!("c0ffee{number:08}{part:02}");
        let headers = [
            ("Host", "desk.example"),
            ("Pimentousher-Request-Id", id.as_str()),
            ("Pimentousher-Deadline-Ms", "8000"),
        ];
        let path = ["/callout/1", "/visit/1"][part];
        record.add(format!("caller {number} sends {id}: POST {path}"));
        let request = http::request("POST", path, &headers, "prompt");
        stream
            .write_all(&request)
            .map_err(|error| error.to_string())?;
        if part == 0 {
            let first = http::read_message(&mut stream, &mut kept, true);
            first.map_err(|error| error.to_string())?.ok_or("closed")?;
            continue;
        }
        let begin = Instant::now();
        let mut bytes = Vec::new();
        let mut buffer = vec![0; 64 * 1_024];
        loop {
            let read = stream.read(&mut buffer);
            let count = read.as_ref().map_or(0, |count| *count);
            bytes.extend_from_slice(&buffer[..count]);
            let after = begin.elapsed().as_millis();
            let events = bytes.windows(5).filter(|five| *five == b"\nid: ").count();
            if bytes.ends_with(b"0\r\n\r\n") && events == EVENTS {
                record.add(format!("{id} gets its whole stream after {after} ms"));
                return Ok(None);
            }
            if count == 0 {
                let status = String::from_utf8_lossy(&bytes[..bytes.len().min(16)]).into_owned();
                if !status.contains("200") {
                    record.add(format!("{id} gets {status:?}"));
                    return Ok(None);
                }
                let text =
                    format!("{id} got {events} events of {EVENTS}, then after {after} ms its end");
                record.add(&text);
                // A stream that ends midway has been answered in part; the rule doesn't name it.
                // Nor does it name one that is still open.
                let is_closed = match &read {
                    Ok(_) => true,
                    Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
                };
                return Ok((events == 0 && is_closed).then_some(text));
            }
        }
    }
    Ok(None)
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    install.first_config(CONFIG)?;
    let runs = Runs::default();
    let streams: engine::Trouble = Arc::new(move |request| {
        let id = request
            .header("pimentousher-request-id")
            .unwrap_or_default();
        Some(engine::Reply::Pieces(pieces(id), EVENT_PAUSE))
    });
    let engine = |number, name, service, stage, trouble| {
        let options = EngineOptions {
            name,
            service,
            zone: "south-a",
            ip: address(number),
            stage,
        };
        Engine::start(&install, options, &runs, record, trouble)
    };
    let _assist =
        engine(51, "i-assist-1", "assist", Some("decode"), Some(streams)).map_err(fail)?;
    let _rounds = engine(52, "i-rounds-1", "rounds", None, None).map_err(fail)?;
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 2")?;
    thread::sleep(Duration::from_millis(1_000));
    let front = install.front(0);
    let crowd = Crowd::start(front, record);
    thread::sleep(Duration::from_millis(1_600));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read_stream(front, number, &record))
        })
        .collect();
    let mut lost = Vec::new();
    for caller in callers {
        let read = caller.join().map_err(|_| "a caller failed".to_owned())?;
        match read {
            Ok(seen) => lost.extend(seen),
            Err(error) => record.add(format!("a caller isn't counted: {error}")),
        }
    }
    crowd.end(record);
    Ok(match lost.len() {
        0..=3 => Verdict::Held,
        count => Verdict::Broken(format!(
            "{count} of {CALLERS} streams of a sound engine ended without an event, such as: {}",
            lost[0]
        )),
    })
}
