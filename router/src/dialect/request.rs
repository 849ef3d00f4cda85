//! Request bodies: parsed in one dialect, serialized in the other.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// Why a request body is rejected. The texts are sent to clients of the messages API.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// The body is not UTF-8.
    #[error("body: expected UTF-8 text")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The body is not JSON, or a field is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] crate::config::FieldError),
    /// The body is not a JSON object.
    #[error(transparent)]
    NotAnObject(#[from] serde_json::Error),
    /// The conversation has no messages.
    #[error("messages: expected at least one message")]
    NoMessages,
    /// `max_tokens`, which the messages API requires, is missing or 0.
    #[error("max_tokens: expected a number above 0")]
    NoMaxTokens,
    /// A message has a role that the messages API does not have.
    #[error("messages.{index}.role: expected user or assistant")]
    UnknownRole {
        /// Index of the message, from 0.
        index: usize,
    },
    /// A content block is not text.
    #[error("{field}.{index}: content of type {kind} is not supported, expected text")]
    UnsupportedContent {
        /// The field with the content.
        field: String,
        /// Index of the block in the field, from 0.
        index: usize,
        /// The type of the block.
        kind: String,
    },
}

/// A parsed request body, independent of the dialect.
#[derive(Debug, Clone, PartialEq)]
pub struct ConversationRequest {
    /// The name of the model.
    pub model: String,
    /// The system prompt; may be empty.
    pub system: String,
    /// The role and text of each message.
    pub turns: Vec<(String, String)>,
    /// Maximum number of tokens of the answer; 0 if the body has none.
    pub max_tokens: u64,
    /// Whether the client requests a stream.
    pub stream: bool,
    /// Texts at which the answer stops.
    pub stop: Vec<String>,
    /// Sampling temperature.
    pub temperature: Option<f64>,
    /// Nucleus sampling: the cumulative probability of the tokens that are sampled from.
    pub top_p: Option<f64>,
    /// The body as it was received.
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
    fn into_text(self, field: &str) -> Result<String, RequestBodyError> {
        match self {
            MessageContent::Text(text) => Ok(text),
            MessageContent::Blocks(blocks) => {
                let text = |(index, block): (usize, ContentBlock)| match (block.kind.as_str(), block.text) {
                    ("text", Some(text)) => Ok(text),
                    _ => Err(RequestBodyError::UnsupportedContent {
                        field: field.into(),
                        index,
                        kind: block.kind,
                    }),
                };
                blocks.into_iter().enumerate().map(text).collect()
            }
        }
    }
}

impl ConversationRequest {
    /// Parses a body of the messages API.
    ///
    /// # Errors
    /// The first error in the body; the text names the field.
    pub fn parse_messages(body: &[u8]) -> Result<ConversationRequest, RequestBodyError> {
        let request = ConversationRequest::parse(body)?;
        if request.max_tokens == 0 {
            return Err(RequestBodyError::NoMaxTokens);
        }
        match request.turns.iter().position(|(role, _)| role != "user" && role != "assistant") {
            Some(index) => Err(RequestBodyError::UnknownRole { index }),
            None => Ok(request),
        }
    }

    /// Parses a body of chat completions; its system messages become the system prompt.
    ///
    /// # Errors
    /// The first error in the body; the text names the field.
    pub fn parse_chat(body: &[u8]) -> Result<ConversationRequest, RequestBodyError> {
        let mut request = ConversationRequest::parse(body)?;
        let (system, turns): (Vec<_>, _) = request.turns.into_iter().partition(|(role, _)| role == "system");
        let system: Vec<String> = system.into_iter().map(|(_, text)| text).collect();
        (request.system, request.turns) = (system.join("\n\n"), turns);
        Ok(request)
    }

    fn parse(body: &[u8]) -> Result<ConversationRequest, RequestBodyError> {
        let text = std::str::from_utf8(body)?;
        let object: RequestObject = crate::config::parse_json(text)?;
        let original = serde_json::from_str(text)?;
        if object.messages.is_empty() {
            return Err(RequestBodyError::NoMessages);
        }
        let turn = |(i, t): (usize, MessageObject)| {
            Ok((t.role, t.content.into_text(&format!("messages.{i}.content"))?))
        };
        let mut stop = object.stop_sequences;
        match object.stop {
            Some(StopTexts::Single(text)) => stop.push(text),
            Some(StopTexts::Several(texts)) => stop.extend(texts),
            None => {}
        }
        Ok(ConversationRequest {
            model: object.model,
            system: object.system.map_or(Ok(String::new()), |s| s.into_text("system"))?,
            turns: object
                .messages
                .into_iter()
                .enumerate()
                .map(turn)
                .collect::<Result<_, RequestBodyError>>()?,
            max_tokens: object.max_tokens.unwrap_or(0),
            stream: object.stream,
            stop,
            temperature: object.temperature,
            top_p: object.top_p,
            original,
        })
    }

    /// The text of the conversation's first message; empty if there is none.
    pub fn first_message(&self) -> &str {
        self.turns.first().map_or("", |(_, text)| text)
    }

    /// Whether the last message is the assistant's: the client has a part of the answer and requests the rest.
    pub fn continues_answer(&self) -> bool {
        self.turns.last().is_some_and(|(role, _)| role == "assistant")
    }

    /// The size of the prompt, bytes.
    pub fn prompt_size(&self) -> usize {
        self.system.len() + self.turns.iter().map(|(_, text)| text.len()).sum::<usize>()
    }

    /// The body as it was received, with `stream` set.
    pub fn streaming_body(&self) -> Vec<u8> {
        let mut body = self.original.clone();
        body.insert("stream".into(), true.into());
        Value::Object(body).to_string().into_bytes()
    }

    /// The body for a replica of the chat dialect.
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

    /// The body for a replica of the messages dialect; `default_max_tokens` applies if the request has no `max_tokens`.
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
