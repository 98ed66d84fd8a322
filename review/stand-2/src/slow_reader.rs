//! Clients that read their answers slowly, beside a crowd that sends many large bodies of legal size.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
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
    {\"name\":\"callout\",\"host\":\"desk.example\",\"pathPrefix\":\"/callout/\",\"kind\":\"unsafe\",\
    \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"rounds\",\"maxAttempts\":1,\
    \"sticky\":false,\"resumable\":false}],\
    \"services\":[\
    {\"name\":\"rounds\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

const READERS: usize = 4;
const ANSWER_BYTES: usize = 6_100_000;
/// Pauses of a reader after its first read and after the others.
const FIRST_PAUSE: Duration = Duration::from_millis(900);
const PAUSE: Duration = Duration::from_millis(15);

/// Time from the beginning of the crowd to the requests of the slow readers.
const CROWD_LEAD: Duration = Duration::from_millis(150);

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the receive window of a client small, as the links of the users' machines have it.
fn small_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 16 * 1_024;
    // SAFETY: the value is an int that outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

fn read_slowly(front: SocketAddr, number: usize, record: &Record) -> Result<(), String> {
    let mut stream = http::connect(front).map_err(|error| error.to_string())?;
    small_window(&stream);
    let send = |stream: &mut TcpStream, id: &str, path: &str| {
        let headers = [
            ("Host", "desk.example"),
            ("Pimentousher-Request-Id", id),
            ("Pimentousher-Deadline-Ms", "6000"),
        ];
        record.add(format!("reader {number} sends {id}: POST {path}"));
        stream.write_all(&http::request("POST", path, &headers, "order"))
    };
    // The connection is a kept one.
    let mut kept = Vec::new();
    send(
        &mut stream,
        &format!("c0ffee{number:08}00"),
        "/callout/small",
    )
    .map_err(|e| e.to_string())?;
    let first = http::read_message(&mut stream, &mut kept, true);
    first.map_err(|error| error.to_string())?.ok_or("closed")?;
    // The crowd begins meanwhile.
    thread::sleep(CROWD_LEAD);
    let id = format!("c0ffee{number:08}01");
    send(&mut stream, &id, "/callout/large").map_err(|error| error.to_string())?;
    let begin = Instant::now();
    let mut bytes = 0;
    let mut buffer = vec![0; 64 * 1_024];
    let mut wanted = None;
    loop {
        let read = stream.read(&mut buffer);
        let count = match &read {
            Ok(count) => *count,
            Err(_) => 0,
        };
        if wanted.is_none() {
            let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
            if let Some(end) = text.find("\r\n\r\n") {
                let status = text.split(' ').nth(1).unwrap_or_default().to_owned();
                if status != "200" {
                    record.add(format!("{id} gets {status}"));
                    return Ok(());
                }
                wanted = Some(end + 4 + ANSWER_BYTES);
            }
        }
        bytes += count;
        let after = begin.elapsed().as_millis();
        if wanted.is_some_and(|wanted| bytes >= wanted) {
            record.add(format!(
                "{id} gets 200 and its whole answer after {after} ms"
            ));
            return Ok(());
        }
        if count == 0 && wanted.is_none() {
            // The close may have crossed the request.
            record.add(format!("{id} gets no head of an answer; not counted"));
            return Ok(());
        }
        if count == 0 {
            let end = match read {
                Ok(_) => "closed".to_owned(),
                Err(error) => error.to_string(),
            };
            let text =
                format!("{id} got {bytes} bytes of {ANSWER_BYTES}, then after {after} ms: {end}");
            record.add(&text);
            return Err(text);
        }
        thread::sleep(if bytes == count { FIRST_PAUSE } else { PAUSE });
    }
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    install.first_config(CONFIG)?;
    let runs = Runs::default();
    let large = "a".repeat(ANSWER_BYTES);
    let answers: engine::Trouble = Arc::new(move |request| {
        let id = request
            .header("pimentousher-request-id")
            .unwrap_or_default();
        let headers = engine::stamped(id, "i-rounds-1");
        let is_large = request.target().1.ends_with("large");
        is_large.then(|| engine::Reply::Whole(engine::answer("200 OK", &headers, &large)))
    });
    let options = EngineOptions {
        name: "i-rounds-1",
        service: "rounds",
        zone: "south-a",
        ip: address(51),
        stage: None,
    };
    let _engine = Engine::start(&install, options, &runs, record, Some(answers)).map_err(fail)?;
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 1")?;
    thread::sleep(Duration::from_millis(500));
    let front = install.front(0);
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read_slowly(front, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let crowd = Crowd::start(front, record);
    let mut lost = Vec::new();
    for reader in readers {
        let read = reader.join().map_err(|_| "a reader failed".to_owned())?;
        lost.extend(read.err());
    }
    crowd.end(record);
    Ok(match lost.len() {
        0..=3 => Verdict::Held,
        count => Verdict::Broken(format!(
            "{count} of {READERS} answers of a sound engine were cut, such as: {}",
            lost[0]
        )),
    })
}
