//! Reads events of the chat completions dialect.

use super::objects::{StreamObject, UsageObject};
use super::{StopReason, StreamEvent};

/// Parses one event and appends its content to `events`. Without `with_text`, an event that can only carry text is not
/// parsed; an empty text stands for it.
pub(super) fn read_event(name: &[u8], data: &[u8], with_text: bool, events: &mut Vec<StreamEvent>) {
    if data == b"[DONE]" {
        return events.push(StreamEvent::Complete);
    }
    let contains = |field: &[u8]| data.windows(field.len()).any(|window| window == field);
    if !with_text && name.is_empty() && !contains(b"\"usage\"") && !contains(b"\"error\"") {
        return events.push(StreamEvent::Text(String::new()));
    }
    match serde_json::from_slice::<StreamObject>(data) {
        Ok(object) if object.error.is_some() => events.push(StreamEvent::Failed),
        Ok(object) if name.is_empty() && object.choices.is_some() => read_object(object, events),
        _ => events.push(StreamEvent::Unknown),
    }
}

fn read_object(object: StreamObject, events: &mut Vec<StreamEvent>) {
    let before = events.len();
    // The router requests a single choice.
    if let Some(choice) = object.choices.into_iter().flatten().next() {
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            events.push(StreamEvent::Text(text));
        }
        events.extend(choice.finish_reason.map(|reason| StreamEvent::Finished(stop_reason(reason))));
    }
    events.extend(object.usage.map(usage_event));
    if events.len() == before {
        events.push(StreamEvent::KeepAlive);
    }
}

fn stop_reason(reason: String) -> StopReason {
    match reason.as_str() {
        "stop" => StopReason::Complete,
        "length" => StopReason::Length,
        _ => StopReason::Other(reason),
    }
}

fn usage_event(usage: UsageObject) -> StreamEvent {
    StreamEvent::Usage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.prompt_tokens_details.and_then(|details| details.cached_tokens),
        answer_tokens: usage.completion_tokens,
    }
}
