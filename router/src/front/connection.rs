//! One client connection: waits for requests, reads them, has them answered, and closes in order.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tallypin::api::Nanos;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use super::FrontContext;
use super::{Front, Incoming, Rejection};
use crate::body_budget::BufferedBody;
use crate::clients::{Client, IdleGuard};
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, HttpError, MessageHead, StartLine};
use crate::keep_alive::{AfterAnswer, IdleLimit, KeepAlive};
use crate::lifecycle::Stage;
use crate::outward::Origin;

/// Why a client connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    /// It did not say, as it had to, where its client is.
    NoOrigin,
    /// Its client ended it, between two requests.
    Ended,
    /// It rested for too long.
    Idle,
    /// Its room was wanted for others.
    RoomWanted,
    /// The router ends.
    Shutdown,
    /// Reading from it failed, or it ended within a request.
    ReadFailed(io::ErrorKind),
    /// Writing an answer failed.
    WriteFailed(io::ErrorKind),
    /// Its last answer said, or its client or the router wanted, that it is the last.
    Answered(AfterAnswer),
}

/// Serves a client connection to its end.
pub(super) async fn run(
    context: Rc<FrontContext>,
    client: Client,
    idle: IdleGuard,
    stream: TcpStream,
    front: Rc<Front>,
) {
    // Held until the connection has closed: one whose room is wanted counts as leaving until then, and nobody else is
    // closed for the room that it gives.
    let mut idle = Some(idle);
    let mut wire = BufferedConnection::new(stream);
    let cause = serve_requests(&context, &client, &mut idle, &mut wire, &front).await;
    tracing::debug!(target: "front", ?cause, stage = ?context.lifecycle.stage(), "connection closes");
    match cause {
        CloseCause::NoOrigin | CloseCause::ReadFailed(_) | CloseCause::WriteFailed(_) => {}
        CloseCause::RoomWanted => linger(wire, context.limits.final_read_time).await,
        CloseCause::Ended | CloseCause::Idle | CloseCause::Shutdown | CloseCause::Answered(_) => {
            linger(wire, context.limits.close_linger).await
        }
    }
}

/// Serves one request after the other, until the connection is to be closed.
async fn serve_requests(
    context: &Rc<FrontContext>,
    client: &Client,
    idle: &mut Option<IdleGuard>,
    wire: &mut BufferedConnection,
    front: &Front,
) -> CloseCause {
    let crowded = client.over_limit;
    let origin = tokio::select! {
        biased;
        origin = context.outward.origin(front.door(), wire) => origin,
        () = room_wanted(idle) => return CloseCause::RoomWanted,
    };
    let Some(Origin { client: from }) = origin else { return CloseCause::NoOrigin };
    let mut keep_alive = KeepAlive::new(Instant::now(), crowded);
    loop {
        let rest = keep_alive.idle_limit(&context.limits);
        if let Err(cause) = wait_for_request(context, idle, wire, rest).await {
            return cause;
        }
        *idle = None;
        let since = context.clock.at(wire.first_read_at());
        let begun = keep_alive.request_started(Instant::now(), &context.limits);
        if let Some(pause) = begun.pause {
            tokio::time::sleep(pause).await;
        }
        let read = timeout_at(begun.complete_by.into(), read_request(context, wire, since));
        let request = read.await.unwrap_or(Ok(Err(Rejection::Slow)));
        wire.message_taken();
        let request = match request {
            Ok(request) => request.map(|r| Incoming { client: from, ..r }),
            Err(e) => return CloseCause::ReadFailed(e.kind()),
        };
        if let Err(rejection) = &request {
            tracing::debug!(target: "front", client = ?from, why = ?rejection, "no request that could be taken");
        }
        let refused = crowded || context.lifecycle.stage() >= Stage::Rejecting;
        let (keeps, then) = match request {
            Ok(r) if refused && !front.asks_health(&r) => {
                (false, front.reject(context, wire, Rejection::Full).await)
            }
            Ok(request) => (request.head.keeps_alive(), front.answer(context, wire, request).await),
            Err(rejection) => (false, front.reject(context, wire, rejection).await),
        };
        let then = match then {
            Ok(then) => then,
            Err(e) => return CloseCause::WriteFailed(e.kind()),
        };
        if !keep_alive.stays_open_after(Instant::now(), then, keeps, context.lifecycle.stage()) {
            return CloseCause::Answered(then);
        }
        *idle = Some(client.idle());
    }
}

/// Waits until the room of a connection that carries nothing is wanted for others.
async fn room_wanted(idle: &mut Option<IdleGuard>) {
    match idle {
        Some(idle) => idle.close_requested().await,
        None => std::future::pending().await,
    }
}

/// Waits until a request begins; or else why the connection is to be closed instead.
async fn wait_for_request(
    context: &FrontContext,
    idle: &mut Option<IdleGuard>,
    wire: &mut BufferedConnection,
    rest: IdleLimit,
) -> Result<(), CloseCause> {
    if !wire.unread.is_empty() {
        // One request in a turn, however many a client sends ahead: the others' events would else wait.
        tokio::task::yield_now().await;
        return Ok(());
    }
    wire.release_buffer();
    let read = tokio::select! {
        biased;
        read = wire.read_more() => read,
        () = parted(context, rest.until) => return Err(CloseCause::Shutdown),
        // A request may have arrived since the event loop last looked at the sockets.
        () = room_wanted(idle) => match wire.read_arrived().await {
            Some(read) => read,
            None => return Err(CloseCause::RoomWanted),
        },
        () = tokio::time::sleep(rest.duration) => return Err(CloseCause::Idle),
    };
    match read {
        Ok(true) => Ok(()),
        _ => Err(CloseCause::Ended),
    }
}

/// Waits until a connection that carries nothing is to close with the router, and long enough for what is under way to be
/// seen.
pub(super) async fn parted(context: &FrontContext, until: Stage) {
    context.lifecycle.wait_for(until).await;
    tokio::time::sleep(context.limits.final_read_time).await;
}

/// Reads a request; an error of the connection, or why it is no request that could be taken.
async fn read_request(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    since: Nanos,
) -> io::Result<Result<Incoming, Rejection>> {
    let (head, framing) = match read_head(context, wire).await? {
        Ok(read) => read,
        Err(bad) => return Ok(Err(bad.into())),
    };
    let StartLine::Request(method, target) = head.start_line.clone() else {
        return Ok(Err(HttpError::Malformed.into()));
    };
    if head.expects_continue() && wire.unread.is_empty() {
        wire.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let body = match framing {
        BodyFraming::Chunked => read_chunked(context, wire).await?,
        BodyFraming::Length(length) => read_sized(context, wire, length as usize).await?,
        BodyFraming::Undeclared => read_sized(context, wire, 0).await?,
    };
    Ok(body.map(|body| Incoming { method, target, head, body, since, client: None }))
}

/// Reads a head, and how its body ends.
async fn read_head(
    context: &FrontContext,
    wire: &mut BufferedConnection,
) -> io::Result<Result<(MessageHead, BodyFraming), HttpError>> {
    let head = loop {
        match MessageHead::parse_request(&mut wire.unread, &context.limits) {
            Ok(Some(head)) => break head,
            Ok(None) => more(wire).await?,
            Err(bad) => return Ok(Err(bad)),
        }
    };
    let framing = match head.framing() {
        Ok(framing) => framing,
        Err(bad) => return Ok(Err(bad)),
    };
    if head.is_http_11 && !matches!(head.single_value("host"), Ok(Some(_))) {
        return Ok(Err(HttpError::Malformed));
    }
    match framing {
        BodyFraming::Length(length) if length > context.limits.max_body_size as u64 => {
            Ok(Err(HttpError::BodyTooLarge))
        }
        framing => Ok(Ok((head, framing))),
    }
}

/// Reads a body in chunks. What has come is counted as it comes: many slow bodies at once would else be more than the memory
/// holds, and what was only announced would leave no room for those that send.
async fn read_chunked(
    context: &FrontContext,
    wire: &mut BufferedConnection,
) -> io::Result<Result<BufferedBody, Rejection>> {
    let most = context.limits.max_body_size;
    let Some(mut reserved) = context.body_budget.reserve(0) else { return Ok(Err(Rejection::Full)) };
    let (mut body, mut all) = (BodyReader::new(BodyFraming::Chunked, most as u64), Vec::new());
    loop {
        match body.next_part(&mut wire.unread) {
            Ok(Some(BodyPart::Data(data))) if all.len() + data.len() > most => {
                return Ok(Err(HttpError::BodyTooLarge.into()));
            }
            Ok(Some(BodyPart::Data(data))) if reserved.grow(all.len() + data.len()) => {
                all.extend_from_slice(&data);
            }
            Ok(Some(BodyPart::Data(_))) => return Ok(Err(Rejection::Full)),
            Ok(Some(BodyPart::End)) => return Ok(Ok(BufferedBody { bytes: Bytes::from(all), reserved })),
            Ok(None) => more(wire).await?,
            Err(bad) => return Ok(Err(bad.into())),
        }
    }
}

/// Reads a body of a stated length, counted as it comes.
async fn read_sized(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    length: usize,
) -> io::Result<Result<BufferedBody, Rejection>> {
    let Some(mut reserved) = context.body_budget.reserve(0) else { return Ok(Err(Rejection::Full)) };
    while reserved.grow(wire.unread.len().min(length)) && wire.unread.len() < length {
        more(wire).await?;
    }
    if wire.unread.len() < length || !reserved.grow(length) {
        return Ok(Err(Rejection::Full));
    }
    Ok(Ok(BufferedBody { bytes: wire.unread.split_to(length).freeze(), reserved }))
}

/// Reads more; that the client ends within a request is an error.
async fn more(wire: &mut BufferedConnection) -> io::Result<()> {
    match wire.read_more().await? {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Closes a connection so that what was written last still arrives, a part of a stream that broke included: what the
/// client goes on sending is read for a while and dropped, as an outright close would reset the connection under the
/// answer.
pub async fn linger(mut wire: BufferedConnection, limit: Duration) {
    use tokio::io::AsyncWriteExt;
    let _ = wire.stream.shutdown().await;
    let rest = async {
        for _ in 0..64 {
            wire.unread.clear();
            if !matches!(wire.read_more().await, Ok(true)) {
                break;
            }
        }
    };
    let _ = timeout(limit, rest).await;
}
