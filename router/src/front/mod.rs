//! The fronts: what clients speak, turned into core requests, and outcomes turned back. Here stands what
//! they share: waiting for an answer's next piece, and writing it. Accepting is in `accept`, reading in `connection`.

mod accept;
mod connection;
mod context;
mod health;
pub mod messages;
pub mod platform;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

pub use accept::serve;
use bytes::{Buf, Bytes};
pub use connection::linger;
pub use context::FrontContext;
pub use messages::MessagesFront;
use tallypin::api::Nanos;
use tokio::time::timeout;

use crate::body_budget::BufferedBody;
use crate::core::FinalAnswer;
use crate::dispatcher::{RequestHandle, ResponseEvent};
use crate::http::{reason_phrase, BufferedConnection, HttpError, MessageHead};
use crate::keep_alive::AfterAnswer;
use crate::lifecycle::Stage;
use crate::outward::Door;

/// A front.
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The messages API.
    Messages(Box<MessagesFront>),
}

/// A request as it was read.
pub struct Incoming {
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The head.
    pub head: MessageHead,
    /// The body.
    pub body: BufferedBody,
    /// When its first byte was seen.
    pub since: Nanos,
    /// Where its client is, where a balancer says so.
    pub client: Option<SocketAddr>,
}

impl Incoming {
    /// The path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|b| *b == b'?').next().unwrap_or_default()
    }

    /// The client's idempotency key, if it sent one.
    pub fn idempotency_key(&self) -> Result<Option<Bytes>, HttpError> {
        Ok(self.head.single_value("idempotency-key")?.cloned())
    }

    /// What is left at `now` of a wait that began when the client sent.
    pub fn left(&self, now: Nanos, wait: Nanos) -> Nanos {
        wait.saturating_sub(now.saturating_sub(self.since))
    }
}

/// Why a request gets no further than its front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It is no request that could be taken.
    Bad(HttpError),
    /// There is no such thing here.
    NotFound,
    /// Not with this method.
    Method,
    /// The router holds as much as it can.
    Full,
    /// It did not come whole in time.
    Slow,
    /// It bears the name of another one.
    Twice,
}

impl Rejection {
    /// The status that says so.
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
    fn from(bad: HttpError) -> Self {
        Rejection::Bad(bad)
    }
}

/// What a waiting client's front has to deal with next.
pub enum Next {
    /// Something of the answer.
    Piece(ResponseEvent),
    /// The client has left.
    Left,
}

/// Waits for the next piece of an answer, and notices when the client leaves.
pub async fn next(context: &FrontContext, wire: &mut BufferedConnection, ticket: &mut RequestHandle) -> Next {
    loop {
        // A client that sends on before it has its answer is read only so far; its end is seen all the same.
        let room = wire.unread.len() < context.limits.max_head_size;
        let sends_on = async {
            match room {
                true => matches!(wire.read_more().await, Ok(true)),
                false => {
                    wire.wait_until_closed(context.limits.client_departure_check_interval).await;
                    false
                }
            }
        };
        tokio::select! {
            biased;
            // A stream that was ended here leaves no word.
            piece = ticket.next() => {
                return Next::Piece(piece.unwrap_or(ResponseEvent::End(FinalAnswer::Interrupted)))
            }
            sends_on = sends_on => if !sends_on {
                return Next::Left;
            },
        }
    }
}

/// Writes part of an answer; a client that takes nothing for too long counts as gone.
pub async fn write(context: &FrontContext, wire: &mut BufferedConnection, parts: impl Buf) -> io::Result<()> {
    timeout(context.limits.client_write_timeout, wire.write(parts))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)?
}

/// Writes one chunk in the same way.
pub async fn write_chunk(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    head: Bytes,
    data: Bytes,
) -> io::Result<()> {
    let size = Bytes::from(format!("{:x}\r\n", data.len()));
    write(context, wire, head.chain(size).chain(data).chain(&b"\r\n"[..])).await
}

/// Writes a whole short answer.
pub async fn write_whole(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    status: u16,
    fields: &str,
    body: Bytes,
) -> io::Result<()> {
    let carried = carried(context);
    let (why, length) = (reason_phrase(status), body.len());
    let head = format!("HTTP/1.1 {status} {why}\r\n{fields}{carried}Content-Length: {length}\r\n\r\n");
    write(context, wire, Bytes::from(head).chain(body)).await
}

/// The fields that any answer carries now: what balancers are told with it, and whether it is the last on its
/// connection. On the platform there are none before the end.
fn carried(context: &FrontContext) -> String {
    let told = context.outward.fields();
    let last = if context.lifecycle.stage() >= Stage::AnnouncingClose { "Connection: close\r\n" } else { "" };
    if told.is_empty() {
        return last.into();
    }
    format!("{told}{last}")
}

/// The head of a stream, the first time; nothing after that. `head` ends with its blank line.
pub fn opening(context: &FrontContext, unsaid: &mut bool, head: &'static [u8], fields: &str) -> Bytes {
    if !std::mem::take(unsaid) {
        return Bytes::new();
    }
    let carried = carried(context);
    if carried.is_empty() && fields.is_empty() {
        return Bytes::from_static(head);
    }
    let before = &head[..head.len() - 2];
    [before, fields.as_bytes(), carried.as_bytes(), b"\r\n"].concat().into()
}

/// How long to stay away, as a field of a refusal: the module's advice, in seconds.
pub fn retry_after(context: &FrontContext, advice: Nanos) -> f64 {
    advice.max(context.limits.min_retry_after.as_nanos() as Nanos) as f64 / 1e9
}

impl Front {
    fn door(&self) -> Door {
        match self {
            Front::Platform => Door::Platform,
            Front::Messages(_) => Door::Messages,
        }
    }

    /// Whether a request asks for the router's state.
    fn asks_health(&self, request: &Incoming) -> bool {
        let here = match self {
            Front::Platform => request.path() == b"/up",
            Front::Messages(_) => matches!(request.path(), b"/up" | b"/healthz"),
        };
        here && matches!(&request.method[..], b"GET" | b"HEAD")
    }

    async fn answer(
        &self,
        context: &Rc<FrontContext>,
        wire: &mut BufferedConnection,
        request: Incoming,
    ) -> io::Result<AfterAnswer> {
        if self.asks_health(&request) {
            let bodiless = &request.method[..] == b"HEAD";
            return health::answer(context, wire, bodiless).await.map(|()| AfterAnswer::KeepOpen);
        }
        match self {
            Front::Platform => platform::answer(context, wire, request).await,
            Front::Messages(front) => front.answer(context, wire, request).await,
        }
    }

    async fn reject(
        &self,
        context: &FrontContext,
        wire: &mut BufferedConnection,
        why: Rejection,
    ) -> io::Result<AfterAnswer> {
        match self {
            Front::Platform => platform::reject(context, wire, why).await,
            Front::Messages(_) => messages::reject(context, wire, why).await,
        }
    }
}
