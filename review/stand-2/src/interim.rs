//! A faulty engine answers with 101 (Switching Protocols), which nobody asked for.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    engine::{self, Engine, EngineOptions, Runs},
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

/// One of this many answers of the faulty engine is spoiled: a share of 0.05, the largest of `garble`
/// in the site file.
const SPOILED_ONE_IN: usize = 20;

const REQUESTS: usize = 300;

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    install.first_config(CONFIG)?;
    let runs = Runs::default();
    let answered = AtomicUsize::new(0);
    let garbles: engine::Trouble = Arc::new(move |request| {
        let number = answered.fetch_add(1, Ordering::Relaxed) + 1;
        if number % SPOILED_ONE_IN != 0 {
            return None;
        }
        let id = request
            .header("pimentousher-request-id")
            .unwrap_or_default();
        let head = engine::stamped(id, "i-rounds-1");
        let head = format!("HTTP/1.1 101 Switching Protocols\r\n{head}\r\n");
        Some(engine::Reply::Whole(head.into_bytes()))
    });
    let engine = |number, name, trouble| {
        let options = EngineOptions {
            name,
            service: "rounds",
            zone: "south-a",
            ip: address(number),
            stage: None,
        };
        Engine::start(&install, options, &runs, record, trouble)
    };
    let trouble = has_trouble().then_some(garbles);
    let _faulty = engine(51, "i-rounds-1", trouble).map_err(fail)?;
    let _sound = engine(52, "i-rounds-2", None).map_err(fail)?;
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 2")?;
    thread::sleep(Duration::from_millis(500));
    let mut wrong = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("c0ffee{number:010}");
        let headers = [
            ("Host", "desk.example"),
            ("Pimentousher-Request-Id", id.as_str()),
            ("Pimentousher-Deadline-Ms", "6000"),
        ];
        let request = http::request("POST", "/callout/7", &headers, "order");
        record.add(format!("a client sends {id}"));
        let answer = http::exchange(install.front(number % 3), &request, Duration::from_secs(7));
        match answer {
            Ok(answer) => record.add(format!("{id} gets {}: {}", answer.status(), answer.text())),
            Err(error) => {
                record.add(format!("{id} gets no answer in the protocol: {error}"));
                wrong.push(id);
            }
        }
    }
    // Each of them was run, once: its order is placed, and its client never hears of it.
    let ran = wrong.iter().filter(|id| !runs.of(id).is_empty()).count();
    Ok(match wrong.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "{count} of {REQUESTS} clients got bytes that are no answer, and nothing after them; {ran} \
             of their requests ran"
        )),
    })
}
