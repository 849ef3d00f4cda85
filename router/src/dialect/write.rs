//! Neutral events written in a dialect, for a client whose model nodes speak the other one.

use bytes::Bytes;
use serde_json::{json, Value};

use super::{Event, Reason};

/// What a whole answer comes to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its text.
    pub text: String,
    reason: Option<Reason>,
    prompt: Option<u64>,
    kept: Option<u64>,
    tokens: Option<u64>,
}

impl Answer {
    /// Takes one event in.
    pub fn take(&mut self, event: Event) {
        match event {
            Event::Text(text) => self.text.push_str(&text),
            event => self.note(event),
        }
    }

    /// Takes in what the end of an answer tells; not its text.
    fn note(&mut self, event: Event) {
        match event {
            Event::Started(prompt) => self.prompt = prompt.or(self.prompt),
            Event::Finished(reason) => self.reason = Some(reason),
            Event::Usage { prompt, kept, answer } => {
                self.prompt = prompt.or(self.prompt);
                self.kept = kept.or(self.kept);
                self.tokens = answer.or(self.tokens);
            }
            _ => {}
        }
    }

    fn stop_reason(&self) -> &str {
        match &self.reason {
            None | Some(Reason::Complete) => "end_turn",
            Some(Reason::Length) => "max_tokens",
            Some(Reason::Other(word)) => word,
        }
    }

    fn finish_reason(&self) -> &str {
        match &self.reason {
            None | Some(Reason::Complete) => "stop",
            Some(Reason::Length) => "length",
            Some(Reason::Other(word)) => word,
        }
    }

    fn usage(&self, estimate: u32) -> Value {
        let (prompt, kept) = (self.prompt.unwrap_or(estimate.into()), self.kept.unwrap_or(0));
        json!({
            "input_tokens": prompt.saturating_sub(kept),
            "cache_read_input_tokens": kept,
            "output_tokens": self.tokens.unwrap_or(0),
        })
    }

    /// The answer as one object of the messages API; `estimate` stands in for a prompt's count not told.
    pub fn message(&self, id: &str, model: &str, estimate: u32) -> Value {
        json!({
            "id": id, "type": "message", "role": "assistant", "model": model,
            "content": [{"type": "text", "text": self.text}],
            "stop_reason": self.stop_reason(), "stop_sequence": null, "usage": self.usage(estimate),
        })
    }
}

/// Writes a stream of the messages dialect.
#[derive(Debug)]
pub struct MessagesWriter {
    id: String,
    model: String,
    estimate: u32,
    begun: bool,
    end: Answer,
}

fn named(name: &str, data: Value, to: &mut String) {
    to.push_str(&format!("event: {name}\ndata: {data}\n\n"));
}

impl MessagesWriter {
    /// A stream for one answer.
    pub fn new(id: &str, model: &str, estimate: u32) -> Self {
        MessagesWriter { id: id.into(), model: model.into(), estimate, begun: false, end: Answer::default() }
    }

    fn begin(&mut self, to: &mut String) {
        if std::mem::replace(&mut self.begun, true) {
            return;
        }
        let mut message = Answer::default().message(&self.id, &self.model, self.estimate);
        (message["content"], message["stop_reason"]) = (json!([]), Value::Null);
        named("message_start", json!({"type": "message_start", "message": message}), to);
        let block = json!({"type": "text", "text": ""});
        let start = json!({"type": "content_block_start", "index": 0, "content_block": block});
        named("content_block_start", start, to);
    }

    /// The events that say the same; what has no word here is left out.
    pub fn write(&mut self, told: &[Event]) -> Bytes {
        let mut to = String::new();
        for event in told {
            match event {
                Event::Text(text) => {
                    self.begin(&mut to);
                    let delta = json!({"type": "text_delta", "text": text});
                    let event = json!({"type": "content_block_delta", "index": 0, "delta": delta});
                    named("content_block_delta", event, &mut to);
                }
                Event::Started(_) => self.begin(&mut to),
                event => self.end.note(event.clone()),
            }
        }
        to.into()
    }

    /// The events that end a whole stream.
    pub fn finish(&mut self) -> Bytes {
        let mut to = String::new();
        self.begin(&mut to);
        named("content_block_stop", json!({"type": "content_block_stop", "index": 0}), &mut to);
        let delta = json!({"stop_reason": self.end.stop_reason(), "stop_sequence": null});
        let usage = self.end.usage(self.estimate);
        named("message_delta", json!({"type": "message_delta", "delta": delta, "usage": usage}), &mut to);
        named("message_stop", json!({"type": "message_stop"}), &mut to);
        to.into()
    }
}

/// Writes a stream of the chat dialect.
#[derive(Debug, Default)]
pub struct ChatWriter {
    end: Answer,
}

impl ChatWriter {
    /// The events that say the same; what has no word here is left out.
    pub fn write(&mut self, told: &[Event]) -> Bytes {
        let mut to = String::new();
        for event in told {
            match event {
                Event::Text(text) => piece(json!({"content": text}), Value::Null, &mut to),
                event => self.end.note(event.clone()),
            }
        }
        to.into()
    }

    /// The events that end a whole stream.
    pub fn finish(&mut self) -> Bytes {
        let (end, mut to) = (&self.end, String::new());
        piece(json!({}), end.finish_reason().into(), &mut to);
        let (prompt, kept, tokens) =
            (end.prompt.unwrap_or(0), end.kept.unwrap_or(0), end.tokens.unwrap_or(0));
        let usage = json!({
            "prompt_tokens": prompt, "completion_tokens": tokens, "total_tokens": prompt.saturating_add(tokens),
            "prompt_tokens_details": {"cached_tokens": kept},
        });
        to.push_str(&format!("data: {}\n\n", json!({"choices": [], "usage": usage})));
        to.push_str("data: [DONE]\n\n");
        to.into()
    }
}

fn piece(delta: Value, reason: Value, to: &mut String) {
    let choice = json!({"index": 0, "delta": delta, "finish_reason": reason});
    to.push_str(&format!("data: {}\n\n", json!({"choices": [choice]})));
}
