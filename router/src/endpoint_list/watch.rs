//! The call that watches the endpoint list: its request, and the messages of its response.

use std::rc::Rc;
use std::{fmt, io};

use bytes::{Bytes, BytesMut};
use tallypin::api::ListUpdate;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::apply::apply;
use super::context::EndpointListContext;
use super::message::EndpointListMessage;
use super::object_reader::{NotAnObject, ObjectReader};
use super::source::ListSource;
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, MessageHead, StartLine};

/// Why a watch is lost.
#[derive(Debug)]
pub(super) enum WatchError {
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection failed.
    Io(io::Error),
    /// It was closed before a whole response head.
    ClosedBeforeHead,
    /// The response head is malformed.
    MalformedHead,
    /// The response is not an open stream of messages; this is its first line.
    UnexpectedResponse(StartLine),
    /// A chunk is malformed.
    MalformedChunk,
    /// What stands where a message should begin is no JSON object.
    NotAnObject,
    /// A message has another form.
    InvalidMessage(serde_json::Error),
    /// A message is larger than this limit, bytes.
    MessageTooLarge(usize),
    /// The response has ended.
    Ended,
    /// The connection was closed.
    Closed,
    /// Nothing arrived for longer than the timeouts allow, or no whole message.
    Silent,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::ConnectTimeout => f.write_str("connection not established in time"),
            WatchError::Io(error) => error.fmt(f),
            WatchError::ClosedBeforeHead => f.write_str("connection closed before the response head"),
            WatchError::MalformedHead => f.write_str("malformed response head"),
            WatchError::UnexpectedResponse(start) => write!(f, "unexpected response {start:?}"),
            WatchError::MalformedChunk => f.write_str("malformed chunk"),
            WatchError::NotAnObject => f.write_str("malformed message: not a JSON object"),
            WatchError::InvalidMessage(error) => write!(f, "malformed message: {error}"),
            WatchError::MessageTooLarge(limit) => write!(f, "a message of more than {limit} bytes"),
            WatchError::Ended => f.write_str("response ended"),
            WatchError::Closed => f.write_str("connection closed"),
            WatchError::Silent => f.write_str("nothing whole within the time limit"),
        }
    }
}

impl std::error::Error for WatchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WatchError::Io(error) => Some(error),
            WatchError::InvalidMessage(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> Self {
        WatchError::Io(error)
    }
}

impl From<NotAnObject> for WatchError {
    fn from(_: NotAnObject) -> Self {
        WatchError::NotAnObject
    }
}

/// Watches the list at `source` until the watch is lost. Dropping it closes the connection.
pub(super) async fn watch(context: Rc<EndpointListContext>, source: Rc<ListSource>) -> WatchError {
    match follow_messages(&context, &source).await {
        Ok(never) => match never {},
        Err(lost) => lost,
    }
}

/// No value: a watch ends with an error only.
enum Never {}

async fn follow_messages(
    context: &Rc<EndpointListContext>,
    source: &ListSource,
) -> Result<Never, WatchError> {
    let limits = &context.limits;
    let mut wire = connect(context, source).await?;
    let framing = read_head(context, &mut wire).await?;
    note_incomplete(context, source);
    let (mut body, mut objects) =
        (BodyReader::new(framing, limits.max_list_line_size as u64), ObjectReader::default());
    loop {
        match body.next_part(&mut wire.unread) {
            Ok(Some(BodyPart::Data(data))) => {
                objects.push(&data);
                let whole = apply_whole_messages(context, source, &mut objects).await?;
                if whole > 0 || objects.held() == 0 {
                    note_sign_of_life(context, source);
                }
                if objects.held() > 0 && !data.trim_ascii().is_empty() {
                    note_incomplete(context, source);
                }
                if objects.held() > limits.max_list_line_size {
                    return Err(WatchError::MessageTooLarge(limits.max_list_line_size));
                }
            }
            Ok(Some(BodyPart::End)) => return Err(WatchError::Ended),
            Err(_) => return Err(WatchError::MalformedChunk),
            Ok(None) if wire.read_more().await? => {}
            Ok(None) => return Err(WatchError::Closed),
        }
    }
}

/// A whole message has arrived, or a blank line between messages.
fn note_sign_of_life(context: &EndpointListContext, source: &ListSource) {
    if source.clock.heard(context.clock.now()) {
        context.state.count(|counts| counts.established += 1);
        tracing::info!(target: "node_list", address = %source.address, version = source.version.get(),
            unheard_ms = context.state.unheard_for().as_millis() as u64, "endpoint list watch established");
    }
    context.state.heard();
}

/// A response or a message has begun, or gone on, and is not whole.
fn note_incomplete(context: &EndpointListContext, source: &ListSource) {
    source.clock.incomplete(context.clock.now());
    source.timeouts_changed.notify_one();
}

/// Connects and sends the request, which names the version that is known.
async fn connect(
    context: &EndpointListContext,
    source: &ListSource,
) -> Result<BufferedConnection, WatchError> {
    let connecting = timeout(context.limits.watch_silence_timeout, TcpStream::connect(source.address));
    let stream = connecting.await.map_err(|_| WatchError::ConnectTimeout)??;
    let mut wire = BufferedConnection::new(stream);
    let since = source.version.get().map_or(String::new(), |version| format!("&since={version}"));
    let request = format!("GET /discovery/hosts?follow=1{since} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    wire.write(Bytes::from(request)).await?;
    Ok(wire)
}

/// Reads the response head; gives the framing of the body behind it. It has no time limit of its own: the clock of the
/// watch abandons it, or the decisions ask for another one.
async fn read_head(
    context: &EndpointListContext,
    wire: &mut BufferedConnection,
) -> Result<BodyFraming, WatchError> {
    let head = loop {
        match parse_head(context, &mut wire.unread)? {
            Some(head) => break head,
            None if wire.read_more().await? => {}
            None => return Err(WatchError::ClosedBeforeHead),
        }
    };
    match (&head.start_line, head.framing()) {
        (StartLine::Status(200), Ok(framing)) if framing != BodyFraming::Length(0) => Ok(framing),
        _ => Err(WatchError::UnexpectedResponse(head.start_line)),
    }
}

fn parse_head(context: &EndpointListContext, buf: &mut BytesMut) -> Result<Option<MessageHead>, WatchError> {
    MessageHead::parse_response(buf, &context.limits).map_err(|_| WatchError::MalformedHead)
}

/// Applies the messages that have arrived whole, but for those that are older than what is known; how many were whole.
async fn apply_whole_messages(
    context: &Rc<EndpointListContext>,
    source: &ListSource,
    objects: &mut ObjectReader,
) -> Result<usize, WatchError> {
    let mut whole = 0;
    while let Some(object) = objects.take()? {
        whole += 1;
        let message: EndpointListMessage =
            serde_json::from_slice(&object).map_err(WatchError::InvalidMessage)?;
        if source.superseded.get() {
            // This watch is dropped as soon as its follower has seen that the new source answered.
            return std::future::pending().await;
        }
        if !source.is_newer(&message) {
            if !source.older_reported.replace(true) {
                tracing::warn!(target: "node_list", version = message.version, known = source.version.get(),
                    "older versions of the endpoint list ignored");
            }
            continue;
        }
        source.accept(&message);
        context.state.applied(message.version);
        tracing::debug!(target: "node_list", address = %source.address, version = message.version, full = message.full,
            records = message.endpoints.len(), "endpoint list message");
        apply(context, &message, if message.full { ListUpdate::Full } else { ListUpdate::Delta });
        source.answered.notify_one();
    }
    Ok(whole)
}
