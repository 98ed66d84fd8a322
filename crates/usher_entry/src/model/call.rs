//! Parses and validates the body of a model call and builds the engine's request body.
//!
//! Not for: headers.

use serde_json::{Map, Value};
use usher_policy::PromptPrefix;
use usher_quarantine::PartId;
use usher_types::TokenCount;

use crate::{error::CallError, model::prompt};

/// Maximum number of output tokens that a call may request.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// Body fields that only the entry sets; they are removed from callers' bodies.
const RESERVED_FIELDS: [&str; 4] = ["priority", "seed_id", "resume_from", "adapter"];

/// A validated model call.
#[derive(Clone, Debug)]
pub(crate) struct ModelCall {
    pub(crate) chat: bool,
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) prompt: TokenCount,
    pub(crate) prefixes: Vec<PromptPrefix>,
    /// The prompt and its prefixes, as parts that may crash engines.
    pub(crate) parts: Vec<PartId>,
    // The caller's fields that are forwarded to the engine.
    fields: Map<String, Value>,
}

fn invalid(param: &'static str, message: &str) -> CallError {
    CallError::invalid(Some(param), format!("{param}: {message}"))
}

impl ModelCall {
    /// Parses and validates a request body.
    pub(crate) fn parse(body: &[u8], chat: bool) -> Result<Self, CallError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| CallError::invalid(None, format!("body is not JSON: {error}")))?;
        let Value::Object(mut fields) = value else {
            return Err(CallError::invalid(None, "body must be a JSON object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            Some(_) => return Err(invalid("model", "must be a non-empty string")),
            None => return Err(invalid("model", "is missing")),
        };
        if chat {
            check_messages(fields.get("messages"))?;
        } else {
            check_prompt(fields.get("prompt"))?;
        }
        let stream = read_flag(&fields, "stream")?;
        let include_usage = read_usage(&fields)?;
        let max_tokens = read_limit(&fields)?;
        if !matches!(fields.get("n"), None | Some(Value::Null)) && fields["n"] != 1 {
            // A stream with several choices can't be resumed.
            return Err(invalid("n", "must be 1"));
        }
        let text = prompt::prompt_text(&fields);
        let prefixes = prompt::prompt_prefixes(&text);
        for field in RESERVED_FIELDS {
            fields.remove(field);
        }
        fields.remove("stream");
        fields.remove("stream_options");
        fields.remove("model");
        Ok(Self {
            chat,
            model,
            stream,
            include_usage,
            max_tokens,
            prompt: prompt::count_tokens(&text),
            parts: prompt::prompt_parts(&text, &prefixes),
            prefixes,
            fields,
        })
    }

    /// Returns the request path on the engine.
    pub(crate) fn path(&self) -> &'static str {
        if self.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        }
    }

    /// Returns the part of the engine's request body that all attempts share, without the closing
    /// brace.
    pub(crate) fn engine_body(
        &self,
        engine_id: &usher_types::RequestId,
        adapter: Option<&str>,
    ) -> String {
        let mut fields = self.fields.clone();
        fields.insert("model".to_owned(), self.model.clone().into());
        fields.insert("seed_id".to_owned(), engine_id.as_str().into());
        fields.insert("stream".to_owned(), true.into());
        let options = serde_json::json!({ "include_usage": true });
        fields.insert("stream_options".to_owned(), options);
        if let Some(adapter) = adapter {
            fields.insert("adapter".to_owned(), adapter.into());
        }
        let mut text = Value::Object(fields).to_string();
        text.pop();
        text
    }
}

fn check_messages(messages: Option<&Value>) -> Result<(), CallError> {
    let Some(messages) = messages else {
        return Err(invalid("messages", "is missing"));
    };
    let messages = messages.as_array().filter(|messages| !messages.is_empty());
    let Some(messages) = messages else {
        return Err(invalid("messages", "must be a non-empty array"));
    };
    for message in messages {
        if !message.get("role").is_some_and(Value::is_string) {
            return Err(invalid("messages", "each message needs a role"));
        }
        let content = message.get("content").unwrap_or(&Value::Null);
        if !(content.is_string() || content.is_array() || content.is_null()) {
            return Err(invalid("messages", "content must be a string or an array"));
        }
    }
    Ok(())
}

fn check_prompt(prompt: Option<&Value>) -> Result<(), CallError> {
    let single = |parts: &Vec<Value>| parts.len() == 1 && parts.iter().all(Value::is_string);
    match prompt {
        Some(Value::String(_)) => Ok(()),
        Some(Value::Array(parts)) if single(parts) => Ok(()),
        Some(_) => Err(invalid(
            "prompt",
            "must be a string or an array of one string",
        )),
        None => Err(invalid("prompt", "is missing")),
    }
}

fn read_flag(fields: &Map<String, Value>, name: &'static str) -> Result<bool, CallError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(name, "must be true or false")),
    }
}

fn read_usage(fields: &Map<String, Value>) -> Result<bool, CallError> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => read_flag(options, "include_usage"),
        Some(_) => Err(invalid("stream_options", "must be an object")),
    }
}

fn read_limit(fields: &Map<String, Value>) -> Result<Option<u64>, CallError> {
    let mut limit = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let number = value
                    .as_u64()
                    .filter(|number| (1..=MAX_OUTPUT_TOKENS).contains(number));
                let message = "must be a whole number from 1 to 1000000";
                limit = Some(number.ok_or_else(|| invalid(name, message))?);
            }
        }
    }
    Ok(limit)
}
