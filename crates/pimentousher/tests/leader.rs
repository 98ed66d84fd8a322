//! Tests that requests reach the leader and are resent unchanged after a lost response.

use std::{
    net,
    sync::{Arc, Mutex},
    time::Duration,
};

use pimentousher::leader::LeaderClient;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Behaviour of a mock node for one request.
#[derive(Clone, Debug)]
enum Reply {
    /// Closes the connection after it has read the request.
    Lose,
    /// Answers with half a JSON body that has no length.
    Cut,
    /// Redirects the request to itself.
    RedirectToSelf,
    /// Responds with a status line, extra headers and a body.
    Answer(&'static str, String, &'static str),
}

/// Mock control node that plays back its replies and records the request bodies.
struct MockNode {
    address: net::SocketAddr,
    bodies: Arc<Mutex<Vec<String>>>,
}

impl MockNode {
    async fn start(replies: Vec<Reply>) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bodies = Arc::new(Mutex::new(Vec::new()));
        let recorded = bodies.clone();
        tokio::spawn(async move {
            for reply in replies {
                let (mut socket, _) = listener.accept().await.unwrap();
                let body = read_body(&mut socket).await;
                recorded.lock().unwrap().push(body);
                let reply = match reply {
                    Reply::RedirectToSelf => redirect_to(address),
                    other => other,
                };
                if matches!(reply, Reply::Cut) {
                    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
                    let text = format!("{head}{{\"version\": 4, \"sheet\": \"service,reg");
                    socket.write_all(text.as_bytes()).await.unwrap();
                }
                if let Reply::Answer(status, headers, body) = reply {
                    let text = format!(
                        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    socket.write_all(text.as_bytes()).await.unwrap();
                    let _ = socket.shutdown().await;
                }
            }
        });
        Self { address, bodies }
    }

    fn bodies(&self) -> Vec<String> {
        self.bodies.lock().unwrap().clone()
    }
}

async fn read_body(socket: &mut tokio::net::TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = socket.read(&mut buffer).await.unwrap();
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().unwrap());
        if body.len() >= length {
            return body.to_owned();
        }
    }
}

fn ok(body: &'static str) -> Reply {
    Reply::Answer("200 OK", String::new(), body)
}

fn redirect_to(address: net::SocketAddr) -> Reply {
    let headers = format!("location: http://{address}/v1/config\r\n");
    Reply::Answer("307 Temporary Redirect", headers, "")
}

async fn post(
    nodes: &[&MockNode],
) -> Result<pimentousher::client::JsonResponse, pimentousher::error::CommandError> {
    let addresses = nodes.iter().map(|node| node.address).collect();
    let leader = LeaderClient::new(addresses, Duration::from_secs(20));
    let body = serde_json::json!({ "request_id": "r-1" });
    leader
        .send(&http::Method::POST, "/v1/config", Some(&body))
        .await
}

/// Guards against a follower's redirect that drops the body.
#[tokio::test]
async fn redirect_is_followed_with_the_body() {
    let leader = MockNode::start(vec![ok("{\"version\":4}")]).await;
    let follower = MockNode::start(vec![redirect_to(leader.address)]).await;
    let answer = post(&[&follower]).await.unwrap();
    assert_eq!(answer.body["version"], 4);
    assert_eq!(leader.bodies(), ["{\"request_id\":\"r-1\"}"]);
}

/// Guards against a resend under a new request id, with which the change would take effect twice.
#[tokio::test]
async fn request_is_resent_unchanged_after_a_lost_response() {
    let node = MockNode::start(vec![Reply::Lose, ok("{\"version\":4}")]).await;
    post(&[&node]).await.unwrap();
    let bodies = node.bodies();
    assert_eq!(bodies.len(), 2);
    assert_eq!(bodies[0], bodies[1]);
}

/// Guards against a command that takes half an answer for the whole one.
#[tokio::test]
async fn request_is_resent_after_a_cut_response() {
    let node = MockNode::start(vec![Reply::Cut, ok("{\"version\":4}")]).await;
    let answer = post(&[&node]).await.unwrap();
    assert_eq!(answer.body["version"], 4);
    assert_eq!(node.bodies().len(), 2);
}

/// Guards against a command that gives up during a leader election.
#[tokio::test]
async fn nodes_without_leader_are_tried_in_turn() {
    let no_leader = || {
        let body = "{\"error\":\"no leader is known; try again\"}";
        Reply::Answer("503 Service Unavailable", String::new(), body)
    };
    let first = MockNode::start(vec![no_leader(), no_leader()]).await;
    let second = MockNode::start(vec![no_leader(), ok("{}")]).await;
    post(&[&first, &second]).await.unwrap();
    assert_eq!((first.bodies().len(), second.bodies().len()), (2, 2));
}

/// Guards against an endless loop of redirects.
#[tokio::test]
async fn redirect_loop_ends() {
    let node = MockNode::start(vec![Reply::RedirectToSelf; 40]).await;
    let leader = LeaderClient::new(vec![node.address], Duration::from_millis(600));
    let error = leader.get("/v1/config").await.unwrap_err();
    let text = error.to_string();
    assert!(
        text.contains("the nodes don't agree on a leader yet"),
        "{text}"
    );
    assert_eq!(error.exit_code(), 1);
}

/// Guards against giving up after a redirect to a dead leader, although the next node would know
/// the new one.
#[tokio::test]
async fn redirect_to_a_dead_node_falls_back_to_the_next_node() {
    // Nobody listens on a reserved port.
    let dead = usher_ports::reserve_address();
    let first = MockNode::start(vec![redirect_to(dead)]).await;
    let second = MockNode::start(vec![ok("{}")]).await;
    post(&[&first, &second]).await.unwrap();
}

/// Guards against a retry of a request that the leader has refused.
#[tokio::test]
async fn refusal_is_returned_at_once() {
    let reply = Reply::Answer("409 Conflict", String::new(), "{\"version\":9}");
    let node = MockNode::start(vec![reply]).await;
    let answer = post(&[&node]).await.unwrap();
    assert_eq!(answer.status, http::StatusCode::CONFLICT);
    assert_eq!(node.bodies().len(), 1);
}
