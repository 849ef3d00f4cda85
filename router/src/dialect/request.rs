//! The bodies of requests: read in one dialect, written in the other.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// Why the body of a request cannot be served. The texts are what clients of the messages API are answered.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// Not UTF-8.
    #[error("body: not UTF-8")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// Not JSON, or without the fields that it must have.
    #[error(transparent)]
    Malformed(#[from] crate::config::Malformed),
    /// Not a JSON object.
    #[error(transparent)]
    NotAnObject(#[from] serde_json::Error),
    /// A conversation without a message.
    #[error("messages: none")]
    NoMessages,
    /// The messages API asks for a bound on the answer.
    #[error("max_tokens: must be given, and above 0")]
    NoMaxTokens,
    /// A message of a role that the messages API does not have.
    #[error("messages.{index}.role: neither user nor assistant")]
    UnknownRole {
        /// Of the message, from 0.
        index: usize,
    },
    /// Content other than text.
    #[error("{field}.{index}: {kind}: only text is served")]
    UnsupportedContent {
        /// The field with the content.
        field: String,
        /// Of the block in it, from 0.
        index: usize,
        /// The block's type.
        kind: String,
    },
}

/// What the body of a request asks for, in no dialect.
#[derive(Debug, Clone, PartialEq)]
pub struct ConversationRequest {
    /// The model.
    pub model: String,
    /// The system prompt; may be empty.
    pub system: String,
    /// The messages of the conversation: role and text.
    pub turns: Vec<(String, String)>,
    /// The most tokens of the answer; 0 if the body does not say.
    pub max_tokens: u64,
    /// Whether the answer is wanted as a stream.
    pub stream: bool,
    /// Texts at which the answer stops.
    pub stop: Vec<String>,
    /// Sampling temperature.
    pub temperature: Option<f64>,
    /// Nucleus sampling: the share of probability that tokens are drawn from.
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
    /// Reads a body of the messages API.
    ///
    /// # Errors
    /// The first fault of the body; the text names the field.
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

    /// Reads a body of chat completions; its system messages become the system prompt.
    ///
    /// # Errors
    /// The first fault of the body; the text names the field.
    pub fn parse_chat(body: &[u8]) -> Result<ConversationRequest, RequestBodyError> {
        let mut request = ConversationRequest::parse(body)?;
        let (system, turns): (Vec<_>, _) = request.turns.into_iter().partition(|(role, _)| role == "system");
        let system: Vec<String> = system.into_iter().map(|(_, text)| text).collect();
        (request.system, request.turns) = (system.join("\n\n"), turns);
        Ok(request)
    }

    fn parse(body: &[u8]) -> Result<ConversationRequest, RequestBodyError> {
        let text = std::str::from_utf8(body)?;
        let object: RequestObject = crate::config::read(text)?;
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

    /// Whether the last message is the assistant's: the client has a part of the answer and asks for the rest.
    pub fn continues_answer(&self) -> bool {
        self.turns.last().is_some_and(|(role, _)| role == "assistant")
    }

    /// The length of the prompt in bytes.
    pub fn prompt_size(&self) -> usize {
        self.system.len() + self.turns.iter().map(|(_, text)| text.len()).sum::<usize>()
    }

    /// The body as it was received, but asking for a stream.
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

    /// The body for a replica of the messages dialect; `default_max_tokens` is the bound on an answer without one.
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
