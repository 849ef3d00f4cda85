//! A request, the outcomes of its attempts, and the reasons for rejecting it.

use super::ids::{ClassId, Nanos, PrefixKey, RequestId, SessionKey, TenantId};

/// A request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request; ignored if no tenants are configured.
    pub tenant: TenantId,
    /// Time until the client gives up, ns.
    pub time_left: Nanos,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that belong to the shared prefix.
    pub prefix_tokens: u32,
    /// Session of the request, if any.
    pub session: Option<SessionKey>,
    /// Shared prefix of the prompt, if any.
    pub prefix: Option<PrefixKey>,
    /// Whether the client requests the rest of a broken or migrated stream.
    pub resumes_stream: bool,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_client_retry: bool,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt completed.
    Completed,
    /// The replica answered with an error. The attempt may have run.
    ReplicaError,
    /// The replica rejected the attempt. It never ran.
    Rejected,
    /// The replica did not answer in time. The attempt may have run.
    TimedOut,
    /// No connection could be established. The attempt never ran.
    ConnectionRefused,
    /// The connection broke. The attempt may have run.
    ConnectionReset,
    /// The attempt was cancelled. It may have run.
    Cancelled,
    /// The attempt was not sent. It never ran.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectionRefused | Outcome::NotSent)
    }
}

/// Result of an attempt that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// The request of the attempt.
    pub request: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time since the attempt was sent, ns.
    pub elapsed: Nanos,
    /// Whether the request ended with this attempt or earlier, so that it needs no further answer.
    pub request_over: bool,
    /// Prompt tokens that the replica had cached, if it reported them.
    pub cached_tokens: Option<u32>,
    /// The replica's load report, in the order of [`Settings::report_fields`](crate::api::Settings::report_fields);
    /// empty if there was none.
    pub load: Vec<f64>,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The tenant has used up its quota.
    QuotaExceeded,
    /// No replica is likely to return a first token in time, or no attempt returned one.
    NoCapacity,
}
