//! The JSON objects of events. Both dialects share them: an event with a field of the wrong type is malformed even if the
//! field belongs to the other dialect.

use serde::Deserialize;

#[derive(Deserialize, Default)]
pub(super) struct PromptTokenDetails {
    #[serde(default)]
    pub cached_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct UsageObject {
    pub prompt_tokens: Option<u64>,
    pub completion_tokens: Option<u64>,
    pub prompt_tokens_details: Option<PromptTokenDetails>,
    pub input_tokens: Option<u64>,
    pub output_tokens: Option<u64>,
    pub cache_read_input_tokens: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct DeltaObject {
    #[serde(rename = "type")]
    pub kind: Option<String>,
    pub content: Option<String>,
    pub text: Option<String>,
    pub stop_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct ChatChoice {
    pub delta: DeltaObject,
    pub finish_reason: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct MessageStartObject {
    pub usage: Option<UsageObject>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct StreamObject {
    pub choices: Option<Vec<ChatChoice>>,
    pub usage: Option<UsageObject>,
    pub error: Option<serde::de::IgnoredAny>,
    #[serde(rename = "type")]
    pub kind: Option<String>,
    pub delta: Option<DeltaObject>,
    pub message: Option<MessageStartObject>,
}
