//! A request, how its attempts end, and why it is rejected.

use super::ids::{ClassId, Nanos, PrefixKey, RequestId, SessionKey, TenantId};

/// A request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; ignored without tenants.
    pub tenant: TenantId,
    /// Time until the client gives up.
    pub time_left: Nanos,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// How many of them are the shared prefix.
    pub prefix_tokens: u32,
    /// The session.
    pub session: Option<SessionKey>,
    /// The shared prefix.
    pub prefix: Option<PrefixKey>,
    /// The client asks for the rest of a broken or migrated stream.
    pub resumes_stream: bool,
    /// The client marks this as a retry of an earlier request, where clients do.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete.
    Completed,
    /// The replica answered with an error; the attempt may have run.
    ReplicaError,
    /// The replica rejected it; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectionRefused,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectionRefused | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its send.
    pub elapsed: Nanos,
    /// The request is over, by this or before it: no answer is owed.
    pub request_over: bool,
    /// Prompt tokens that the replica had cached, if it says so.
    pub cached_tokens: Option<u32>,
    /// The replica's load report, in the order of
    /// [`Settings::report_fields`](crate::api::Settings::report_fields); empty if none came.
    pub load: Vec<f64>,
}

/// What a request is rejected for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its tenant has used up its quota.
    QuotaExceeded,
    /// No replica would give a first token in time, or none did.
    NoCapacity,
}
