//! Tests of the decision whether an answer is complete.

use usher_answer::{AnswerCheck, AnswerFault, EventSplitter, StreamBody};

/// The headers that frame a body.
const LENGTH: (&str, &str) = ("content-length", "7");
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");
const NONE: (&str, &str) = ("x-none", "");

const EVENTS: (&str, &str) = ("content-type", "text/event-stream; charset=utf-8");
const JSON: (&str, &str) = ("content-type", "Application/JSON");
const PROBLEM: (&str, &str) = ("content-type", "application/problem+json");
const TEXT: (&str, &str) = ("content-type", "text/plain");

fn check(headers: &[(&'static str, &'static str)], body: &str) -> Result<(), AnswerFault> {
    let headers = headers.iter().map(|(name, value)| {
        let value = http::HeaderValue::from_static(value);
        (http::HeaderName::from_static(name), value)
    });
    let headers = headers.collect();
    let mut whole = AnswerCheck::new(&headers);
    whole.add(body.as_bytes());
    let mut parts = AnswerCheck::new(&headers);
    body.as_bytes().iter().for_each(|byte| parts.add(&[*byte]));
    assert_eq!(
        whole.at_end(),
        parts.at_end(),
        "the parts make no difference"
    );
    whole.at_end()
}

fn is_complete(
    framing: (&'static str, &'static str),
    kind: (&'static str, &'static str),
    body: &str,
) {
    assert_eq!(check(&[framing, kind], body), Ok(()));
}

fn is_broken(
    framing: (&'static str, &'static str),
    kind: (&'static str, &'static str),
    body: &str,
) {
    check(&[framing, kind], body).expect_err(body);
}

usher_types::cases! { is_complete:
    /// Guards against whole answers that aren't delivered because they have no length.
    stream_without_length(NONE, EVENTS, "data: a\n\ndata: b\n\n");
    stream_with_a_last_comment(NONE, EVENTS, "data: a\n\n: end\n");
    json_without_length(NONE, JSON, "{\"a\": [\"}\\\"\", 1]}\n");
    json_number_without_length(NONE, JSON, "17");
    text_without_length(NONE, TEXT, "half a sen");
    nothing_without_length(NONE, TEXT, "");
    untyped_without_length(NONE, NONE, "id: 1\ndata");
    /// Guards against a check of content whose framing shows its end.
    json_with_a_length(LENGTH, JSON, "{\"a\": ");
    json_in_chunks(CHUNKED, JSON, "");
    stream_without_events_in_chunks(CHUNKED, EVENTS, "");
}

usher_types::cases! { is_broken:
    /// Guards against streams that look complete although they were broken off inside an event.
    stream_without_length_inside_an_event(NONE, EVENTS, "data: a\n\nda");
    stream_with_a_length_inside_an_event(LENGTH, EVENTS, "data: a");
    stream_in_chunks_inside_an_event(CHUNKED, EVENTS, "data: a\n\ndata: b\n");
    stream_without_length_and_events(NONE, EVENTS, ": hello\n\n");
    /// Guards against handles and recorded answers that rest on half a document.
    json_inside_an_object(NONE, JSON, "{\"a\": 1");
    json_inside_a_string(NONE, PROBLEM, "\"a\\\"");
    json_before_its_value(NONE, JSON, " ");
}

/// Guards against a stream without a type that is passed on as complete on a route of streams.
#[test]
fn untyped_stream_may_be_taken_for_events() {
    let mut check = AnswerCheck::new(&http::HeaderMap::new()).with_default_events();
    check.add(b"data: a\n\ndata: b");
    assert_eq!(check.at_end(), Err(AnswerFault::InsideEvent { events: 1 }));
    let mut headers = http::HeaderMap::new();
    headers.insert("content-type", http::HeaderValue::from_static("text/plain"));
    let typed = AnswerCheck::new(&headers).with_default_events();
    assert!(!typed.has_events());
}

/// Guards against events that are changed, joined or lost by the way in which they arrive.
#[test]
fn splitter_returns_each_event_once() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 3\rdata: d\r\rid: 4\n";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::new(1_024);
        let mut events = Vec::new();
        for (number, bytes) in stream.chunks(size).enumerate() {
            splitter.push(bytes).unwrap();
            if number % 2 == 0 {
                events.extend(std::iter::from_fn(|| splitter.next_event()).flatten());
            } else {
                events.extend(splitter.take_events().unwrap_or_default());
            }
        }
        assert!(events.ends_with(b"data: d\r\r"), "parts of {size} bytes");
        events.extend(splitter.take_rest());
        assert_eq!(events, stream, "parts of {size} bytes");
    }
}

/// Guards against an event without end that fills the memory.
#[test]
fn splitter_gives_up_an_endless_event() {
    let mut splitter = EventSplitter::new(64);
    let pushed = (0..40).map(|_| {
        splitter.push(b"data: more")?;
        assert_eq!(splitter.take_events(), None);
        Ok::<_, AnswerFault>(())
    });
    assert_eq!(pushed.last(), Some(Err(AnswerFault::TooLong { limit: 64 })));
}

/// Guards against an answer that looks complete because the task that relays it was dropped.
#[tokio::test]
async fn dropped_sender_breaks_the_body_off() {
    use http_body_util::BodyExt as _;
    let (sender, body) = StreamBody::new(4);
    assert!(sender.send(bytes::Bytes::from_static(b"a")).await);
    drop(sender);
    body.collect().await.expect_err("broken off");
    let (sender, body) = StreamBody::new(4);
    assert!(sender.send(bytes::Bytes::from_static(b"a")).await);
    sender.finish();
    assert_eq!(&body.collect().await.unwrap().to_bytes()[..], b"a");
}
