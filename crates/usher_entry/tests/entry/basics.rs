//! Answers to valid and invalid calls when nothing fails.

use crate::support::{chat_body, instant, options, Fleet};

/// Guards against tokens that the entry loses or repeats.
#[tokio::test]
async fn stream_is_complete() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let reply = fleet.stream(40).await;
    reply.assert_complete(40);
    assert!(reply.headers.contains_key("x-request-id"));
    fleet.wait_idle().await;
}

/// Guards against a JSON answer that differs from the streamed one.
#[tokio::test]
async fn json_answer_has_text_and_usage() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let answer = fleet.chat(&chat_body(12, false)).await.json();
    let seed = answer["id"]
        .as_str()
        .unwrap()
        .strip_prefix("chatcmpl-")
        .unwrap();
    let choice = &answer["choices"][0];
    assert_eq!(
        choice["message"]["content"],
        usher_fake::reply_text(seed, 12)
    );
    assert_eq!(choice["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 12);
    assert_eq!(answer["object"], "chat.completion");
}

/// Guards against a `/v1/completions` stream in the format of chat.
#[tokio::test]
async fn plain_completion_has_text() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let body = serde_json::json!({ "model": "assist-1", "prompt": "crew 4", "max_tokens": 5 });
    let request = fleet.request("POST", "/v1/completions");
    let answer = fleet.send(request, body.to_string()).await.json();
    let seed = answer["id"]
        .as_str()
        .unwrap()
        .strip_prefix("cmpl-")
        .unwrap();
    assert_eq!(
        answer["choices"][0]["text"],
        usher_fake::reply_text(seed, 5)
    );
    assert_eq!(answer["object"], "text_completion");
}

/// Guards against a usage chunk sent to callers that didn't request it, or missing for those that
/// did.
#[tokio::test]
async fn usage_is_sent_on_request_only() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let without_usage = fleet.stream(3).await;
    assert!(
        !without_usage.text.contains("usage"),
        "{}",
        without_usage.text
    );
    let mut body = chat_body(3, true);
    body["stream_options"] = serde_json::json!({ "include_usage": true });
    let with_usage = fleet.chat(&body).await;
    let (chunks, done) = with_usage.chunks();
    let usage = &chunks.last().unwrap()["usage"];
    assert!(done);
    assert_eq!(usage["completion_tokens"], 3);
}

fn refuse(path: &'static str, body: &'static str, status: u16, param: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options()).await;
        let engine = fleet.engine(instant("engine-1")).await;
        let reply = fleet.send(fleet.request("POST", path), body).await;
        assert_eq!(reply.status, status, "{}", reply.text);
        assert_eq!(reply.run(), Some("not-run"));
        let error = &reply.json()["error"];
        assert_eq!(error["param"].as_str().unwrap_or("-"), param, "{error}");
        assert!(!error["message"].as_str().unwrap().is_empty());
        assert!(
            engine.requests().is_empty(),
            "the engine got a refused call"
        );
    });
}

const CHAT: &str = "/v1/chat/completions";

usher_types::cases! { refuse:
    /// Guards against malformed calls that reach an engine.
    body_is_not_json(CHAT, "{\"model\":", 400, "-");
    body_is_not_an_object(CHAT, "[1]", 400, "-");
    body_is_not_text(CHAT, "\u{0}\u{1}", 400, "-");
    model_is_missing(CHAT, r#"{"messages":[{"role":"user","content":"a"}]}"#, 400, "model");
    model_is_unknown(
        CHAT, r#"{"model":"other","messages":[{"role":"user","content":"a"}]}"#, 404, "model",
    );
    messages_are_missing(CHAT, r#"{"model":"assist-1"}"#, 400, "messages");
    messages_are_empty(CHAT, r#"{"model":"assist-1","messages":[]}"#, 400, "messages");
    message_has_no_role(CHAT, r#"{"model":"assist-1","messages":[{"content":"a"}]}"#, 400, "messages");
    stream_is_not_a_flag(
        CHAT, r#"{"model":"assist-1","stream":"yes","messages":[{"role":"user","content":"a"}]}"#,
        400, "stream",
    );
    limit_is_negative(
        CHAT, r#"{"model":"assist-1","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}"#,
        400, "max_tokens",
    );
    several_choices_are_requested(
        CHAT, r#"{"model":"assist-1","n":2,"messages":[{"role":"user","content":"a"}]}"#, 400, "n",
    );
    prompt_is_missing("/v1/completions", r#"{"model":"assist-1"}"#, 400, "prompt");
    path_is_unknown("/v1/embeddings", "{}", 404, "-");
    service_is_unknown("/svc/nobody/call-out", "{}", 404, "-");
}

/// Guards against a body that exhausts the entry's memory.
#[tokio::test]
async fn oversized_body_is_refused() {
    let fleet = Fleet::start(options().with_max_body(1_000)).await;
    let engine = fleet.engine(instant("engine-1")).await;
    let mut body = chat_body(3, true);
    body["messages"][0]["content"] = "x".repeat(2_000).into();
    let reply = fleet.chat(&body).await;
    assert_eq!((reply.status, reply.run()), (413, Some("not-run")));
    assert!(engine.requests().is_empty());
}

/// Guards against an oversized head that is buffered completely.
#[tokio::test]
async fn oversized_head_is_refused() {
    let fleet = Fleet::start(options()).await;
    let request = fleet
        .request("GET", "/healthz")
        .header("x-long", "x".repeat(20_000));
    assert_eq!(fleet.send(request, "").await.status, 431);
}

fn refuse_header(name: &'static str, value: &'static str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options()).await;
        let _engine = fleet.engine(instant("engine-1")).await;
        let request = fleet.request("POST", CHAT).header(name, value);
        let reply = fleet.send(request, chat_body(1, false).to_string()).await;
        assert_eq!((reply.status, reply.run()), (400, Some("not-run")));
        assert_eq!(reply.json()["error"]["param"], name);
    });
}

usher_types::cases! { refuse_header:
    /// Guards against invalid headers that are silently ignored or corrupt logs.
    deadline_is_not_a_number("x-deadline-ms", "soon");
    deadline_is_zero("x-deadline-ms", "0");
    team_has_spaces("x-team", "crew four");
    request_id_is_empty("x-request-id", "");
}

/// Guards against lost request ids and against decisions without an explanation.
#[tokio::test]
async fn request_id_leads_to_the_explanation() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let request = fleet.request("POST", CHAT).header("x-request-id", "call-7");
    let reply = fleet.send(request, chat_body(1, false).to_string()).await;
    assert_eq!(reply.headers["x-request-id"], "call-7");
    let explained = fleet.get("/v1/explain/call-7").await.json();
    let record = &explained["records"][0];
    assert_eq!(
        (record["step"].as_str(), record["target"].as_str()),
        (Some("route"), Some("engine-1"))
    );
    assert_eq!(fleet.get("/v1/explain/call-8").await.status, 404);
}

/// Guards against a team whose calls are accounted to another team or firm.
#[tokio::test]
async fn token_and_team_determine_the_account() {
    let directory = usher_entry::AccountDirectory::new()
        .with_team("night", "tamar")
        .with_token("secret", "night");
    let fleet = Fleet::start(options().with_accounts(directory)).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    for (token, team, firm) in [
        ("Bearer secret", "night", "tamar"),
        ("Bearer other", "day", "derwent"),
    ] {
        let request = fleet
            .request("POST", CHAT)
            .header("authorization", token)
            .header("x-team", "day")
            .header("x-firm", "derwent");
        let reply = fleet.send(request, chat_body(1, false).to_string()).await;
        assert_eq!(reply.status, 200);
        assert_eq!(
            fleet.outcomes.last_account(),
            (team.to_owned(), firm.to_owned())
        );
    }
}

/// Guards against callers with equal request ids that get each other's answer or cancel each
/// other's call.
#[tokio::test]
async fn equal_request_ids_are_distinguished() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(instant("engine-1")).await;
    for _ in 0..2 {
        let request = fleet.request("POST", CHAT).header("x-request-id", "call-7");
        fleet.send(request, chat_body(1, false).to_string()).await;
    }
    let ids = engine.requests();
    assert_ne!(ids[0], ids[1]);
}

/// Guards against a list of models that a client library can't read.
#[tokio::test]
async fn models_of_sheet_and_targets_are_listed() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let sheet = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
                 assist,engine,south-a,gum-8b,3,,0,0,4,2\n";
    fleet.control.set_config(1, sheet);
    crate::support::wait_for("the sheet is applied", || {
        fleet.node.status().config.get() == 1
    })
    .await;
    let list = fleet.get("/v1/models").await.json();
    let models = list["data"].as_array().unwrap();
    let ids: Vec<_> = models
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    assert_eq!(ids, ["assist-1", "gum-8b"]);
}

/// Guards against invalid announcements that reach control.
#[tokio::test]
async fn invalid_announcement_is_refused() {
    let fleet = Fleet::start(options()).await;
    for body in ["{}", "{\"name\": \"a b\"}", "not json"] {
        let request = fleet.request("POST", "/v1/targets/announce");
        assert_eq!(fleet.send(request, body).await.status, 400, "{body}");
    }
    assert!(fleet.control.target_names().is_empty());
}

/// Guards against a JSON answer whose usage has no prompt tokens, as seen with the OpenAI client.
#[tokio::test]
async fn json_answer_reports_usage() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let usage = fleet.chat(&chat_body(3, false)).await.json()["usage"].clone();
    assert!(usage["prompt_tokens"].as_u64() > Some(0), "{usage}");
    assert_eq!(usage["completion_tokens"], 3);
}
