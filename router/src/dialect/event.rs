//! Stream events, independent of the dialect.

/// Why an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// The model completed the answer.
    Complete,
    /// The answer reached the maximum number of tokens.
    Length,
    /// Another reason, as the replica states it.
    Other(String),
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The answer has begun; with the number of prompt tokens if it is stated.
    Started(Option<u64>),
    /// Text that continues the answer.
    Text(String),
    /// The text is complete.
    Finished(StopReason),
    /// Token counts, as far as they are stated.
    Usage {
        /// Tokens of the prompt.
        prompt_tokens: Option<u64>,
        /// Tokens of the prompt that were in the replica's prefix cache.
        cached_tokens: Option<u64>,
        /// Tokens of the answer.
        answer_tokens: Option<u64>,
    },
    /// The stream is complete.
    Complete,
    /// The replica reports an error and ends the stream.
    Failed,
    /// An event without content that keeps the connection alive.
    KeepAlive,
    /// A load report, not parsed.
    LoadReport(String),
    /// Not an event of this dialect.
    Unknown,
}

impl StreamEvent {
    /// Whether an answer has begun with this event; events without a part of the answer do not begin it.
    pub fn begins_answer(&self) -> bool {
        !matches!(self, StreamEvent::KeepAlive | StreamEvent::Unknown | StreamEvent::LoadReport(_))
    }
}
