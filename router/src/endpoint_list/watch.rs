//! The HTTP call that watches the endpoint list: its request, and the stream of messages in its response.

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
    /// The connection was not established within the timeout.
    ConnectTimeout,
    /// The connection failed.
    Io(io::Error),
    /// The connection was closed before the response head was complete.
    ClosedBeforeHead,
    /// The response head is malformed.
    MalformedHead,
    /// The response is not an open stream of messages; contains its start line.
    UnexpectedResponse(StartLine),
    /// A chunk is malformed.
    MalformedChunk,
    /// The stream has other data where a JSON object should begin.
    NotAnObject,
    /// A message does not have the expected form.
    InvalidMessage(serde_json::Error),
    /// A message is larger than this limit, in bytes.
    MessageTooLarge(usize),
    /// The response has ended.
    Ended,
    /// The connection was closed.
    Closed,
    /// No complete message or keep-alive arrived within the timeouts.
    Silent,
}

impl WatchError {
    /// Whether the service has answered, but not with a list: it can be reached.
    pub fn is_answer(&self) -> bool {
        match self {
            WatchError::ConnectTimeout
            | WatchError::Io(_)
            | WatchError::ClosedBeforeHead
            | WatchError::Closed
            | WatchError::Silent => false,
            WatchError::MalformedHead
            | WatchError::UnexpectedResponse(_)
            | WatchError::MalformedChunk
            | WatchError::NotAnObject
            | WatchError::InvalidMessage(_)
            | WatchError::MessageTooLarge(_)
            | WatchError::Ended => true,
        }
    }
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
            WatchError::MessageTooLarge(limit) => write!(f, "message larger than {limit} bytes"),
            WatchError::Ended => f.write_str("response ended"),
            WatchError::Closed => f.write_str("connection closed"),
            WatchError::Silent => f.write_str("no complete message within the time limit"),
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

/// Watches the list at `source` until the watch is lost, and returns the reason. Dropping the future closes the connection.
pub(super) async fn watch(context: Rc<EndpointListContext>, source: Rc<ListSource>) -> WatchError {
    match follow_messages(&context, &source).await {
        Ok(never) => match never {},
        Err(lost) => lost,
    }
}

/// Result of a watch that ends without an error. The type has no values, as every watch ends with an error.
enum Never {}

async fn follow_messages(
    context: &Rc<EndpointListContext>,
    source: &ListSource,
) -> Result<Never, WatchError> {
    let limits = &context.limits;
    let mut wire = connect(context, source).await?;
    let framing = read_head(context, &mut wire).await?;
    record_incomplete(context, source);
    let (mut body, mut objects) =
        (BodyReader::new(framing, limits.max_list_message_size as u64), ObjectReader::default());
    loop {
        match body.next_part(&mut wire.read_buffer) {
            Ok(Some(BodyPart::Data(data))) => {
                objects.push(&data);
                let complete = apply_complete_messages(context, source, &mut objects).await?;
                if complete > 0 || objects.buffered() == 0 {
                    record_activity(context, source);
                }
                if objects.buffered() > 0 && !data.trim_ascii().is_empty() {
                    record_incomplete(context, source);
                }
                if objects.buffered() > limits.max_list_message_size {
                    return Err(WatchError::MessageTooLarge(limits.max_list_message_size));
                }
            }
            Ok(Some(BodyPart::End)) => return Err(WatchError::Ended),
            Err(_) => return Err(WatchError::MalformedChunk),
            Ok(None) if wire.read_more().await? => {}
            Ok(None) => return Err(WatchError::Closed),
        }
    }
}

/// Records that a complete message or a blank line between messages arrived.
fn record_activity(context: &EndpointListContext, source: &ListSource) {
    if source.clock.record_activity(context.clock.now()) {
        context.state.update_counts(|counts| counts.established += 1);
        tracing::info!(target: "node_list", address = %source.address, version = source.version.get(),
            unheard_ms = context.state.time_since_activity().as_millis() as u64, "endpoint list watch established");
    }
    context.state.record_activity();
}

/// Records that data of a response or message arrived, but not its end.
fn record_incomplete(context: &EndpointListContext, source: &ListSource) {
    source.clock.record_incomplete(context.clock.now());
    source.timeouts_changed.notify_one();
}

/// Connects and sends the request, which contains the known version.
async fn connect(
    context: &EndpointListContext,
    source: &ListSource,
) -> Result<BufferedConnection, WatchError> {
    let connection = timeout(context.limits.watch_silence_timeout, TcpStream::connect(source.address));
    let stream = connection.await.map_err(|_| WatchError::ConnectTimeout)??;
    let mut wire = BufferedConnection::new(stream);
    let since = source.version.get().map_or(String::new(), |version| format!("&since={version}"));
    let request = format!("GET /discovery/hosts?follow=1{since} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    wire.write(Bytes::from(request)).await?;
    Ok(wire)
}

/// Reads the response head and returns the framing of its body. It has no time limit of its own: the clock of the watch
/// abandons the call, or the decision module requests another watch.
async fn read_head(
    context: &EndpointListContext,
    wire: &mut BufferedConnection,
) -> Result<BodyFraming, WatchError> {
    let head = loop {
        match parse_head(context, &mut wire.read_buffer)? {
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

/// Applies the complete messages, except those older than the known version. Returns the number of complete messages.
async fn apply_complete_messages(
    context: &Rc<EndpointListContext>,
    source: &ListSource,
    objects: &mut ObjectReader,
) -> Result<usize, WatchError> {
    let mut complete = 0;
    while let Some(object) = objects.take()? {
        complete += 1;
        let message: EndpointListMessage =
            serde_json::from_slice(&object).map_err(WatchError::InvalidMessage)?;
        if source.superseded.get() {
            // `follow` drops this watch when it handles the answer of the new source.
            return std::future::pending().await;
        }
        if !source.is_applicable(&message) {
            if !source.older_reported.replace(true) {
                tracing::warn!(target: "node_list", version = message.version, known = source.version.get(),
                    "older versions of the endpoint list ignored");
            }
            continue;
        }
        source.accept(&message);
        context.state.record_version(message.version);
        tracing::debug!(target: "node_list", address = %source.address, version = message.version, full = message.full,
            records = message.endpoints.len(), "endpoint list message received");
        apply(context, &message, if message.full { ListUpdate::Full } else { ListUpdate::Delta });
        source.answered.notify_one();
    }
    Ok(complete)
}
