//! Formats answers in the OpenAI format, as SSE or as a JSON body. Not for: generating the text.

use crate::{batch, tokens};

/// The request data needed to format its answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFormat {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) include_usage: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) created: u64,
}

/// Bytes that are not valid SSE events.
const GARBAGE: &str = "\u{0}\u{1}<html>502 upstream</html>\n\ndata: {\"choices\": [{\"del\n\n";

impl AnswerFormat {
    /// Formats an event of the batch as SSE; also returns whether the stream ends with it.
    pub(crate) fn event(&self, event: &batch::StreamEvent) -> (String, bool) {
        match event {
            batch::StreamEvent::Token(index) => (self.token_event(*index), false),
            batch::StreamEvent::Done(tokens) => (self.final_events(*tokens), true),
            batch::StreamEvent::Garbage => (GARBAGE.to_owned(), true),
            batch::StreamEvent::Cut => (String::new(), true),
        }
    }

    fn token_event(&self, index: u64) -> String {
        let text = tokens::token_text(&self.id, index);
        let choice = if self.chat {
            let mut delta = serde_json::json!({ "content": text });
            if index == 0 {
                delta["role"] = "assistant".into();
            }
            serde_json::json!({ "index": 0, "delta": delta, "finish_reason": null })
        } else {
            serde_json::json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.chunk_event(&serde_json::json!([choice]), Some(index), None)
    }

    fn final_events(&self, completion_tokens: u64) -> String {
        let mut choice = serde_json::json!({ "index": 0, "finish_reason": "length" });
        if self.chat {
            choice["delta"] = serde_json::json!({});
        } else {
            choice["text"] = "".into();
        }
        let mut lines = self.chunk_event(&serde_json::json!([choice]), None, None);
        if self.include_usage {
            let usage = self.usage(completion_tokens);
            lines.push_str(&self.chunk_event(&serde_json::json!([]), None, Some(usage)));
        }
        lines.push_str("data: [DONE]\n\n");
        lines
    }

    fn usage(&self, completion_tokens: u64) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }

    fn chunk_event(
        &self,
        choices: &serde_json::Value,
        token_index: Option<u64>,
        usage: Option<serde_json::Value>,
    ) -> String {
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let mut chunk = serde_json::json!({
            "id": self.answer_id(),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if let Some(index) = token_index {
            chunk["token_index"] = index.into();
        }
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n")
    }

    fn answer_id(&self) -> String {
        let kind = if self.chat { "chatcmpl" } else { "cmpl" };
        format!("{kind}-{}", self.id)
    }

    /// Formats the complete answer as a JSON body.
    pub(crate) fn json_body(&self, text: &str, completion_tokens: u64) -> serde_json::Value {
        let choice = if self.chat {
            let message = serde_json::json!({ "role": "assistant", "content": text });
            serde_json::json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            serde_json::json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        serde_json::json!({
            "id": self.answer_id(),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(completion_tokens),
        })
    }
}
