//! The bodies of requests: from one dialect into the other.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// What a body asks for, in no dialect.
#[derive(Debug, Clone, PartialEq)]
pub struct ConversationRequest {
    /// The model.
    pub model: String,
    /// The instructions before the conversation; may be empty.
    pub system: String,
    /// The conversation: who speaks, and the text.
    pub turns: Vec<(String, String)>,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer is wanted as a stream.
    pub stream: bool,
    /// Texts at which the answer stops.
    pub stop: Vec<String>,
    /// How freely words are drawn.
    pub temperature: Option<f64>,
    /// From how much of their weight.
    pub top_p: Option<f64>,
    /// The body as it came.
    original: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Blocks(Vec<ContentBlock>),
}

#[derive(Deserialize)]
struct ContentBlock {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum StopTexts {
    Single(String),
    Several(Vec<String>),
}

#[derive(Deserialize)]
struct MessageObject {
    role: String,
    content: MessageContent,
}

#[derive(Deserialize)]
struct RequestObject {
    model: String,
    messages: Vec<MessageObject>,
    max_tokens: Option<u64>,
    system: Option<MessageContent>,
    #[serde(default)]
    stream: bool,
    stop: Option<StopTexts>,
    #[serde(default)]
    stop_sequences: Vec<String>,
    temperature: Option<f64>,
    top_p: Option<f64>,
}

impl MessageContent {
    fn into_text(self, field: &str) -> Result<String, String> {
        match self {
            MessageContent::Text(text) => Ok(text),
            MessageContent::Blocks(blocks) => {
                let text = |(i, b): (usize, ContentBlock)| match (b.kind.as_str(), b.text) {
                    ("text", Some(text)) => Ok(text),
                    (kind, _) => Err(format!("{field}.{i}: {kind}: only text is served")),
                };
                blocks.into_iter().enumerate().map(text).collect()
            }
        }
    }
}

impl ConversationRequest {
    /// Reads a body of the messages API; an error names the place.
    pub fn parse_messages(body: &[u8]) -> Result<ConversationRequest, String> {
        let request = ConversationRequest::parse(body)?;
        if request.max_tokens == 0 {
            return Err("max_tokens: must be given, and above 0".into());
        }
        match request.turns.iter().position(|(role, _)| role != "user" && role != "assistant") {
            Some(i) => Err(format!("messages.{i}.role: neither user nor assistant")),
            None => Ok(request),
        }
    }

    /// Reads a body of chat completions; system messages become instructions.
    pub fn parse_chat(body: &[u8]) -> Result<ConversationRequest, String> {
        let mut request = ConversationRequest::parse(body)?;
        let (system, turns): (Vec<_>, _) = request.turns.into_iter().partition(|(role, _)| role == "system");
        let system: Vec<String> = system.into_iter().map(|(_, text)| text).collect();
        (request.system, request.turns) = (system.join("\n\n"), turns);
        Ok(request)
    }

    fn parse(body: &[u8]) -> Result<ConversationRequest, String> {
        let text = std::str::from_utf8(body).map_err(|_| "body: not UTF-8".to_string())?;
        let b: RequestObject = crate::config::read(text).map_err(|e| e.to_string())?;
        let original = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if b.messages.is_empty() {
            return Err("messages: none".into());
        }
        let turn = |(i, t): (usize, MessageObject)| {
            Ok((t.role, t.content.into_text(&format!("messages.{i}.content"))?))
        };
        let mut stop = b.stop_sequences;
        match b.stop {
            Some(StopTexts::Single(text)) => stop.push(text),
            Some(StopTexts::Several(texts)) => stop.extend(texts),
            None => {}
        }
        Ok(ConversationRequest {
            model: b.model,
            system: b.system.map_or(Ok(String::new()), |s| s.into_text("system"))?,
            turns: b.messages.into_iter().enumerate().map(turn).collect::<Result<_, String>>()?,
            max_tokens: b.max_tokens.unwrap_or(0),
            stream: b.stream,
            stop,
            temperature: b.temperature,
            top_p: b.top_p,
            original,
        })
    }

    /// The text of the conversation's first message.
    pub fn first_message(&self) -> &str {
        self.turns.first().map_or("", |(_, text)| text)
    }

    /// Whether the last words are the answer's own: the client has a part of it.
    pub fn continues_answer(&self) -> bool {
        self.turns.last().is_some_and(|(role, _)| role == "assistant")
    }

    /// The length of the prompt in bytes.
    pub fn prompt_size(&self) -> usize {
        self.system.len() + self.turns.iter().map(|(_, text)| text.len()).sum::<usize>()
    }

    /// The body as it came, but for a stream.
    pub fn streaming_body(&self) -> Vec<u8> {
        let mut body = self.original.clone();
        body.insert("stream".into(), true.into());
        Value::Object(body).to_string().into_bytes()
    }

    /// The body for a node of the chat dialect.
    pub fn chat_body(&self) -> Vec<u8> {
        let system = Some(("system".to_string(), self.system.clone())).filter(|s| !s.1.is_empty());
        let turns = system.iter().chain(&self.turns);
        let messages: Vec<Value> = turns.map(|(r, t)| json!({"role": r, "content": t})).collect();
        let mut body = self.common_body(messages);
        body["stream_options"] = json!({"include_usage": true});
        if !self.stop.is_empty() {
            body["stop"] = json!(self.stop);
        }
        body.to_string().into_bytes()
    }

    /// The body for a node of the messages dialect; `default_max_tokens` is the bound on an answer without one.
    pub fn messages_body(&self, default_max_tokens: u64) -> Vec<u8> {
        let messages: Vec<Value> = self.turns.iter().map(|(r, t)| json!({"role": r, "content": t})).collect();
        let mut body = self.common_body(messages);
        if self.max_tokens == 0 {
            body["max_tokens"] = default_max_tokens.into();
        }
        if !self.system.is_empty() {
            body["system"] = json!(self.system);
        }
        if !self.stop.is_empty() {
            body["stop_sequences"] = json!(self.stop);
        }
        body.to_string().into_bytes()
    }

    fn common_body(&self, messages: Vec<Value>) -> Value {
        let mut body = json!({"model": self.model, "messages": messages, "stream": true});
        if self.max_tokens > 0 {
            body["max_tokens"] = self.max_tokens.into();
        }
        for (name, value) in [("temperature", self.temperature), ("top_p", self.top_p)] {
            if let Some(value) = value {
                body[name] = json!(value);
            }
        }
        body
    }
}
