//! The vocabularies in which model nodes name the events of a stream, read into neutral events and
//! written from them. Where both sides speak the same dialect no byte of a stream is touched.

mod request;
mod write;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

pub use request::ConversationRequest;
pub use write::{ChatWriter, CollectedAnswer, MessagesWriter};

/// A vocabulary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// Chat completions: nameless events, each a piece of a choice, `[DONE]` at the end.
    Chat,
    /// Messages: named events from `message_start` to `message_stop`.
    Messages,
}

/// Why an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// The model came to an end.
    Complete,
    /// It reached the most tokens allowed.
    Length,
    /// Something else, in the node's word.
    Other(String),
}

/// A neutral event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The answer has begun; the prompt's tokens if told.
    Started(Option<u64>),
    /// A piece of text.
    Text(String),
    /// The text is complete.
    Finished(StopReason),
    /// Token counts, each if told.
    Usage {
        /// Of the prompt.
        prompt_tokens: Option<u64>,
        /// Of the prompt, found kept.
        cached_tokens: Option<u64>,
        /// Of the answer.
        answer_tokens: Option<u64>,
    },
    /// The stream is complete.
    Complete,
    /// The node gives up mid-stream.
    Failed,
    /// A sign of life without content.
    KeepAlive,
    /// A load report.
    LoadReport(String),
    /// Not in this vocabulary.
    Unknown,
}

#[derive(Deserialize, Default)]
struct PromptTokenDetails {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct UsageObject {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<PromptTokenDetails>,
    input_tokens: Option<u64>,
    output_tokens: Option<u64>,
    cache_read_input_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct DeltaObject {
    #[serde(rename = "type")]
    kind: Option<String>,
    content: Option<String>,
    text: Option<String>,
    stop_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ChatChoice {
    delta: DeltaObject,
    finish_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct MessageStartObject {
    usage: Option<UsageObject>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct StreamObject {
    choices: Option<Vec<ChatChoice>>,
    usage: Option<UsageObject>,
    error: Option<serde::de::IgnoredAny>,
    #[serde(rename = "type")]
    kind: Option<String>,
    delta: Option<DeltaObject>,
    message: Option<MessageStartObject>,
}

/// Cuts a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    /// How far `incomplete` is known to hold no end.
    searched: usize,
}

impl EventSplitter {
    /// Takes what has arrived; gives the whole events among it and before it, if there is one.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.incomplete.extend_from_slice(data);
        let from = self.searched.saturating_sub(3);
        let end = end_of_last_event(&self.incomplete[from..]).map(|end| from + end);
        self.searched = self.incomplete.len() - end.unwrap_or(0);
        Some(self.incomplete.split_to(end?).freeze())
    }

    /// What is held of an event that is not whole.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.incomplete.split().freeze()
    }

    /// How much is held.
    pub fn held_size(&self) -> usize {
        self.incomplete.len()
    }
}

/// Where the last event in `data` ends: behind an empty line, its lines ended by LF or CR LF.
fn end_of_last_event(data: &[u8]) -> Option<usize> {
    (1..data.len()).rev().find_map(|i| {
        let blank = data[i] == b'\n' && (data[i - 1] == b'\n' || data[..i].ends_with(b"\n\r"));
        blank.then_some(i + 1)
    })
}

impl StreamEvent {
    /// Whether a stream has begun with this: a sign of life or an unknown event is no beginning.
    pub fn begins_answer(&self) -> bool {
        !matches!(self, StreamEvent::KeepAlive | StreamEvent::Unknown | StreamEvent::LoadReport(_))
    }
}

impl Dialect {
    /// The path of requests to a node.
    pub fn path(self) -> &'static [u8] {
        match self {
            Dialect::Chat => b"/v1/chat/completions",
            Dialect::Messages => b"/v1/messages",
        }
    }

    /// Reads whole events into neutral ones. With `with_text` false, text may be told empty: who
    /// passes bytes on untouched does not need it.
    pub fn read_events(self, bytes: &[u8], with_text: bool, to: &mut Vec<StreamEvent>) {
        let (mut name, mut data) = (&b""[..], Vec::new());
        for line in bytes.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if !name.is_empty() || !data.is_empty() {
                    self.read_event(name, &data, with_text, to);
                }
                (name, data) = (b"", Vec::new());
            } else if let Some(comment) = line.strip_prefix(b":") {
                let comment = comment.trim_ascii();
                match comment.get(..9).filter(|n| n.eq_ignore_ascii_case(b"Srv-Load:")) {
                    Some(_) => {
                        to.push(StreamEvent::LoadReport(String::from_utf8_lossy(&comment[9..]).trim().into()))
                    }
                    None => to.push(StreamEvent::KeepAlive),
                }
            } else if let Some(value) = field_value(line, b"data") {
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(value);
            } else if let Some(value) = field_value(line, b"event") {
                name = value;
            }
        }
        if !name.is_empty() || !data.is_empty() {
            self.read_event(name, &data, with_text, to);
        }
    }

    fn read_event(self, name: &[u8], data: &[u8], with_text: bool, to: &mut Vec<StreamEvent>) {
        match self {
            Dialect::Chat => {
                if data == b"[DONE]" {
                    return to.push(StreamEvent::Complete);
                }
                // An event without a count or an error has text only: it need not be taken apart.
                let contains = |word: &[u8]| data.windows(word.len()).any(|w| w == word);
                if !with_text && name.is_empty() && !contains(b"\"usage\"") && !contains(b"\"error\"") {
                    return to.push(StreamEvent::Text(String::new()));
                }
                match serde_json::from_slice::<StreamObject>(data) {
                    Ok(o) if name.is_empty() && o.choices.is_some() || o.error.is_some() => {
                        read_chat_object(o, to)
                    }
                    _ => to.push(StreamEvent::Unknown),
                }
            }
            Dialect::Messages => read_messages_event(name, data, to),
        }
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn read_chat_object(o: StreamObject, to: &mut Vec<StreamEvent>) {
    if o.error.is_some() {
        return to.push(StreamEvent::Failed);
    }
    let before = to.len();
    for choice in o.choices.into_iter().flatten().take(1) {
        if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
            to.push(StreamEvent::Text(text));
        }
        if let Some(reason) = choice.finish_reason {
            to.push(StreamEvent::Finished(match reason.as_str() {
                "stop" => StopReason::Complete,
                "length" => StopReason::Length,
                _ => StopReason::Other(reason),
            }));
        }
    }
    if let Some(u) = o.usage {
        let cached_tokens = u.prompt_tokens_details.and_then(|d| d.cached_tokens);
        to.push(StreamEvent::Usage {
            prompt_tokens: u.prompt_tokens,
            cached_tokens,
            answer_tokens: u.completion_tokens,
        });
    }
    if to.len() == before {
        to.push(StreamEvent::KeepAlive);
    }
}

fn read_messages_event(name: &[u8], data: &[u8], to: &mut Vec<StreamEvent>) {
    let Ok(o) = serde_json::from_slice::<StreamObject>(data) else { return to.push(StreamEvent::Unknown) };
    let usage_event = |u: UsageObject| {
        // The prompt's count leaves out what was found kept.
        let prompt_tokens = u.input_tokens.map(|n| n.saturating_add(u.cache_read_input_tokens.unwrap_or(0)));
        StreamEvent::Usage {
            prompt_tokens,
            cached_tokens: u.cache_read_input_tokens,
            answer_tokens: u.output_tokens,
        }
    };
    // The name may stand in the event's line, in the data, or in both.
    let kind = match (std::str::from_utf8(name), o.kind.as_deref()) {
        (Ok(""), Some(kind)) => kind,
        (Ok(name), _) => name,
        _ => "",
    };
    match kind {
        "message_start" => {
            let usage = o.message.and_then(|m| m.usage).map(usage_event);
            let prompt_tokens = match usage {
                Some(StreamEvent::Usage { prompt_tokens, .. }) => prompt_tokens,
                _ => None,
            };
            to.push(StreamEvent::Started(prompt_tokens));
            to.extend(usage);
        }
        "content_block_delta" => {
            let delta = o.delta.unwrap_or_default();
            match (delta.kind.as_deref(), delta.text) {
                (Some("text_delta"), Some(text)) => to.push(StreamEvent::Text(text)),
                _ => to.push(StreamEvent::Unknown),
            }
        }
        "message_delta" => {
            if let Some(reason) = o.delta.and_then(|d| d.stop_reason) {
                to.push(StreamEvent::Finished(match reason.as_str() {
                    "end_turn" | "stop_sequence" => StopReason::Complete,
                    "max_tokens" => StopReason::Length,
                    _ => StopReason::Other(reason),
                }));
            }
            to.extend(o.usage.map(usage_event));
        }
        "message_stop" => to.push(StreamEvent::Complete),
        "error" => to.push(StreamEvent::Failed),
        "ping" | "content_block_start" | "content_block_stop" => to.push(StreamEvent::KeepAlive),
        _ => to.push(StreamEvent::Unknown),
    }
}

/// The values of a load report of the form `TEXT name=value, ...`, in the order of `names`; what is absent
/// is not a number, and nothing at all if the form is another.
pub fn parse_load_report(report: &str, names: &[String]) -> Vec<f64> {
    let Some(values) = report.trim().strip_prefix("TEXT") else { return Vec::new() };
    let pairs: Vec<(&str, f64)> = values
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        // What is no load is none, and does not reach the decisions.
        .filter(|(_, value)| (0.0..=MAX_LOAD_VALUE).contains(value))
        .collect();
    let find = |name: &String| {
        let found = pairs.iter().find(|(n, _)| n == name || short_name(n) == short_name(name));
        found.map_or(f64::NAN, |(_, value)| *value)
    };
    names.iter().map(find).collect()
}

/// A value of a load report above this is none.
const MAX_LOAD_VALUE: f64 = 1e9;

/// Reports use the long names of values, settings the short ones.
fn short_name(name: &str) -> &str {
    match name {
        "inflight" => "rif",
        "queue" => "q",
        "util" => "busy",
        "latency_ms" => "lat_ms",
        "qps" => "rate",
        "eps" => "fail_rate",
        other => other,
    }
}
