//! The bodies of requests: from one dialect into the other.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// What a body asks for, in no dialect.
#[derive(Debug, Clone, PartialEq)]
pub struct Asked {
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
    came: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Blocks(Vec<Block>),
}

#[derive(Deserialize)]
struct Block {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMore {
    One(String),
    More(Vec<String>),
}

#[derive(Deserialize)]
struct Turn {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Vec<Turn>,
    max_tokens: Option<u64>,
    system: Option<Content>,
    #[serde(default)]
    stream: bool,
    stop: Option<OneOrMore>,
    #[serde(default)]
    stop_sequences: Vec<String>,
    temperature: Option<f64>,
    top_p: Option<f64>,
}

impl Content {
    fn text(self, place: &str) -> Result<String, String> {
        match self {
            Content::Text(text) => Ok(text),
            Content::Blocks(blocks) => {
                let text = |(i, b): (usize, Block)| match (b.kind.as_str(), b.text) {
                    ("text", Some(text)) => Ok(text),
                    (kind, _) => Err(format!("{place}.{i}: {kind}: only text is served")),
                };
                blocks.into_iter().enumerate().map(text).collect()
            }
        }
    }
}

impl Asked {
    /// Reads a body of the messages API; an error names the place.
    pub fn messages(body: &[u8]) -> Result<Asked, String> {
        let asked = Asked::read(body)?;
        if asked.max_tokens == 0 {
            return Err("max_tokens: must be given, and above 0".into());
        }
        match asked.turns.iter().position(|(role, _)| role != "user" && role != "assistant") {
            Some(i) => Err(format!("messages.{i}.role: neither user nor assistant")),
            None => Ok(asked),
        }
    }

    /// Reads a body of chat completions; system messages become instructions.
    pub fn chat(body: &[u8]) -> Result<Asked, String> {
        let mut asked = Asked::read(body)?;
        let (system, turns): (Vec<_>, _) = asked.turns.into_iter().partition(|(role, _)| role == "system");
        let system: Vec<String> = system.into_iter().map(|(_, text)| text).collect();
        (asked.system, asked.turns) = (system.join("\n\n"), turns);
        Ok(asked)
    }

    fn read(body: &[u8]) -> Result<Asked, String> {
        let text = std::str::from_utf8(body).map_err(|_| "body: not UTF-8".to_string())?;
        let b: Body = crate::config::read(text).map_err(|e| e.to_string())?;
        let came = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if b.messages.is_empty() {
            return Err("messages: none".into());
        }
        let turn = |(i, t): (usize, Turn)| Ok((t.role, t.content.text(&format!("messages.{i}.content"))?));
        let mut stop = b.stop_sequences;
        match b.stop {
            Some(OneOrMore::One(one)) => stop.push(one),
            Some(OneOrMore::More(more)) => stop.extend(more),
            None => {}
        }
        Ok(Asked {
            model: b.model,
            system: b.system.map_or(Ok(String::new()), |s| s.text("system"))?,
            turns: b.messages.into_iter().enumerate().map(turn).collect::<Result<_, String>>()?,
            max_tokens: b.max_tokens.unwrap_or(0),
            stream: b.stream,
            stop,
            temperature: b.temperature,
            top_p: b.top_p,
            came,
        })
    }

    /// The text of the conversation's first message.
    pub fn first_message(&self) -> &str {
        self.turns.first().map_or("", |(_, text)| text)
    }

    /// Whether the last words are the answer's own: the client has a part of it.
    pub fn continues(&self) -> bool {
        self.turns.last().is_some_and(|(role, _)| role == "assistant")
    }

    /// The length of the prompt in bytes.
    pub fn length(&self) -> usize {
        self.system.len() + self.turns.iter().map(|(_, text)| text.len()).sum::<usize>()
    }

    /// The body as it came, but for a stream.
    pub fn streaming_body(&self) -> Vec<u8> {
        let mut body = self.came.clone();
        body.insert("stream".into(), true.into());
        Value::Object(body).to_string().into_bytes()
    }

    /// The body for a node of the chat dialect.
    pub fn chat_body(&self) -> Vec<u8> {
        let system = Some(("system".to_string(), self.system.clone())).filter(|s| !s.1.is_empty());
        let turns = system.iter().chain(&self.turns);
        let messages: Vec<Value> = turns.map(|(r, t)| json!({"role": r, "content": t})).collect();
        let mut body = self.common(messages);
        body["stream_options"] = json!({"include_usage": true});
        if !self.stop.is_empty() {
            body["stop"] = json!(self.stop);
        }
        body.to_string().into_bytes()
    }

    /// The body for a node of the messages dialect; `most` is the bound on an answer without one.
    pub fn messages_body(&self, most: u64) -> Vec<u8> {
        let messages: Vec<Value> = self.turns.iter().map(|(r, t)| json!({"role": r, "content": t})).collect();
        let mut body = self.common(messages);
        if self.max_tokens == 0 {
            body["max_tokens"] = most.into();
        }
        if !self.system.is_empty() {
            body["system"] = json!(self.system);
        }
        if !self.stop.is_empty() {
            body["stop_sequences"] = json!(self.stop);
        }
        body.to_string().into_bytes()
    }

    fn common(&self, messages: Vec<Value>) -> Value {
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
