//! Parses the data of an SSE event from an engine's stream.
//!
//! Not for: splitting a stream into events.

use std::borrow::Cow;

use crate::model::sse::StreamFault;

/// Data of the event that terminates a stream.
pub(crate) const DONE: &str = "[DONE]";

/// The complete event that terminates a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

#[derive(serde::Deserialize)]
struct ChunkView<'a> {
    #[serde(default, borrow)]
    choices: Option<Vec<ChoiceView<'a>>>,
    #[serde(default)]
    token_index: Option<u64>,
    #[serde(default)]
    usage: Option<UsageView>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(serde::Deserialize)]
struct ChoiceView<'a> {
    #[serde(default, borrow)]
    delta: Option<DeltaView<'a>>,
    #[serde(default, borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(serde::Deserialize)]
struct DeltaView<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    reasoning_content: Option<Cow<'a, str>>,
    #[serde(default)]
    tool_calls: Option<Vec<serde::de::IgnoredAny>>,
}

/// Token counts reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(default)]
pub(crate) struct UsageView {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
}

/// The properties of an event that the relay uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChunkInfo {
    /// Whether the event terminates the stream.
    pub(crate) done: bool,
    /// Whether the event carries a token.
    pub(crate) token: bool,
    /// Index of the token, if the engine reports it.
    pub(crate) token_index: Option<u64>,
    /// Text of the token.
    pub(crate) text: String,
    /// Whether the event carries parts of tool calls.
    pub(crate) tools: bool,
    /// Finish reason, in the chunk that ends the answer.
    pub(crate) finish: Option<String>,
    /// Token counts of the complete answer.
    pub(crate) usage: Option<UsageView>,
}

/// Parses the data of an event.
pub(crate) fn read_chunk(data: &str) -> Result<ChunkInfo, StreamFault> {
    if data == DONE {
        return Ok(ChunkInfo {
            done: true,
            ..ChunkInfo::default()
        });
    }
    let view: ChunkView<'_> = serde_json::from_str(data)
        .map_err(|_| StreamFault::Malformed("data is not a JSON chunk"))?;
    if view.error.is_some() {
        return Err(StreamFault::Error);
    }
    let Some(choices) = view.choices else {
        return Err(StreamFault::Malformed("chunk has no choices"));
    };
    let mut info = ChunkInfo {
        token_index: view.token_index,
        usage: view.usage,
        ..ChunkInfo::default()
    };
    let Some(choice) = choices.into_iter().next() else {
        return Ok(info);
    };
    info.finish = choice.finish_reason.map(Cow::into_owned);
    if let Some(delta) = choice.delta {
        info.tools = delta.tool_calls.is_some_and(|calls| !calls.is_empty());
        let reasoning = delta.reasoning_content.is_some_and(|text| !text.is_empty());
        info.text = delta.content.map(Cow::into_owned).unwrap_or_default();
        info.token = info.tools || reasoning;
    } else if let Some(text) = choice.text {
        info.text = text.into_owned();
    }
    info.token |= !info.text.is_empty() || info.token_index.is_some();
    Ok(info)
}

/// Replaces `id`, `created` and `model` of a chunk by those of the stream's first chunk.
pub(crate) fn rewrite_chunk(data: &str, first: &str) -> Option<String> {
    let first: serde_json::Value = serde_json::from_str(first).ok()?;
    let mut chunk: serde_json::Value = serde_json::from_str(data).ok()?;
    for field in ["id", "created", "model"] {
        if let Some(value) = first.get(field) {
            *chunk.get_mut(field)? = value.clone();
        }
    }
    Some(format!("data: {chunk}\n\n"))
}
