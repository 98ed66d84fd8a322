//! Tests that the demo finds no faults in a complete installation, and detects the faults that
//! appear when a mechanism is disabled.

mod support;

use std::{fs, io::Write as _, net};

use pimentousher::demo;
use support::{free_address, get_status, pimentousher, until, Daemon, TempFolder};

/// Guards against wrong counts of the demo, and against lost or doubled requests.
#[test]
fn nothing_is_doubled_or_lost() {
    let run = pimentousher(&["demo", "--format", "json"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    let count = run.json();
    assert_eq!(
        (&count["doubled"], &count["lost"]),
        (&0.into(), &0.into()),
        "{count}"
    );
    let sum = count["whole"].as_u64().unwrap() + count["refused"].as_u64().unwrap();
    assert_eq!(Some(sum), count["requests"].as_u64(), "{count}");
    assert!(
        count["resent"].as_u64().unwrap() > 0,
        "no caller resent: {count}"
    );
}

/// Runs the demo with a mechanism disabled.
fn run_without(override_options: demo::EntryOverride) -> demo::DemoCount {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(demo::run_with(override_options)).unwrap()
}

/// Guards against a demo that doesn't detect a call that ran twice.
#[test]
fn demo_detects_doubled_calls() {
    let count = run_without(|options| options.without_claims());
    assert!(count.doubled > 0 && !count.is_good(), "{count:?}");
}

/// Guards against a demo that doesn't detect an interrupted stream.
#[test]
fn demo_detects_lost_streams() {
    let count = run_without(|options| options.without_resume());
    assert!(count.lost > 0 && !count.is_good(), "{count:?}");
}

/// Sends a chat request and returns the complete response as text.
fn chat(address: net::SocketAddr) -> String {
    use std::io::Read as _;
    let body = r#"{"model":"gum-8b","messages":[{"role":"user","content":"hi"}],"max_tokens":4}"#;
    let mut socket = net::TcpStream::connect(address).unwrap();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    answer
}

/// Guards against `demo --serve` that doesn't answer callers or doesn't stop on SIGTERM.
#[test]
fn served_demo_answers_until_sigterm() {
    let folder = TempFolder::new("demo-serve");
    let (log, address) = (folder.0.join("demo.log"), free_address());
    let program = env!("CARGO_BIN_EXE_pimentousher");
    let mut demo = Daemon::start(program, &["demo", "--serve", &address.to_string()], &log);
    let text = until("the base URL", || {
        let text = fs::read_to_string(&log).ok()?;
        text.contains("SIGTERM").then_some(text)
    });
    assert!(
        text.contains(&format!("base URL: http://{address}/v1\nmodels: gum-8b\n")),
        "{text}"
    );
    assert_eq!(get_status(address, "/v1/models"), Some(200));
    let answer = chat(address);
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains("\"role\":\"assistant\""), "{answer}");
    assert_eq!(demo.terminate(), Some(0));
}
