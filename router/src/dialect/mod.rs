//! The protocols in which replicas stream their answers.
//!
//! Stream events are parsed into [`StreamEvent`]s, which are independent of the dialect, and serialized for clients that
//! speak another dialect than the replica. Between a client and a replica of the same dialect, bytes are relayed unchanged.

mod chat;
mod event;
mod load_report;
mod messages;
mod objects;
mod request;
mod splitter;
mod write;

use serde::Deserialize;

pub use event::{StopReason, StreamEvent};
pub use load_report::parse_load_report;
pub use request::{ConversationRequest, RequestBodyError};
pub use splitter::{size_of_well_formed_events, EventSplitter};
pub use write::{ChatWriter, CollectedAnswer, MessagesWriter};

/// The start of a stream comment that carries a load report.
const LOAD_REPORT_PREFIX: &[u8] = b"Srv-Load:";

/// The protocol that a replica speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// Chat completions: events without names, each with a delta of a choice; `[DONE]` at the end.
    Chat,
    /// Messages API: named events from `message_start` to `message_stop`.
    Messages,
}

impl Dialect {
    /// The path of requests to a replica.
    pub fn path(self) -> &'static [u8] {
        match self {
            Dialect::Chat => b"/v1/chat/completions",
            Dialect::Messages => b"/v1/messages",
        }
    }

    /// Parses the complete events in `bytes` and appends them to `events`. Without `with_text`, texts may be replaced by
    /// empty ones, which saves parsing where bytes are relayed unchanged.
    pub fn read_events(self, bytes: &[u8], with_text: bool, events: &mut Vec<StreamEvent>) {
        let (mut name, mut data) = (&b""[..], Vec::new());
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.read_event(name, &data, with_text, events);
                name = b"";
                data.clear();
            } else if let Some(comment) = line.strip_prefix(b":") {
                events.push(read_comment(comment));
            } else if let Some(value) = field_value(line, b"data") {
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(value);
            } else if let Some(value) = field_value(line, b"event") {
                name = value;
            }
        }
        self.read_event(name, &data, with_text, events);
    }

    fn read_event(self, name: &[u8], data: &[u8], with_text: bool, events: &mut Vec<StreamEvent>) {
        match self {
            _ if name.is_empty() && data.is_empty() => {}
            Dialect::Chat => chat::read_event(name, data, with_text, events),
            Dialect::Messages => messages::read_event(name, data, events),
        }
    }
}

fn read_comment(comment: &[u8]) -> StreamEvent {
    let comment = comment.trim_ascii();
    match comment.split_at_checked(LOAD_REPORT_PREFIX.len()) {
        Some((prefix, report)) if prefix.eq_ignore_ascii_case(LOAD_REPORT_PREFIX) => {
            StreamEvent::LoadReport(String::from_utf8_lossy(report).trim().into())
        }
        _ => StreamEvent::KeepAlive,
    }
}

/// The value of an event stream line if its field is `name`.
fn field_value<'line>(line: &'line [u8], name: &[u8]) -> Option<&'line [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
