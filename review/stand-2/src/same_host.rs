//! A configuration in which two routes share host and prefix; the hosts differ only in case.

use std::{thread, time::Duration};

use crate::{
    engine::{Engine, EngineOptions, Runs},
    has_trouble, http,
    install::{address, Install, Record},
    Verdict,
};

/// `configApplyMs` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

fn route(name: &str, host: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"unsafe\",\
         \"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":1,\"sticky\":false,\"resumable\":false}}"
    )
}

fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"rounds\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"stores\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

pub fn run(record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let install = Install::start(3, record).map_err(fail)?;
    let first = vec![route("callout", "desk.example", "/callout/", "rounds")];
    install.first_config(&config(11, &first))?;
    record.add("version 11 is acknowledged: desk.example/callout/ goes to service rounds");
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
    let _rounds = engine(51, "i-rounds-1", "rounds").map_err(fail)?;
    let _stores = engine(52, "i-stores-1", "stores").map_err(fail)?;
    install.wait_for_metric("gateway_routes_version 11")?;
    install.wait_for_metric("gateway_targets 2")?;
    let host = if has_trouble() {
        "DESK.example"
    } else {
        "store.example"
    };
    let second = vec![
        first[0].clone(),
        route("order", host, "/callout/", "stores"),
    ];
    let status = install.put_config(1, &config(14, &second)).map_err(fail)?;
    record.add(format!(
        "the operator sends version 14 with a second route, {host}/callout/ to service stores: \
         answered with {status}"
    ));
    let is_acknowledged = status == 200;
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let read = install.get_config(3).map_err(fail)?;
    let in_force = read.text().contains("\"version\":14");
    record.add(format!(
        "read back from another registrar: {}, version 14 in force: {in_force}",
        read.status()
    ));
    let mut wrong = Vec::new();
    for number in 0..6 {
        let id = format!("c0ffee{number:010}");
        let headers = [
            ("Host", host),
            ("Pimentousher-Request-Id", id.as_str()),
            ("Pimentousher-Deadline-Ms", "6000"),
        ];
        let request = http::request("POST", "/callout/7", &headers, "order");
        record.add(format!("a client sends {id}: POST {host}/callout/7"));
        let answer = http::exchange(install.front(number % 3), &request, Duration::from_secs(6));
        match answer {
            Ok(answer) => record.add(format!("{id} gets {}: {}", answer.status(), answer.text())),
            Err(error) => record.add(format!("{id} gets no answer: {error}")),
        }
        let ran = runs.of(&id);
        wrong.extend(ran.into_iter().filter(|run| run.service != "stores"));
    }
    if !has_trouble() {
        // Both routes are proper, so the change must be in force.
        let held = is_acknowledged && in_force && wrong.is_empty();
        return Ok(if held {
            Verdict::Held
        } else {
            Verdict::Broken("a proper change".to_owned())
        });
    }
    // Two sound programs differ here: one takes hosts that differ in case for one host, as HTTP does,
    // and refuses; one takes them for two, and sends each to its own service. Both pass.
    if is_acknowledged && !wrong.is_empty() {
        return Ok(Verdict::Broken(format!(
            "version 14 is acknowledged, read back: {in_force}, and {} requests for its second \
             route ran at service {}, which only its first route allows",
            wrong.len(),
            wrong[0].service
        )));
    }
    Ok(Verdict::Held)
}
