//! Serializes stream events in the client's dialect if the replica speaks another one.

use bytes::Bytes;
use serde_json::{json, Value};

use super::{StopReason, StreamEvent};

/// An answer that is collected from its events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectedAnswer {
    /// The text received up to now.
    pub text: String,
    stop: Option<StopReason>,
    prompt_tokens: Option<u64>,
    cached_tokens: Option<u64>,
    answer_tokens: Option<u64>,
}

impl CollectedAnswer {
    /// Adds an event.
    pub fn add(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Text(text) => self.text.push_str(&text),
            event => self.add_summary(event),
        }
    }

    /// Adds the stop reason and token counts of an event.
    fn add_summary(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Started(prompt_tokens) => self.prompt_tokens = prompt_tokens.or(self.prompt_tokens),
            StreamEvent::Finished(reason) => self.stop = Some(reason),
            StreamEvent::Usage { prompt_tokens, cached_tokens, answer_tokens } => {
                self.prompt_tokens = prompt_tokens.or(self.prompt_tokens);
                self.cached_tokens = cached_tokens.or(self.cached_tokens);
                self.answer_tokens = answer_tokens.or(self.answer_tokens);
            }
            _ => {}
        }
    }

    fn stop_reason(&self) -> &str {
        match &self.stop {
            None | Some(StopReason::Complete) => "end_turn",
            Some(StopReason::Length) => "max_tokens",
            Some(StopReason::Other(word)) => word,
        }
    }

    fn finish_reason(&self) -> &str {
        match &self.stop {
            None | Some(StopReason::Complete) => "stop",
            Some(StopReason::Length) => "length",
            Some(StopReason::Other(word)) => word,
        }
    }

    fn usage(&self, estimated_prompt_tokens: u32) -> Value {
        let (prompt, cached) =
            (self.prompt_tokens.unwrap_or(estimated_prompt_tokens.into()), self.cached_tokens.unwrap_or(0));
        json!({
            "input_tokens": prompt.saturating_sub(cached),
            "cache_read_input_tokens": cached,
            "output_tokens": self.answer_tokens.unwrap_or(0),
        })
    }

    /// The answer as a message object of the messages API; `estimated_prompt_tokens` is used if the replica did not state
    /// the number of prompt tokens.
    pub fn to_message(&self, id: &str, model: &str, estimated_prompt_tokens: u32) -> Value {
        json!({
            "id": id, "type": "message", "role": "assistant", "model": model,
            "content": [{"type": "text", "text": self.text}],
            "stop_reason": self.stop_reason(), "stop_sequence": null, "usage": self.usage(estimated_prompt_tokens),
        })
    }
}

/// Writes a stream of the messages dialect.
#[derive(Debug)]
pub struct MessagesWriter {
    id: String,
    model: String,
    estimated_prompt_tokens: u32,
    started: bool,
    summary: CollectedAnswer,
}

fn write_named_event(name: &str, data: Value, output: &mut String) {
    output.push_str(&format!("event: {name}\ndata: {data}\n\n"));
}

impl MessagesWriter {
    /// A writer for one answer.
    pub fn new(id: &str, model: &str, estimated_prompt_tokens: u32) -> Self {
        MessagesWriter {
            id: id.into(),
            model: model.into(),
            estimated_prompt_tokens,
            started: false,
            summary: CollectedAnswer::default(),
        }
    }

    /// Writes the events that start an answer, unless they are already written.
    fn write_start(&mut self, output: &mut String) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let mut message =
            CollectedAnswer::default().to_message(&self.id, &self.model, self.estimated_prompt_tokens);
        (message["content"], message["stop_reason"]) = (json!([]), Value::Null);
        write_named_event("message_start", json!({"type": "message_start", "message": message}), output);
        let block = json!({"type": "text", "text": ""});
        let start = json!({"type": "content_block_start", "index": 0, "content_block": block});
        write_named_event("content_block_start", start, output);
    }

    /// Serializes `events` in this dialect; events without a counterpart are left out.
    pub fn write(&mut self, events: &[StreamEvent]) -> Bytes {
        let mut output = String::new();
        for event in events {
            match event {
                StreamEvent::Text(text) => {
                    self.write_start(&mut output);
                    let delta = json!({"type": "text_delta", "text": text});
                    let event = json!({"type": "content_block_delta", "index": 0, "delta": delta});
                    write_named_event("content_block_delta", event, &mut output);
                }
                StreamEvent::Started(_) => self.write_start(&mut output),
                event => self.summary.add_summary(event.clone()),
            }
        }
        output.into()
    }

    /// Serializes the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        let mut output = String::new();
        self.write_start(&mut output);
        write_named_event(
            "content_block_stop",
            json!({"type": "content_block_stop", "index": 0}),
            &mut output,
        );
        let delta = json!({"stop_reason": self.summary.stop_reason(), "stop_sequence": null});
        let usage = self.summary.usage(self.estimated_prompt_tokens);
        write_named_event(
            "message_delta",
            json!({"type": "message_delta", "delta": delta, "usage": usage}),
            &mut output,
        );
        write_named_event("message_stop", json!({"type": "message_stop"}), &mut output);
        output.into()
    }
}

/// Writes a stream of the chat dialect.
#[derive(Debug, Default)]
pub struct ChatWriter {
    summary: CollectedAnswer,
}

impl ChatWriter {
    /// Serializes `events` in this dialect; events without a counterpart are left out.
    pub fn write(&mut self, events: &[StreamEvent]) -> Bytes {
        let mut output = String::new();
        for event in events {
            match event {
                StreamEvent::Text(text) => {
                    write_chat_choice(json!({"content": text}), Value::Null, &mut output)
                }
                event => self.summary.add_summary(event.clone()),
            }
        }
        output.into()
    }

    /// Serializes the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        let (summary, mut output) = (&self.summary, String::new());
        write_chat_choice(json!({}), summary.finish_reason().into(), &mut output);
        let (prompt, cached, answer) = (
            summary.prompt_tokens.unwrap_or(0),
            summary.cached_tokens.unwrap_or(0),
            summary.answer_tokens.unwrap_or(0),
        );
        let usage = json!({
            "prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt.saturating_add(answer),
            "prompt_tokens_details": {"cached_tokens": cached},
        });
        output.push_str(&format!("data: {}\n\n", json!({"choices": [], "usage": usage})));
        output.push_str("data: [DONE]\n\n");
        output.into()
    }
}

fn write_chat_choice(delta: Value, reason: Value, output: &mut String) {
    let choice = json!({"index": 0, "delta": delta, "finish_reason": reason});
    output.push_str(&format!("data: {}\n\n", json!({"choices": [choice]})));
}
