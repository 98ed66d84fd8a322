//! Collects a stream into a single JSON answer.
//!
//! Not for: streamed answers.

use serde_json::{json, Value};

use crate::model::{chunk, relay, sse};

/// Accumulates the events of a stream.
#[derive(Debug, Default)]
pub(crate) struct AnswerCollector {
    first_chunk: Option<Value>,
    text: String,
    tool_calls: Vec<Value>,
    finish: Option<String>,
    /// Missing when the engine broke off behind the last token.
    usage: Option<chunk::UsageView>,
    tokens: u64,
}

impl AnswerCollector {
    /// Adds one event.
    pub(crate) fn add(&mut self, event: &relay::RelayEvent) {
        let info = &event.info;
        if self.first_chunk.is_none() || info.tools {
            let data = sse::event_data(&event.raw).ok().flatten();
            let chunk: Option<Value> = data.and_then(|data| serde_json::from_str(data).ok());
            if let Some(chunk) = chunk {
                self.add_tools(&chunk);
                self.first_chunk.get_or_insert(chunk);
            }
        }
        self.text.push_str(&info.text);
        self.tokens += u64::from(info.token);
        if let Some(finish) = &info.finish {
            self.finish = Some(finish.clone());
        }
        self.usage = info.usage.or(self.usage);
    }

    /// Concatenates the parts of tool calls, which arrive split like text.
    fn add_tools(&mut self, chunk: &Value) {
        let Some(parts) = chunk["choices"][0]["delta"]["tool_calls"].as_array() else {
            return;
        };
        for part in parts {
            let index = part["index"].as_u64().unwrap_or(0);
            let known = self
                .tool_calls
                .iter_mut()
                .find(|call| call["index"] == index);
            let Some(known) = known else {
                self.tool_calls.push(part.clone());
                continue;
            };
            let more = part["function"]["arguments"].as_str().unwrap_or("");
            let arguments = known["function"]["arguments"].as_str().unwrap_or("");
            let joined = format!("{arguments}{more}");
            known["function"]["arguments"] = joined.into();
        }
    }

    /// Returns the answer in the OpenAI format.
    pub(crate) fn to_json(&self, chat: bool, model: &str) -> Value {
        let first_chunk = self.first_chunk.as_ref().unwrap_or(&Value::Null);
        let finish = self.finish.as_deref();
        let (object, choice) = if chat {
            let mut message = json!({ "role": "assistant", "content": self.text });
            if !self.tool_calls.is_empty() {
                message["tool_calls"] = self.tool_calls.clone().into();
            }
            let choice = json!({ "index": 0, "message": message, "finish_reason": finish });
            ("chat.completion", choice)
        } else {
            let choice = json!({ "index": 0, "text": self.text, "finish_reason": finish });
            ("text_completion", choice)
        };
        let usage = self.usage.map(|usage| {
            let completion_tokens = usage.completion_tokens.max(self.tokens);
            json!({
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": completion_tokens,
                "total_tokens": usage.prompt_tokens + completion_tokens,
            })
        });
        json!({
            "id": first_chunk["id"],
            "object": object,
            "created": first_chunk["created"],
            "model": first_chunk.get("model").and_then(Value::as_str).unwrap_or(model),
            "choices": [choice],
            "usage": usage,
        })
    }
}
