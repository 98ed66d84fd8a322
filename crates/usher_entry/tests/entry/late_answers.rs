//! Targets that write an earlier answer once more on a kept connection: nobody gets it but its own
//! caller.

use tokio::io::AsyncWriteExt as _;

use crate::{
    hostile::{announce_engine, events, read_request, TOKENS},
    support::{options, Fleet},
};

/// Whether a target names the request that it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerId {
    Stated,
    Missing,
}

/// Serves an engine that writes the first stream of a connection again before each later one.
async fn serve_repeating_engine(listener: tokio::net::TcpListener, answer_id: AnswerId) {
    while let Ok((mut socket, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut first = None;
            while let Some(id) = read_request(&mut socket).await {
                let body = events(&id).concat();
                let header = match answer_id {
                    AnswerId::Stated => format!("x-request-id: {id}\r\n"),
                    AnswerId::Missing => String::new(),
                };
                let mut answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{header}\
                     content-length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                answer.extend(body);
                let earlier = first.get_or_insert_with(|| answer.clone());
                let bytes = if *earlier == answer {
                    answer
                } else {
                    [earlier.clone(), answer].concat()
                };
                if socket.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn check_streams(answer_id: AnswerId) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let long_suspect_options = options().with_suspect_after(std::time::Duration::from_secs(60));
        let fleet = Fleet::start(long_suspect_options).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        announce_engine(&fleet, &listener).await;
        tokio::spawn(serve_repeating_engine(listener, answer_id));
        let mut seeds = std::collections::BTreeSet::new();
        for _ in 0..6 {
            let reply = fleet.stream(TOKENS).await;
            if reply.status == 200 {
                reply.assert_complete(TOKENS);
                let (chunks, _) = reply.chunks();
                let seed = chunks[0]["id"].as_str().unwrap().to_owned();
                assert!(seeds.insert(seed), "two callers got one answer");
            }
        }
        assert!(!seeds.is_empty());
    });
}

// Guards against the stream of an earlier caller that reaches the next one on its connection.
usher_types::cases! { check_streams:
    repeated_stream_with_an_id(AnswerId::Stated);
    repeated_stream_without_an_id(AnswerId::Missing);
}

/// Serves a plain target that writes the first answer of a connection again before each later one;
/// the body is the path of the call.
async fn serve_repeating_service(listener: tokio::net::TcpListener, answer_id: AnswerId) {
    use tokio::io::AsyncReadExt as _;
    while let Ok((mut socket, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut first = None;
            let mut buffer = vec![0; 4_096];
            while let Ok(read @ 1..) = socket.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let path = text.split(' ').nth(1).unwrap_or_default();
                let path = path.rsplit('/').next().unwrap_or_default().to_owned();
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("x-request-id: "));
                let header = match answer_id {
                    AnswerId::Stated => format!("x-request-id: {}\r\n", id.unwrap_or_default()),
                    AnswerId::Missing => String::new(),
                };
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{header}content-length: {}\r\n\r\n{path}",
                    path.len()
                );
                let earlier = first.get_or_insert_with(|| answer.clone());
                let bytes = if *earlier == answer {
                    answer
                } else {
                    format!("{earlier}{answer}")
                };
                if socket.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn check_plain(answer_id: AnswerId) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let long_suspect_options = options().with_suspect_after(std::time::Duration::from_secs(60));
        let fleet = Fleet::start(long_suspect_options).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let announcement = serde_json::json!({
            "name": "rounds-1", "incarnation": 1, "address": listener.local_addr().unwrap(),
            "kind": "plain", "service": "rounds", "region": "south-a", "domain": "domain-1",
        });
        fleet.announce(&announcement).await;
        tokio::spawn(serve_repeating_service(listener, answer_id));
        let mut answered = 0;
        for number in 0..6 {
            // Callers may give several calls the same id.
            let request = fleet
                .request("GET", &format!("/svc/rounds/call-{number}"))
                .header("x-request-id", "of-a-caller");
            let reply = fleet.send(request, "").await;
            if reply.status == 200 {
                assert_eq!(reply.text, format!("call-{number}"));
                answered += 1;
            }
        }
        assert!(answered > 0);
    });
}

// Guards against the answer to an earlier plain call that reaches the next caller.
usher_types::cases! { check_plain:
    repeated_answer_with_an_id(AnswerId::Stated);
    repeated_answer_without_an_id(AnswerId::Missing);
}
