//! The fronts: they translate client requests into requests of the core, and outcomes into responses.
//!
//! This module has what the fronts share: waiting for the next event of an answer, and writing responses. `accept` accepts
//! connections, `connection` reads requests.

mod accept;
mod body_buffer;
mod client_connection;
mod connection;
mod context;
mod health;
pub mod messages;
pub mod platform;
mod read_ahead;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

pub use accept::serve;
use bytes::{Buf, Bytes};
pub use client_connection::ClientConnection;
pub use connection::close_gracefully;
pub use context::FrontContext;
pub use messages::MessagesFront;
use tallypin::api::Nanos;
use tokio::time::timeout;

use crate::balancer_interface::ListenerKind;
use crate::core::FinalAnswer;
use crate::dispatcher::{RequestHandle, ResponseEvent};
use crate::http::{reason_phrase, HttpError, MessageHead};
use crate::keep_alive::AfterAnswer;
use crate::lifecycle::Stage;
use crate::memory_budget::BufferedBody;

/// A protocol that clients speak.
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The messages API.
    Messages(Box<MessagesFront>),
}

/// A request as it was received.
pub struct IncomingRequest {
    /// The HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The parsed head.
    pub head: MessageHead,
    /// The complete body, and its share of the memory budget.
    pub body: BufferedBody,
    /// When the first byte was read.
    pub received_at: Nanos,
    /// The client's address, from the PROXY header if there is one.
    pub client: Option<SocketAddr>,
}

impl IncomingRequest {
    /// The request path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|b| *b == b'?').next().unwrap_or_default()
    }

    /// The value of the `idempotency-key` header field, if the request has one.
    pub fn idempotency_key(&self) -> Result<Option<Bytes>, HttpError> {
        // Copied, as a slice would keep the complete head in memory.
        Ok(self.head.single_value("idempotency-key")?.map(|key| Bytes::copy_from_slice(key)))
    }

    /// The part of `timeout`, counted from the arrival of the request, that remains at `now`.
    pub fn time_left(&self, now: Nanos, timeout: Nanos) -> Nanos {
        timeout.saturating_sub(now.saturating_sub(self.received_at))
    }
}

/// Why a front rejects a request without passing it to the core. The names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The message is malformed, too large or uses an unsupported transfer coding.
    Bad(HttpError),
    /// The path is unknown.
    NotFound,
    /// The path does not support the method.
    Method,
    /// A limit on connections, requests or body memory is reached, or the router shuts down.
    Full,
    /// The request was not complete in time.
    Slow,
    /// Another request in flight has the same identifier.
    Twice,
}

impl Rejection {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Bad(HttpError::Malformed) => 400,
            Rejection::Bad(HttpError::BodyTooLarge) => 413,
            Rejection::Bad(HttpError::HeadTooLarge) => 431,
            Rejection::Bad(HttpError::UnsupportedCoding) => 501,
            Rejection::NotFound => 404,
            Rejection::Method => 405,
            Rejection::Full => 503,
            Rejection::Slow => 408,
            Rejection::Twice => 409,
        }
    }
}

impl From<HttpError> for Rejection {
    fn from(error: HttpError) -> Self {
        Rejection::Bad(error)
    }
}

/// What happens next while a front waits for an answer.
pub enum NextEvent {
    /// An event of the response.
    Response(ResponseEvent),
    /// The client has closed its connection.
    ClientDisconnected,
}

/// Waits for the next event of the response, or until the client closes its connection. Reads the client's input meanwhile.
pub async fn next_event(connection: &mut ClientConnection, handle: &mut RequestHandle) -> NextEvent {
    tokio::select! {
        biased;
        // The channel is closed without a final event if this router cancelled the stream: the stream counts as interrupted.
        event = handle.next() => {
            NextEvent::Response(event.unwrap_or(ResponseEvent::End(FinalAnswer::Interrupted)))
        }
        () = connection.read_until_closed() => {
            tracing::debug!(target: "front", received = connection.wire.received(),
                "client closed its connection before its answer was complete");
            NextEvent::ClientDisconnected
        }
    }
}

/// Writes part of a response; fails with `TimedOut` if the client does not read it within the write timeout. The timeout is
/// shorter while other answers wait for memory.
pub async fn write(
    context: &FrontContext,
    connection: &mut ClientConnection,
    parts: impl Buf,
) -> io::Result<()> {
    let shorter_timeout = context.limits.client_write_timeout_in_shortage;
    tokio::select! {
        biased;
        written = timeout(context.limits.client_write_timeout, connection.wire.write(parts)) => {
            written.map_err(|_| io::ErrorKind::TimedOut)?
        }
        () = context.answer_budget.shortage_lasting(shorter_timeout) => {
            tracing::info!(target: "front", "closing a client connection: it is not read, and memory for answers is short");
            Err(io::ErrorKind::TimedOut.into())
        }
    }
}

/// Writes `head`, if it is not empty, and one chunk, with the same timeout as [`write()`].
pub async fn write_chunk(
    context: &FrontContext,
    connection: &mut ClientConnection,
    head: Bytes,
    data: Bytes,
) -> io::Result<()> {
    let size = Bytes::from(format!("{:x}\r\n", data.len()));
    write(context, connection, head.chain(size).chain(data).chain(&b"\r\n"[..])).await
}

/// Writes a complete response with `Content-Length`; `fields` are further header fields, each with its line end.
pub async fn write_response(
    context: &FrontContext,
    connection: &mut ClientConnection,
    status: u16,
    fields: &str,
    body: Bytes,
) -> io::Result<()> {
    let common = common_fields(context);
    let (reason, length) = (reason_phrase(status), body.len());
    let head = format!("HTTP/1.1 {status} {reason}\r\n{fields}{common}Content-Length: {length}\r\n\r\n");
    write(context, connection, Bytes::from(head).chain(body)).await
}

/// The header fields that every response carries at this moment: health fields for balancers, and `Connection: close` once
/// a shutdown announces the close. Responses on the platform's front have none before a shutdown.
fn common_fields(context: &FrontContext) -> String {
    let health = context.balancer_interface.response_fields();
    let close =
        if context.lifecycle.stage() >= Stage::AnnouncingClose { "Connection: close\r\n" } else { "" };
    if health.is_empty() {
        return close.into();
    }
    format!("{health}{close}")
}

/// Returns the head of a streamed response if `head_pending` is set, and clears it, so the head is returned only the first
/// time; empty otherwise. `fields` and the common fields are inserted before the blank line at the end of `head`.
pub fn take_stream_head(
    context: &FrontContext,
    head_pending: &mut bool,
    head: &'static [u8],
    fields: &str,
) -> Bytes {
    if !std::mem::take(head_pending) {
        return Bytes::new();
    }
    let common = common_fields(context);
    if common.is_empty() && fields.is_empty() {
        return Bytes::from_static(head);
    }
    let without_blank_line = &head[..head.len() - 2];
    [without_blank_line, fields.as_bytes(), common.as_bytes(), b"\r\n"].concat().into()
}

/// The value of Retry-After in seconds: the core's advice, at least the configured minimum.
pub fn retry_after_seconds(context: &FrontContext, advice: Nanos) -> f64 {
    advice.max(context.limits.min_retry_after.as_nanos() as Nanos) as f64 / 1e9
}

impl Front {
    fn listener_kind(&self) -> ListenerKind {
        match self {
            Front::Platform => ListenerKind::Platform,
            Front::Messages(_) => ListenerKind::Messages,
        }
    }

    /// Whether a request is a health check of the router.
    fn is_health_check(&self, request: &IncomingRequest) -> bool {
        let is_health_path = match self {
            Front::Platform => request.path() == b"/up",
            Front::Messages(_) => matches!(request.path(), b"/up" | b"/healthz"),
        };
        is_health_path && matches!(&request.method[..], b"GET" | b"HEAD")
    }

    async fn answer(
        &self,
        context: &Rc<FrontContext>,
        connection: &mut ClientConnection,
        request: IncomingRequest,
    ) -> io::Result<AfterAnswer> {
        if self.is_health_check(&request) {
            let is_head = &request.method[..] == b"HEAD";
            return health::answer(context, connection, is_head).await.map(|()| AfterAnswer::KeepOpen);
        }
        match self {
            Front::Platform => platform::answer(context, connection, request).await,
            Front::Messages(front) => front.answer(context, connection, request).await,
        }
    }

    async fn reject(
        &self,
        context: &FrontContext,
        connection: &mut ClientConnection,
        rejection: Rejection,
    ) -> io::Result<AfterAnswer> {
        match self {
            Front::Platform => platform::reject(context, connection, rejection).await,
            Front::Messages(_) => messages::reject(context, connection, rejection).await,
        }
    }
}
