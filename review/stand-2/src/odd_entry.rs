//! An entry of another writer, with fields missing, under the name of a live engine.

use std::{thread, time::Duration};

use crate::{
    engine::{Engine, EngineOptions, Runs},
    has_trouble, http,
    install::{address, Install, Record},
    Verdict,
};

const CONFIG: &str = "{\"version\":11,\"routes\":[\
    {\"name\":\"callout\",\"host\":\"desk.example\",\"pathPrefix\":\"/callout/\",\"kind\":\"unsafe\",\
    \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"rounds\",\"maxAttempts\":1,\
    \"sticky\":false,\"resumable\":false},\
    {\"name\":\"visit\",\"host\":\"desk.example\",\"pathPrefix\":\"/visit/\",\"kind\":\"unsafe\",\
    \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"notes\",\"maxAttempts\":1,\
    \"sticky\":false,\"resumable\":false}],\
    \"services\":[\
    {\"name\":\"rounds\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"notes\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    install.first_config(CONFIG)?;
    record.add("version 11 is acknowledged: /callout/ goes to service rounds, /visit/ to notes");
    let runs = Runs::default();
    let engine = |number, name, service| {
        let options = EngineOptions {
            name,
            service,
            zone: "south-a",
            ip: address(number),
            stage: None,
        };
        Engine::start(&install, options, &runs, record, None)
    };
    let _rounds = [
        engine(51, "i-rounds-1", "rounds").map_err(fail)?,
        engine(52, "i-rounds-2", "rounds").map_err(fail)?,
    ];
    let notes = [
        engine(53, "i-notes-1", "notes").map_err(fail)?,
        engine(54, "i-notes-2", "notes").map_err(fail)?,
    ];
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 4")?;
    thread::sleep(Duration::from_millis(2_500));
    if has_trouble() {
        // The fields that this writer knows; version, coldLeftMs and born are missing.
        let entry = format!(
            "{{\"service\":\"rounds\",\"address\":\"{}\",\"zone\":\"south-a\",\"slots\":64,\
             \"state\":\"ready\",\"seqNo\":1000}}",
            notes[0].address
        );
        let host = install.control(1).to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let request = http::request("PUT", "/api/instances/i-notes-1", &headers, &entry);
        let answer = http::exchange(install.control(1), &request, Duration::from_secs(2));
        let answer = answer.map_err(fail)?;
        record.add(format!(
            "another writer sends PUT /api/instances/i-notes-1 {entry}: answered with {}",
            answer.status()
        ));
    }
    // Several heartbeats of all engines follow.
    thread::sleep(Duration::from_millis(4_000));
    let mut wrong = Vec::new();
    for number in 0..24 {
        let (path, service) = match number % 2 {
            0 => ("/callout/7", "rounds"),
            _ => ("/visit/7", "notes"),
        };
        let id = format!("c0ffee{number:010}");
        let headers = [
            ("Host", "desk.example"),
            ("Pimentousher-Request-Id", id.as_str()),
            ("Pimentousher-Deadline-Ms", "6000"),
        ];
        let request = http::request("POST", path, &headers, "order");
        record.add(format!(
            "a client sends {id}: POST {path}, for service {service}"
        ));
        let answer = http::exchange(install.front(number % 3), &request, Duration::from_secs(6));
        match answer {
            Ok(answer) => record.add(format!("{id} gets {}: {}", answer.status(), answer.text())),
            Err(error) => record.add(format!("{id} gets no answer: {error}")),
        }
        let ran = runs.of(&id);
        wrong.extend(ran.into_iter().filter(|run| run.service != service));
    }
    match wrong.first() {
        None => Ok(Verdict::Held),
        Some(run) => Ok(Verdict::Broken(format!(
            "{} of 24 requests ran at a service that no configuration allows, such as {} ({}) at {} \
             of service {}",
            wrong.len(),
            run.id,
            run.path,
            run.engine,
            run.service
        ))),
    }
}
