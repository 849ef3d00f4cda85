//! One client connection: waits for requests, reads them, passes them to the front, and closes the connection.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tallypin::api::Nanos;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use super::body_buffer::BodyBuffer;
use super::{ClientConnection, FrontContext};
use super::{Front, IncomingRequest, Rejection};
use crate::balancer_interface::ConnectionOrigin;
use crate::clients::{Client, IdleGuard};
use crate::http::{
    BodyFraming, BodyPart, BodyReader, BufferedConnection, HttpError, MessageHead, StartLine, SMALL_READ_SIZE,
};
use crate::keep_alive::{AfterAnswer, IdleLimit, KeepAlive};
use crate::lifecycle::Stage;
use crate::memory_budget::MemoryReservation;

/// Memory that each connection may use for its input without reserving it, bytes: that of one read.
pub(super) const UNRESERVED_INPUT: usize = SMALL_READ_SIZE;
/// Maximum number of reads of a connection that is being closed.
const MAX_DISCARDING_READS: usize = 128;

/// Why a client connection is closed. The names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    /// The required PROXY header was missing or malformed.
    NoOrigin,
    /// Reading failed between two requests, or the client closed the connection there.
    Ended,
    /// The connection exceeded the idle limit.
    Idle,
    /// The connection was idle and was closed to make room for another one.
    RoomWanted,
    /// The shutdown of the router has reached the stage that closes idle connections.
    Shutdown,
    /// Reading failed within a request, or the client closed the connection there.
    ReadFailed(io::ErrorKind),
    /// Writing a response failed.
    WriteFailed(io::ErrorKind),
    /// The router closes the connection because it does not stay open after the response that was sent last.
    Answered(AfterAnswer),
}

/// Serves a client connection until it is closed.
pub(super) async fn run(
    context: Rc<FrontContext>,
    client: Client,
    idle: IdleGuard,
    stream: TcpStream,
    front: Rc<Front>,
) {
    // The guard is kept until the connection has closed. The connection counts as closing until then, so that no second
    // idle connection is closed for the same slot.
    let mut idle = Some(idle);
    let wire = BufferedConnection::with_small_reads(stream);
    let mut connection =
        ClientConnection::new(wire, context.limits.clone(), context.read_ahead_budget.clone());
    let cause = serve_requests(&context, &client, &mut idle, &mut connection, &front).await;
    tracing::debug!(target: "front", ?cause, stage = ?context.lifecycle.stage(), "closing client connection");
    match cause {
        CloseCause::NoOrigin | CloseCause::ReadFailed(_) | CloseCause::WriteFailed(_) => {}
        CloseCause::RoomWanted => close_gracefully(connection.wire, context.limits.final_read_duration).await,
        CloseCause::Ended | CloseCause::Idle | CloseCause::Shutdown | CloseCause::Answered(_) => {
            close_gracefully(connection.wire, context.limits.close_linger).await
        }
    }
}

/// Serves requests one after the other; returns why the connection is to be closed.
async fn serve_requests(
    context: &Rc<FrontContext>,
    client: &Client,
    idle: &mut Option<IdleGuard>,
    connection: &mut ClientConnection,
    front: &Front,
) -> CloseCause {
    let over_limit = client.over_limit;
    let origin = tokio::select! {
        biased;
        origin = context.balancer_interface.read_origin(front.listener_kind(), &mut connection.wire) => origin,
        () = wait_for_close_request(idle) => return CloseCause::RoomWanted,
    };
    let Some(ConnectionOrigin { client: client_address }) = origin else { return CloseCause::NoOrigin };
    let mut keep_alive = KeepAlive::new(Instant::now(), over_limit);
    loop {
        if connection.next_request_was_dropped().await {
            *idle = None;
            return reject_dropped_requests(context, connection, front).await;
        }
        let idle_limit = keep_alive.idle_limit(&context.limits);
        if let Err(cause) = wait_for_request(context, idle, connection, idle_limit).await {
            return cause;
        }
        *idle = None;
        let received_at = context.clock.at(connection.wire.first_read_at());
        let start = keep_alive.request_started(Instant::now(), &context.limits);
        if let Some(pause) = start.pause {
            tokio::time::sleep(pause).await;
        }
        let read =
            timeout_at(start.complete_by.into(), read_request(context, &mut connection.wire, received_at));
        let request = read.await.unwrap_or(Ok(Err(Rejection::Slow)));
        connection.wire.message_consumed();
        let request = match request {
            Ok(request) => request.map(|r| IncomingRequest { client: client_address, ..r }),
            Err(e) => return CloseCause::ReadFailed(e.kind()),
        };
        if let Err(rejection) = &request {
            tracing::debug!(target: "front", client = ?client_address, why = ?rejection,
                "rejected client request before dispatch");
        }
        let rejects_requests = over_limit || context.lifecycle.stage() >= Stage::Rejecting;
        let (client_keeps_alive, after_answer) = match request {
            Ok(r) if rejects_requests && !front.is_health_check(&r) => {
                (false, front.reject(context, connection, Rejection::Full).await)
            }
            Ok(request) => (request.head.keeps_alive(), front.answer(context, connection, request).await),
            Err(rejection) => {
                connection.wire.discard_buffer();
                (false, front.reject(context, connection, rejection).await)
            }
        };
        let after_answer = match after_answer {
            Ok(after_answer) => after_answer,
            Err(e) => return CloseCause::WriteFailed(e.kind()),
        };
        if !keep_alive.stays_open_after(
            Instant::now(),
            after_answer,
            client_keeps_alive,
            context.lifecycle.stage(),
        ) {
            return CloseCause::Answered(after_answer);
        }
        *idle = Some(client.mark_idle());
    }
}

/// Rejects the requests that the client has sent beyond the limit of what is read ahead, and has the connection closed. One that
/// has not been received completely is read to its end first.
async fn reject_dropped_requests(
    context: &Rc<FrontContext>,
    connection: &mut ClientConnection,
    front: &Front,
) -> CloseCause {
    let read = timeout(context.limits.request_read_timeout, connection.finish_dropped_request()).await;
    if read == Ok(false) {
        return CloseCause::Ended;
    }
    let dropped = connection.dropped_requests();
    tracing::debug!(target: "front", dropped, "rejecting requests sent ahead beyond the limit");
    for _ in 0..dropped {
        if let Err(e) = front.reject(context, connection, Rejection::Full).await {
            return CloseCause::WriteFailed(e.kind());
        }
        tokio::task::yield_now().await;
    }
    CloseCause::Answered(AfterAnswer::Close)
}

/// Waits until an idle connection is to be closed to make room for others.
async fn wait_for_close_request(idle: &mut Option<IdleGuard>) {
    match idle {
        Some(idle) => idle.close_requested().await,
        None => std::future::pending().await,
    }
}

/// Waits for the first bytes of a request; returns why the connection is to be closed if none arrive.
async fn wait_for_request(
    context: &FrontContext,
    idle: &mut Option<IdleGuard>,
    connection: &mut ClientConnection,
    idle_limit: IdleLimit,
) -> Result<(), CloseCause> {
    if !connection.wire.read_buffer.is_empty() {
        // Yields between pipelined requests: events of other connections would otherwise wait for all of them.
        tokio::task::yield_now().await;
        return Ok(());
    }
    connection.release_buffer();
    let read = tokio::select! {
        biased;
        read = connection.wire.read_more() => read,
        () = wait_for_stage(context, idle_limit.until) => return Err(CloseCause::Shutdown),
        // A request may have arrived since the event loop last polled the sockets.
        () = wait_for_close_request(idle) => match connection.wire.read_arrived().await {
            Some(read) => read,
            None => return Err(CloseCause::RoomWanted),
        },
        () = tokio::time::sleep(idle_limit.duration) => return Err(CloseCause::Idle),
    };
    match read {
        Ok(true) => Ok(()),
        _ => Err(CloseCause::Ended),
    }
}

/// Waits until the shutdown has reached `until`, and then for the final read time, so that data already sent by clients is
/// still read.
pub(super) async fn wait_for_stage(context: &FrontContext, until: Stage) {
    context.lifecycle.wait_for(until).await;
    tokio::time::sleep(context.limits.final_read_duration).await;
}

/// Reads a request. The outer error is an error of the connection, the inner one is the reason to reject the request.
async fn read_request(
    context: &FrontContext,
    connection: &mut BufferedConnection,
    received_at: Nanos,
) -> io::Result<Result<IncomingRequest, Rejection>> {
    let mut reserved = context.request_budget.empty_reservation();
    let (head, framing) = match read_head(context, connection, &mut reserved).await? {
        Ok(read) => read,
        Err(rejection) => return Ok(Err(rejection)),
    };
    let StartLine::Request(method, target) = head.start_line.clone() else {
        return Ok(Err(HttpError::Malformed.into()));
    };
    let head_size = head.memory_size();
    if !reserved.grow(reserved.size() + head_size) {
        return Ok(Err(Rejection::Full));
    }
    if head.expects_continue() && connection.read_buffer.is_empty() {
        connection.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let body = match framing {
        BodyFraming::Chunked => read_chunked(context, connection, reserved).await?,
        BodyFraming::Length(length) => read_sized(connection, length as usize, reserved).await?,
        BodyFraming::Undeclared => read_sized(connection, 0, reserved).await?,
    };
    connection.release_buffer();
    let body = body.map(|body| body.finish(head_size));
    Ok(body.map(|body| IncomingRequest { method, target, head, body, received_at, client: None }))
}

/// Reads a request head and determines the framing of its body. The memory of the read buffer is reserved before the buffer
/// grows, but for the part that each connection has for itself.
async fn read_head(
    context: &FrontContext,
    connection: &mut BufferedConnection,
    reserved: &mut MemoryReservation,
) -> io::Result<Result<(MessageHead, BodyFraming), Rejection>> {
    let head = loop {
        match MessageHead::parse_request(&mut connection.read_buffer, &context.limits) {
            Ok(Some(head)) => break head,
            Ok(None)
                if !reserved
                    .grow(connection.capacity_for_read(usize::MAX).saturating_sub(UNRESERVED_INPUT)) =>
            {
                return Ok(Err(Rejection::Full));
            }
            Ok(None) => read_more(connection).await?,
            Err(error) => return Ok(Err(error.into())),
        }
    };
    let framing = match head.framing() {
        Ok(framing) => framing,
        Err(error) => return Ok(Err(error.into())),
    };
    if head.is_http_11 && !matches!(head.single_value("host"), Ok(Some(_))) {
        return Ok(Err(HttpError::Malformed.into()));
    }
    match framing {
        BodyFraming::Length(length) if length > context.limits.max_body_size as u64 => {
            Ok(Err(HttpError::BodyTooLarge.into()))
        }
        framing => Ok(Ok((head, framing))),
    }
}

/// Reads a chunked body. Its memory is reserved as it arrives: unreserved slow bodies could exhaust memory, and reserving
/// announced sizes would leave no budget for clients that do send.
async fn read_chunked(
    context: &FrontContext,
    connection: &mut BufferedConnection,
    reserved: MemoryReservation,
) -> io::Result<Result<BodyBuffer, Rejection>> {
    let max_bytes = context.limits.max_body_size;
    let mut body = BodyBuffer::new(max_bytes, reserved);
    let mut reader = BodyReader::new(BodyFraming::Chunked, max_bytes as u64);
    loop {
        match reader.next_part(&mut connection.read_buffer) {
            Ok(Some(BodyPart::Data(data))) if data.len() > body.missing() => {
                return Ok(Err(HttpError::BodyTooLarge.into()));
            }
            Ok(Some(BodyPart::Data(data))) if body.append(&data) => {}
            Ok(Some(BodyPart::Data(_))) => return Ok(Err(Rejection::Full)),
            Ok(Some(BodyPart::End)) => return Ok(Ok(body)),
            Ok(None) => read_more(connection).await?,
            Err(error) => return Ok(Err(error.into())),
        }
    }
}

/// Reads a body of a declared length. Its memory is reserved as it arrives.
async fn read_sized(
    connection: &mut BufferedConnection,
    length: usize,
    reserved: MemoryReservation,
) -> io::Result<Result<BodyBuffer, Rejection>> {
    let mut body = BodyBuffer::new(length, reserved);
    loop {
        if !body.take_from(&mut connection.read_buffer) {
            return Ok(Err(Rejection::Full));
        }
        match body.missing() {
            0 => return Ok(Ok(body)),
            // Memory is reserved only for bytes that have arrived: these come into the read buffer first.
            _ if body.is_full() => read_more(connection).await?,
            missing => check_open(connection.read_into(&mut body.bytes, missing).await?)?,
        }
    }
}

/// Reads more of a request; fails with `UnexpectedEof` if the client closes the connection.
async fn read_more(connection: &mut BufferedConnection) -> io::Result<()> {
    check_open(connection.read_more().await?)
}

/// Fails with `UnexpectedEof` if a read has reached the end of the client's input.
fn check_open(is_open: bool) -> io::Result<()> {
    match is_open {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Closes the write side, then reads and discards input for up to `limit`. Closing at once while unread input is pending
/// would reset the connection and could destroy the end of the response.
pub async fn close_gracefully(mut connection: BufferedConnection, limit: Duration) {
    use tokio::io::AsyncWriteExt;
    let _ = connection.stream.shutdown().await;
    connection.discard_buffer();
    let discard_input = async {
        for _ in 0..MAX_DISCARDING_READS {
            if !matches!(connection.discard_more().await, Ok(true)) {
                break;
            }
        }
    };
    let _ = timeout(limit, discard_input).await;
}
