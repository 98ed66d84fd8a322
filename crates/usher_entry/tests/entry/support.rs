//! Test fixture: an entry with an in-memory control, fake targets and an HTTP client.

use std::{net, sync, time};

use http_body_util::BodyExt as _;
use usher_entry::{
    EntryBuilder, EntryNode, EntryOptions, MemoryControl, MemoryLink, OutcomeCause, OutcomeEvent,
    OutcomeSink, TypeSet,
};
use usher_fake::{EngineOptions, FakeEngine, FakeService, ServiceOptions};
use usher_kernel::StopSource;
use usher_policy::EntryPolicy;
use usher_types::ManualClock;

pub(crate) type Node = EntryNode<TypeSet<MemoryLink, ManualClock, OutcomeLog, EntryPolicy>>;
pub(crate) type HttpClient = hyper_util::client::legacy::Client<
    hyper_util::client::legacy::connect::HttpConnector,
    http_body_util::Full<bytes::Bytes>,
>;

/// Timeout of [`wait_for`]; reached only by a failing test.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// An outcome sink that keeps all outcomes.
#[derive(Clone, Default)]
pub(crate) struct OutcomeLog {
    events: sync::Arc<sync::Mutex<Vec<OutcomeEvent>>>,
}

impl OutcomeSink for OutcomeLog {
    fn record(&self, event: OutcomeEvent) {
        self.events.lock().unwrap().push(event);
    }
}

impl OutcomeLog {
    /// Returns team and firm of each outcome.
    pub(crate) fn accounts(&self) -> Vec<(String, String)> {
        let events = self.events.lock().unwrap();
        let events = events.iter();
        events
            .map(|event| (event.team.to_string(), event.firm.to_string()))
            .collect()
    }

    pub(crate) fn causes(&self) -> Vec<OutcomeCause> {
        let events = self.events.lock().unwrap();
        events.iter().map(|event| event.cause).collect()
    }
}

impl OutcomeLog {
    /// Returns team and firm of the last outcome.
    pub(crate) fn last_account(&self) -> (String, String) {
        let events = self.events.lock().unwrap();
        let event = events.last().unwrap();
        (event.team.to_string(), event.firm.to_string())
    }
}

/// One entry with its control, clock, outcomes and a client.
pub(crate) struct Fleet {
    pub(crate) control: MemoryControl,
    pub(crate) node: Node,
    pub(crate) stop: StopSource,
    pub(crate) clock: ManualClock,
    pub(crate) outcomes: OutcomeLog,
    pub(crate) client: HttpClient,
}

pub(crate) fn options() -> EntryOptions {
    EntryOptions::new("entry-1", "south-a")
        .with_heartbeat(time::Duration::from_millis(10))
        .with_unready_notice(time::Duration::ZERO)
        .with_cache_poll(time::Duration::ZERO)
}

impl Fleet {
    pub(crate) async fn start(options: EntryOptions) -> Self {
        let control = MemoryControl::new();
        let clock = ManualClock::new();
        control.set_clock(clock.clone());
        let outcomes = OutcomeLog::default();
        let (stop, signal) = StopSource::new();
        let node = EntryBuilder::new(options, control.link())
            .with_clock(clock.clone())
            .with_outcomes(outcomes.clone())
            .start(signal)
            .await
            .unwrap();
        let client =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http();
        let fleet = Self {
            control,
            node,
            stop,
            clock,
            outcomes,
            client,
        };
        wait_for("the entry is ready", || fleet.node.status().ready).await;
        fleet
    }

    pub(crate) async fn engine(&self, options: EngineOptions) -> FakeEngine {
        let name = options.name.clone();
        let options = options
            .with_entries(vec![self.node.address()])
            .with_announce_interval(time::Duration::from_millis(20))
            .with_load_lag(time::Duration::ZERO);
        let before = self.node.status().targets;
        let engine = FakeEngine::start(options).await.unwrap();
        wait_for(&format!("{name} is registered"), || {
            self.node.status().targets > before
        })
        .await;
        engine
    }

    pub(crate) async fn service(&self, options: ServiceOptions) -> FakeService {
        let options = options
            .with_entries(vec![self.node.address()])
            .with_announce_interval(time::Duration::from_millis(20));
        let before = self.node.status().targets;
        let service = FakeService::start(options).await.unwrap();
        wait_for("the service is registered", || {
            self.node.status().targets > before
        })
        .await;
        service
    }

    /// Announces the only target and waits until the entry has registered it.
    pub(crate) async fn announce(&self, announcement: &serde_json::Value) {
        let request = self.request("POST", "/v1/targets/announce");
        let reply = self.send(request, announcement.to_string()).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
        wait_for("the target is registered", || {
            self.node.status().targets == 1
        })
        .await;
    }

    pub(crate) fn request(&self, method: &str, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.node.address());
        http::Request::builder().method(method).uri(uri)
    }

    pub(crate) async fn send(
        &self,
        request: http::request::Builder,
        body: impl Into<bytes::Bytes>,
    ) -> Reply {
        let request = request
            .body(http_body_util::Full::new(body.into()))
            .unwrap();
        Reply::read(self.client.request(request).await.unwrap()).await
    }

    pub(crate) async fn get(&self, path: &str) -> Reply {
        self.send(self.request("GET", path), "").await
    }

    pub(crate) async fn chat(&self, body: &serde_json::Value) -> Reply {
        let request = self.request("POST", "/v1/chat/completions");
        self.send(request, body.to_string()).await
    }

    pub(crate) async fn stream(&self, tokens: u64) -> Reply {
        self.chat(&chat_body(tokens, true)).await
    }

    /// Fills the retry budget, which allows one extra attempt per about twelve calls.
    pub(crate) async fn fill_budget(&self) {
        for _ in 0..30 {
            let reply = self.chat(&chat_body(1, false)).await;
            assert_eq!(reply.status, 200, "{}", reply.text);
        }
    }

    /// Waits until no call is running and no attempt is accounted to a target.
    pub(crate) async fn wait_idle(&self) {
        wait_for("nothing is outstanding", || {
            let status = self.node.status();
            status.outstanding == 0 && status.running == 0
        })
        .await;
    }
}

/// A received response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) text: String,
    /// Whether the body ended without an error.
    pub(crate) complete: bool,
}

impl Reply {
    pub(crate) async fn read(response: http::Response<hyper::body::Incoming>) -> Self {
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            text: String::from_utf8_lossy(&bytes).into_owned(),
            complete,
        }
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    pub(crate) fn run(&self) -> Option<&str> {
        self.headers
            .get("x-run")
            .map(|value| value.to_str().unwrap())
    }

    pub(crate) fn code(&self) -> String {
        let json = self.json();
        json["error"]["code"].as_str().unwrap_or("-").to_owned()
    }

    /// Returns the chunks of a stream and whether the `[DONE]` event arrived.
    pub(crate) fn chunks(&self) -> (Vec<serde_json::Value>, bool) {
        let lines = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = lines.filter_map(|line| serde_json::from_str(line).ok());
        (chunks.collect(), self.text.ends_with("data: [DONE]\n\n"))
    }

    /// Returns the text of a stream and the expected text.
    pub(crate) fn texts(&self, tokens: u64) -> (String, String) {
        let (chunks, _) = self.chunks();
        let text = chunks
            .iter()
            .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
            .collect();
        let id = chunks.first().and_then(|chunk| chunk["id"].as_str());
        let seed = id.and_then(|id| id.strip_prefix("chatcmpl-")).unwrap_or("");
        (text, usher_fake::reply_text(seed, tokens))
    }

    /// Asserts that a stream is the complete answer to its own request.
    pub(crate) fn assert_complete(&self, tokens: u64) {
        assert_eq!(self.status, 200, "{}", self.text);
        let (text, expected) = self.texts(tokens);
        assert_eq!(text, expected);
        assert!(self.chunks().1, "the last event is missing: {}", self.text);
        assert!(self.complete, "the body was cut");
    }
}

pub(crate) fn chat_body(tokens: u64, stream: bool) -> serde_json::Value {
    serde_json::json!({
        "model": "assist-1", "stream": stream, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "where is crew 4?" }],
    })
}

/// Returns options of an engine that takes some time for each token.
pub(crate) fn steady(name: &str) -> EngineOptions {
    EngineOptions::new(name).with_time_scale(10.0)
}

/// Returns options of an engine without delays.
pub(crate) fn instant(name: &str) -> EngineOptions {
    EngineOptions::new(name).without_delays()
}

pub(crate) async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

/// Opens a TCP connection on which a test writes and reads raw bytes.
pub(crate) async fn raw_socket(address: net::SocketAddr) -> tokio::net::TcpStream {
    tokio::net::TcpStream::connect(address).await.unwrap()
}
