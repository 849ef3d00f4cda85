//! Reads events of the messages dialect.

use super::objects::{DeltaObject, StreamObject, UsageObject};
use super::{StopReason, StreamEvent};

/// Parses one event and appends its content to `events`.
pub(super) fn read_event(name: &[u8], data: &[u8], events: &mut Vec<StreamEvent>) {
    let Ok(object) = serde_json::from_slice::<StreamObject>(data) else {
        return events.push(StreamEvent::Unknown);
    };
    // The name may be in the event field, in the data, or in both.
    let kind = match (std::str::from_utf8(name), object.kind.as_deref()) {
        (Ok(""), Some(kind)) => kind,
        (Ok(name), _) => name,
        _ => "",
    };
    match kind {
        "message_start" => {
            let usage = object.message.and_then(|message| message.usage);
            events.push(StreamEvent::Started(usage.as_ref().and_then(prompt_tokens)));
            events.extend(usage.map(usage_event));
        }
        "content_block_delta" => events.push(read_delta(object.delta.unwrap_or_default())),
        "message_delta" => {
            let reason = object.delta.and_then(|delta| delta.stop_reason);
            events.extend(reason.map(|reason| StreamEvent::Finished(stop_reason(reason))));
            events.extend(object.usage.map(usage_event));
        }
        "message_stop" => events.push(StreamEvent::Complete),
        "error" => events.push(StreamEvent::Failed),
        "ping" | "content_block_start" | "content_block_stop" => events.push(StreamEvent::KeepAlive),
        _ => events.push(StreamEvent::Unknown),
    }
}

fn read_delta(delta: DeltaObject) -> StreamEvent {
    match (delta.kind.as_deref(), delta.text) {
        (Some("text_delta"), Some(text)) => StreamEvent::Text(text),
        _ => StreamEvent::Unknown,
    }
}

fn stop_reason(reason: String) -> StopReason {
    match reason.as_str() {
        "end_turn" | "stop_sequence" => StopReason::Complete,
        "max_tokens" => StopReason::Length,
        _ => StopReason::Other(reason),
    }
}

/// The number of prompt tokens; `input_tokens` excludes those that were in the cache.
fn prompt_tokens(usage: &UsageObject) -> Option<u64> {
    let cached = usage.cache_read_input_tokens.unwrap_or(0);
    usage.input_tokens.map(|others| others.saturating_add(cached))
}

fn usage_event(usage: UsageObject) -> StreamEvent {
    StreamEvent::Usage {
        prompt_tokens: prompt_tokens(&usage),
        cached_tokens: usage.cache_read_input_tokens,
        answer_tokens: usage.output_tokens,
    }
}
