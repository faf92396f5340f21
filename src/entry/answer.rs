//! Putting an answer together from its chunks.

use serde_json::{Map, Value, json};

use crate::{
    ids::{RequestId, VersionId, format_id},
    protocol::Usage,
};

/// An answer as far as it has come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    choices: Vec<Choice>,
    /// Content chunks so far: what the caller got if the answer is cut.
    pub(crate) parts: u64,
    /// Tokens as the engine counts them, once it has said so.
    pub(crate) usage: Option<Usage>,
}

#[derive(Clone, Debug, Default)]
struct Choice {
    message: Map<String, Value>,
    finish_reason: Option<Value>,
}

/// A chunk on its way to the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerChunk {
    pub(crate) body: Value,
    pub(crate) is_usage: bool,
}

impl Answer {
    /// Takes an engine's chunk in and turns it into the caller's.
    pub(crate) fn take(
        &mut self,
        payload: &[u8],
        request: RequestId,
        version: &VersionId,
    ) -> Option<CallerChunk> {
        let mut body: Value = serde_json::from_slice(payload).ok()?;
        let fields = body.as_object_mut()?;
        fields.insert("id".into(), json!(format!("chatcmpl-{}", format_id(request))));
        fields.insert("model".into(), json!(version));
        fields.insert("created".into(), json!(crate::ids::request_arrival_time(request).as_secs()));
        fields.remove("index");
        let empty = Vec::new();
        let choices = fields.get("choices").and_then(Value::as_array).unwrap_or(&empty);
        for choice in choices {
            self.merge_choice(choice);
        }
        let is_usage = choices.is_empty() && fields.contains_key("usage");
        if let Some(usage) = fields.get("usage").and_then(read_usage) {
            self.usage = Some(usage);
        }
        Some(CallerChunk { body, is_usage })
    }

    fn merge_choice(&mut self, choice: &Value) {
        let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0) as usize;
        if index >= 128 {
            return;
        }
        if self.choices.len() <= index {
            self.choices.resize_with(index + 1, Choice::default);
        }
        let held = &mut self.choices[index];
        if let Some(delta) = choice.get("delta").and_then(Value::as_object) {
            self.parts += u64::from(!delta.is_empty());
            merge_object(&mut held.message, delta);
        }
        match choice.get("finish_reason") {
            None | Some(Value::Null) => {}
            Some(reason) => held.finish_reason = Some(reason.clone()),
        }
    }

    /// Text of a plain one-choice answer, which another engine can go on from.
    pub(crate) fn resumable_text(&self) -> Option<Box<str>> {
        match self.choices.as_slice() {
            [] => Some(Box::default()),
            [one] if one.message.keys().all(|key| key == "content" || key == "role") => {
                Some(self.text().into())
            }
            _ => None,
        }
    }

    /// Text of the first choice.
    pub(crate) fn text(&self) -> &str {
        let first = self.choices.first().and_then(|choice| choice.message.get("content"));
        first.and_then(Value::as_str).unwrap_or_default()
    }

    /// The whole answer in the shape of a completion that was not streamed.
    pub(crate) fn into_completion(self, request: RequestId, version: &VersionId) -> Value {
        let usage = self.usage.unwrap_or_default();
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .enumerate()
            .map(|(index, choice)| {
                let mut message = choice.message;
                message.entry("role").or_insert(json!("assistant"));
                message.entry("content").or_insert(Value::Null);
                let finish_reason = choice.finish_reason.unwrap_or(json!("stop"));
                json!({ "index": index, "message": message, "finish_reason": finish_reason })
            })
            .collect();
        json!({
            "id": format!("chatcmpl-{}", format_id(request)),
            "object": "chat.completion",
            "created": crate::ids::request_arrival_time(request).as_secs(),
            "model": version,
            "choices": choices,
            "usage": {
                "prompt_tokens": usage.tokens_in,
                "completion_tokens": usage.tokens_out,
                "total_tokens": usage.tokens_in + usage.tokens_out,
            },
        })
    }
}

fn read_usage(usage: &Value) -> Option<Usage> {
    Some(Usage {
        tokens_in: usage.get("prompt_tokens")?.as_u64()?,
        tokens_out: usage.get("completion_tokens")?.as_u64()?,
    })
}

/// Merges a delta: text is appended, lists with `index` are merged by it, the rest replaced.
fn merge_object(held: &mut Map<String, Value>, delta: &Map<String, Value>) {
    for (key, value) in delta {
        match (held.get_mut(key), value) {
            (Some(Value::String(held)), Value::String(more)) if key != "role" && key != "id" => {
                held.push_str(more);
            }
            (Some(Value::Object(held)), Value::Object(more)) => merge_object(held, more),
            (Some(Value::Array(held)), Value::Array(more)) => merge_list(held, more),
            (_, Value::Array(more)) => {
                let mut list = Vec::new();
                merge_list(&mut list, more);
                held.insert(key.clone(), Value::Array(list));
            }
            (_, Value::Null) => {}
            _ => {
                held.insert(key.clone(), value.clone());
            }
        }
    }
}

fn merge_list(held: &mut Vec<Value>, more: &[Value]) {
    for item in more {
        let index = item.get("index").and_then(Value::as_u64);
        let same = held
            .iter_mut()
            .find(|old| index.is_some() && old.get("index").and_then(Value::as_u64) == index);
        match (same, item) {
            (Some(Value::Object(old)), Value::Object(item)) => merge_object(old, item),
            _ => held.push(item.clone()),
        }
    }
}
