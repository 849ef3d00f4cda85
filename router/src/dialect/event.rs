//! What the events of a stream say, in no dialect.

/// Why an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// The model came to an end.
    Complete,
    /// It reached the most tokens allowed.
    Length,
    /// Another reason, in the replica's word.
    Other(String),
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The answer has begun; with the tokens of the prompt if they are stated.
    Started(Option<u64>),
    /// Text that continues the answer.
    Text(String),
    /// The text is complete.
    Finished(StopReason),
    /// Token counts, each if it is stated.
    Usage {
        /// Of the prompt.
        prompt_tokens: Option<u64>,
        /// Of the prompt, found in the replica's prefix cache.
        cached_tokens: Option<u64>,
        /// Of the answer.
        answer_tokens: Option<u64>,
    },
    /// The stream is complete.
    Complete,
    /// The replica gives up in mid-stream.
    Failed,
    /// Shows that the replica is alive, and says nothing else.
    KeepAlive,
    /// A load report, not parsed.
    LoadReport(String),
    /// Not an event of this dialect.
    Unknown,
}

impl StreamEvent {
    /// Whether an answer has begun with this event: not with one that carries none of the answer.
    pub fn begins_answer(&self) -> bool {
        !matches!(self, StreamEvent::KeepAlive | StreamEvent::Unknown | StreamEvent::LoadReport(_))
    }
}
