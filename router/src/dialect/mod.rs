//! The vocabularies in which model nodes name the events of a stream, read into neutral events and
//! written from them. Where both sides speak the same dialect no byte of a stream is touched.

mod request;
mod write;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

pub use request::Asked;
pub use write::{Answer, ChatWriter, MessagesWriter};

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
pub enum Reason {
    /// The model came to an end.
    Complete,
    /// It reached the most tokens allowed.
    Length,
    /// Something else, in the node's word.
    Other(String),
}

/// A neutral event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The answer has begun; the prompt's tokens if told.
    Started(Option<u64>),
    /// A piece of text.
    Text(String),
    /// The text is complete.
    Finished(Reason),
    /// Token counts, each if told.
    Usage {
        /// Of the prompt.
        prompt: Option<u64>,
        /// Of the prompt, found kept.
        kept: Option<u64>,
        /// Of the answer.
        answer: Option<u64>,
    },
    /// The stream is complete.
    Complete,
    /// The node gives up mid-stream.
    Failed,
    /// A sign of life without content.
    Quiet,
    /// A load report.
    Load(String),
    /// Not in this vocabulary.
    Unknown,
}

#[derive(Deserialize, Default)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Usage {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<Details>,
    input_tokens: Option<u64>,
    output_tokens: Option<u64>,
    cache_read_input_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Delta {
    #[serde(rename = "type")]
    kind: Option<String>,
    content: Option<String>,
    text: Option<String>,
    stop_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct MessageObject {
    usage: Option<Usage>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Object {
    choices: Option<Vec<Choice>>,
    usage: Option<Usage>,
    error: Option<serde::de::IgnoredAny>,
    #[serde(rename = "type")]
    kind: Option<String>,
    delta: Option<Delta>,
    message: Option<MessageObject>,
}

/// Cuts a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    /// How far `held` is known to hold no end.
    seen: usize,
}

impl Events {
    /// Takes what has arrived; gives the whole events among it and before it, if there is one.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.held.extend_from_slice(data);
        let from = self.seen.saturating_sub(3);
        let end = last_blank_line(&self.held[from..]).map(|end| from + end);
        self.seen = self.held.len() - end.unwrap_or(0);
        Some(self.held.split_to(end?).freeze())
    }

    /// What is held of an event that is not whole.
    pub fn rest(&mut self) -> Bytes {
        self.seen = 0;
        self.held.split().freeze()
    }

    /// How much is held.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

/// Where the last event in `data` ends: behind an empty line, its lines ended by LF or CR LF.
fn last_blank_line(data: &[u8]) -> Option<usize> {
    (1..data.len()).rev().find_map(|i| {
        let blank = data[i] == b'\n' && (data[i - 1] == b'\n' || data[..i].ends_with(b"\n\r"));
        blank.then_some(i + 1)
    })
}

impl Event {
    /// Whether a stream has begun with this: a sign of life or an unknown event is no beginning.
    pub fn begins(&self) -> bool {
        !matches!(self, Event::Quiet | Event::Unknown | Event::Load(_))
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

    /// Reads whole events into neutral ones. With `text` false, text may be told empty: who
    /// passes bytes on untouched does not need it.
    pub fn read(self, events: &[u8], text: bool, to: &mut Vec<Event>) {
        let (mut name, mut data) = (&b""[..], Vec::new());
        for line in events.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if !name.is_empty() || !data.is_empty() {
                    self.event(name, &data, text, to);
                }
                (name, data) = (b"", Vec::new());
            } else if let Some(comment) = line.strip_prefix(b":") {
                let comment = comment.trim_ascii();
                match comment.get(..9).filter(|n| n.eq_ignore_ascii_case(b"Srv-Load:")) {
                    Some(_) => to.push(Event::Load(String::from_utf8_lossy(&comment[9..]).trim().into())),
                    None => to.push(Event::Quiet),
                }
            } else if let Some(value) = field(line, b"data") {
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(value);
            } else if let Some(value) = field(line, b"event") {
                name = value;
            }
        }
        if !name.is_empty() || !data.is_empty() {
            self.event(name, &data, text, to);
        }
    }

    fn event(self, name: &[u8], data: &[u8], text: bool, to: &mut Vec<Event>) {
        match self {
            Dialect::Chat => {
                if data == b"[DONE]" {
                    return to.push(Event::Complete);
                }
                // An event without a count or an error has text only: it need not be taken apart.
                let told = |word: &[u8]| data.windows(word.len()).any(|w| w == word);
                if !text && name.is_empty() && !told(b"\"usage\"") && !told(b"\"error\"") {
                    return to.push(Event::Text(String::new()));
                }
                match serde_json::from_slice::<Object>(data) {
                    Ok(o) if name.is_empty() && o.choices.is_some() || o.error.is_some() => chat(o, to),
                    _ => to.push(Event::Unknown),
                }
            }
            Dialect::Messages => messages(name, data, to),
        }
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn chat(o: Object, to: &mut Vec<Event>) {
    if o.error.is_some() {
        return to.push(Event::Failed);
    }
    let before = to.len();
    for choice in o.choices.into_iter().flatten().take(1) {
        if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
            to.push(Event::Text(text));
        }
        if let Some(reason) = choice.finish_reason {
            to.push(Event::Finished(match reason.as_str() {
                "stop" => Reason::Complete,
                "length" => Reason::Length,
                _ => Reason::Other(reason),
            }));
        }
    }
    if let Some(u) = o.usage {
        let kept = u.prompt_tokens_details.and_then(|d| d.cached_tokens);
        to.push(Event::Usage { prompt: u.prompt_tokens, kept, answer: u.completion_tokens });
    }
    if to.len() == before {
        to.push(Event::Quiet);
    }
}

fn messages(name: &[u8], data: &[u8], to: &mut Vec<Event>) {
    let Ok(o) = serde_json::from_slice::<Object>(data) else { return to.push(Event::Unknown) };
    let usage = |u: Usage| {
        // The prompt's count leaves out what was found kept.
        let prompt = u.input_tokens.map(|n| n.saturating_add(u.cache_read_input_tokens.unwrap_or(0)));
        Event::Usage { prompt, kept: u.cache_read_input_tokens, answer: u.output_tokens }
    };
    // The name may stand in the event's line, in the data, or in both.
    let kind = match (std::str::from_utf8(name), o.kind.as_deref()) {
        (Ok(""), Some(kind)) => kind,
        (Ok(name), _) => name,
        _ => "",
    };
    match kind {
        "message_start" => {
            let told = o.message.and_then(|m| m.usage).map(usage);
            let prompt = match told {
                Some(Event::Usage { prompt, .. }) => prompt,
                _ => None,
            };
            to.push(Event::Started(prompt));
            to.extend(told);
        }
        "content_block_delta" => {
            let delta = o.delta.unwrap_or_default();
            match (delta.kind.as_deref(), delta.text) {
                (Some("text_delta"), Some(text)) => to.push(Event::Text(text)),
                _ => to.push(Event::Unknown),
            }
        }
        "message_delta" => {
            if let Some(reason) = o.delta.and_then(|d| d.stop_reason) {
                to.push(Event::Finished(match reason.as_str() {
                    "end_turn" | "stop_sequence" => Reason::Complete,
                    "max_tokens" => Reason::Length,
                    _ => Reason::Other(reason),
                }));
            }
            to.extend(o.usage.map(usage));
        }
        "message_stop" => to.push(Event::Complete),
        "error" => to.push(Event::Failed),
        "ping" | "content_block_start" | "content_block_stop" => to.push(Event::Quiet),
        _ => to.push(Event::Unknown),
    }
}

/// The values of a load report of the form `TEXT name=value, ...`, in the order of `names`; what is absent
/// is not a number, and nothing at all if the form is another.
pub fn read_load(report: &str, names: &[String]) -> Vec<f64> {
    let Some(values) = report.trim().strip_prefix("TEXT") else { return Vec::new() };
    let pairs: Vec<(&str, f64)> = values
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        // What is no load is none, and does not reach the decisions.
        .filter(|(_, value)| (0.0..=ABSURD_LOAD).contains(value))
        .collect();
    let find = |name: &String| {
        let found = pairs.iter().find(|(n, _)| n == name || alias(n) == alias(name));
        found.map_or(f64::NAN, |(_, value)| *value)
    };
    names.iter().map(find).collect()
}

/// A value of a load report above this is none.
const ABSURD_LOAD: f64 = 1e9;

/// Reports use the long names of values, settings the short ones.
fn alias(name: &str) -> &str {
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
