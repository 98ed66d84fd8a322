//! Prompts that crash engines: their calls are refused after some crashes, and other calls are served.

use std::{sync, sync::atomic, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_types::ManualClock;

use crate::{
    hostile,
    support::{options, wait_for, Fleet, Reply},
};

/// Text in prompts that crash engines.
const POISON: &str = "poison";

/// Number of engines.
const ENGINES: usize = 4;

/// Maximum number of calls with such a prompt that reach engines.
const MAX_ARRIVALS: usize = 3;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// An engine that crashes on some prompts, and is back as another process at once.
#[derive(Clone)]
struct CrashingEngine {
    name: String,
    address: std::net::SocketAddr,
    entry: std::net::SocketAddr,
    clock: ManualClock,
    process: sync::Arc<atomic::AtomicU64>,
    arrivals: sync::Arc<atomic::AtomicUsize>,
}

impl CrashingEngine {
    async fn announce(&self) {
        let body = serde_json::json!({
            "name": self.name, "address": self.address,
            "incarnation": self.process.load(atomic::Ordering::SeqCst),
            "kind": "engine", "service": "assist", "model": "assist-1", "region": "south-a",
            "domain": "domain-1", "kv_pieces": 512,
        })
        .to_string();
        let mut socket = tokio::net::TcpStream::connect(self.entry).await.unwrap();
        let request = format!(
            "POST /v1/targets/announce HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        socket.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }

    async fn serve(self, listener: tokio::net::TcpListener) {
        while let Ok((mut socket, _)) = listener.accept().await {
            let Some((id, crashes)) = read_call(&mut socket).await else {
                continue;
            };
            // The clock of the entry stands still unless a test advances it.
            self.clock.advance(time::Duration::from_millis(5));
            let _ = socket.write_all(HEAD).await;
            if crashes {
                self.arrivals.fetch_add(1, atomic::Ordering::SeqCst);
                drop(socket);
                self.process.fetch_add(1, atomic::Ordering::SeqCst);
                self.announce().await;
            } else {
                let _ = socket.write_all(&hostile::events(&id).concat()).await;
            }
        }
    }
}

/// Reads a call; returns its id and whether its prompt crashes engines.
async fn read_call(socket: &mut tokio::net::TcpStream) -> Option<(String, bool)> {
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 16_384];
        let read = socket.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes);
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
        let json = body.and_then(|body| serde_json::from_str::<serde_json::Value>(body).ok());
        if let Some(json) = json {
            let id = json["seed_id"].as_str()?.to_owned();
            return Some((id, text.contains(POISON)));
        }
    }
}

async fn start() -> (Fleet, sync::Arc<atomic::AtomicUsize>) {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(600))).await;
    let arrivals = sync::Arc::<atomic::AtomicUsize>::default();
    for number in 0..ENGINES {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine = CrashingEngine {
            name: format!("engine-{number}"),
            address: listener.local_addr().unwrap(),
            entry: fleet.node.address(),
            clock: fleet.clock.clone(),
            process: sync::Arc::new(atomic::AtomicU64::new(1)),
            arrivals: arrivals.clone(),
        };
        engine.announce().await;
        tokio::spawn(engine.serve(listener));
    }
    wait_for("the engines are registered", || {
        fleet.node.status().targets == ENGINES
    })
    .await;
    (fleet, arrivals)
}

async fn call(fleet: &Fleet, prompt: &str) -> Reply {
    fleet.clock.advance(time::Duration::from_millis(200));
    let body = serde_json::json!({
        "model": "assist-1", "max_tokens": 8,
        "messages": [{ "role": "user", "content": prompt }],
    });
    fleet.chat(&body).await
}

/// A document that prompts share, longer than a piece of KV cache.
fn document(text: &str) -> String {
    text.repeat(6_000 / text.len())
}

/// Checks that calls of prompts that crash engines are refused after three crashes.
fn check_prompts(prompt: fn(usize) -> String) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (fleet, arrivals) = start().await;
        let mut reply = call(&fleet, &prompt(0)).await;
        for number in 1..12 {
            assert_ne!(reply.status, 200);
            reply = call(&fleet, &prompt(number)).await;
        }
        let arrivals = arrivals.load(atomic::Ordering::SeqCst);
        assert!(arrivals <= MAX_ARRIVALS, "{arrivals} calls reached engines");
        assert_eq!((reply.status, reply.code().as_str()), (503, "quarantined"));
        assert_eq!(reply.run(), Some("not-run"));
        let sound = call(&fleet, &format!("{} and a question", document("sound "))).await;
        assert_eq!(sound.status, 200, "{}", sound.text);
    });
}

// Guards against prompts that crash one engine after the other, by new calls, retries and resumes.
usher_types::cases! { check_prompts:
    shared_document(|number| format!("{} question {number}", document("poison ")));
    same_short_prompt(|_| "poison".to_owned());
}
