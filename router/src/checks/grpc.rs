//! gRPC health checking and load reports out of band, over HTTP/2 in cleartext with `h2`. One message a call:
//! what a framework would add is routing, which three paths don't need.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use tallypin_health::checkers::CheckProtocol;
use tallypin_health::grpc_health::{
    self, GrpcStatusCode, HealthCheckRequest, HealthCheckResponse, HealthListRequest, HealthListResponse,
    ServingStatus, WatchState,
};
use tallypin_health::load_report::{self, OrcaLoadReportRequest};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::listen::Call;
use super::Board;

/// Answers the calls of one connection.
pub async fn answer(mut call: Call) {
    let budget = call.budget();
    let mut idle = call.rest();
    let Call { board, wire, ip, client, .. } = call;
    let mut builder = h2::server::Builder::new();
    // A check is small: whoever needs more than this is none.
    builder.max_concurrent_streams(64).max_header_list_size(8 << 10).max_frame_size(16 << 10);
    builder
        .initial_window_size(16 << 10)
        .initial_connection_window_size(64 << 10)
        .max_send_buffer_size(16 << 10);
    let handshake = tokio::select! {
        biased;
        done = timeout(budget, builder.handshake::<_, Bytes>(wire.stream)) => done,
        () = idle.close_requested() => return,
    };
    let Ok(Ok(mut connection)) = handshake else { return board.spoilt() };
    let open = Rc::new(Open::default());
    let mut idle = Some(idle);
    loop {
        // Between calls its place may be wanted; a watch that stands is a call.
        if open.calls.get() == 0 && idle.is_none() {
            idle = Some(client.idle());
        }
        let rest = board.of_checks(|c| c.idle).unwrap_or(budget);
        let accepted = tokio::select! {
            biased;
            accepted = connection.accept() => accepted,
            () = open.less.notified() => continue,
            () = room_wanted(&mut idle) => break,
            () = tokio::time::sleep(rest), if idle.is_some() => break,
        };
        let Some(Ok((request, respond))) = accepted else { return };
        idle = None;
        let one = One { board: board.clone(), ip, _open: open.clone().enter(), budget };
        tokio::task::spawn_local(one.answer(request, respond));
    }
    connection.graceful_shutdown();
    // What is on its way is finished, and then the connection.
    let _ = timeout(budget, std::future::poll_fn(|cx| connection.poll_closed(cx))).await;
}

async fn room_wanted(idle: &mut Option<crate::clients::IdleGuard>) {
    match idle {
        Some(idle) => idle.close_requested().await,
        None => std::future::pending().await,
    }
}

/// The calls of a connection that are open.
#[derive(Default)]
struct Open {
    calls: std::cell::Cell<usize>,
    less: Notify,
}

struct Entered(Rc<Open>);

impl Open {
    fn enter(self: Rc<Self>) -> Entered {
        self.calls.set(self.calls.get() + 1);
        Entered(self)
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.less.notify_one();
    }
}

/// A stream that stays open, counted among all of them.
struct Standing(Rc<Board>);

impl Standing {
    fn enter(board: &Rc<Board>) -> Option<Standing> {
        let most = board.of_checks(|c| c.grpc.map_or(0, |g| g.watches)).unwrap_or(0);
        (board.streams.get() < most).then(|| {
            board.streams.set(board.streams.get() + 1);
            Standing(board.clone())
        })
    }
}

impl Drop for Standing {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

/// One call.
struct One {
    board: Rc<Board>,
    ip: std::net::IpAddr,
    /// Held while the call is open.
    _open: Entered,
    budget: Duration,
}

/// The call can't be gone on with; its client has left.
struct Left;

impl From<h2::Error> for Left {
    fn from(_: h2::Error) -> Self {
        Left
    }
}

impl One {
    async fn answer(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let (head, body) = request.into_parts();
        let kind = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
        if head.method != Method::POST || !kind.starts_with("application/grpc") {
            let status = if head.method != Method::POST { 405 } else { 415 };
            self.board.spoilt();
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            let _ = respond.send_response(response, true);
            return;
        }
        let bytes = match timeout(self.budget, whole(body)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(Left)) => return,
            Err(_) => {
                self.board.spoilt();
                return respond.send_reset(h2::Reason::CANCEL);
            }
        };
        let _ = match head.uri.path() {
            grpc_health::CHECK => self.check(bytes, respond),
            grpc_health::LIST => self.list(bytes, respond),
            grpc_health::WATCH => self.watch(bytes, respond).await,
            load_report::STREAM if self.reports().is_some() => self.stream_reports(bytes, respond).await,
            _ => self.fail(&mut respond, GrpcStatusCode::Unimplemented, "no such method"),
        };
    }

    fn reports(&self) -> Option<(Duration, Duration)> {
        self.board.of_checks(|c| c.grpc.and_then(|g| g.reports)).flatten()
    }

    /// An answer that is only an error: everything in the head.
    fn fail(
        &self,
        respond: &mut SendResponse<Bytes>,
        code: GrpcStatusCode,
        why: &'static str,
    ) -> Result<(), Left> {
        self.board.spoilt();
        let mut response = begun();
        response.headers_mut().extend(trailers(code, why));
        respond.send_response(response, true)?;
        Ok(())
    }

    fn check(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), Left> {
        let asked = match grpc_health::decode_frame::<HealthCheckRequest>(&mut bytes) {
            Ok(asked) => asked.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthCheckRequest")
            }
        };
        let state = self.board.assessment().state;
        let Some(now) = grpc_health::service_status(&asked.service, self.board.services(), state) else {
            return self.fail(&mut respond, GrpcStatusCode::NotFound, "no such service");
        };
        self.board.asked(self.ip, CheckProtocol::Grpc);
        let message = grpc_health::encode_frame(&HealthCheckResponse { status: now as i32 });
        finish(respond.send_response(begun(), false)?, message)
    }

    fn list(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), Left> {
        if grpc_health::decode_frame::<HealthListRequest>(&mut bytes).is_err() {
            return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthListRequest");
        }
        let status = ServingStatus::from(self.board.assessment().state) as i32;
        let names = self.board.services().iter().cloned().chain([String::new()]);
        let statuses = names.map(|name| (name, HealthCheckResponse { status })).collect();
        self.board.asked(self.ip, CheckProtocol::Grpc);
        finish(
            respond.send_response(begun(), false)?,
            grpc_health::encode_frame(&HealthListResponse { statuses }),
        )
    }

    async fn watch(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), Left> {
        let asked = match grpc_health::decode_frame::<HealthCheckRequest>(&mut bytes) {
            Ok(asked) => asked.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthCheckRequest")
            }
        };
        let Some(_standing) = Standing::enter(&self.board) else {
            return self.fail(&mut respond, GrpcStatusCode::ResourceExhausted, "too many watches");
        };
        let (mut now, mut watch) = (self.board.follow(), WatchState::default());
        let mut stream = respond.send_response(begun(), false)?;
        let _gone = Gone { board: self.board.clone(), ip: self.ip };
        loop {
            let state = now.borrow_and_update().state;
            let services = self.board.services();
            let status = |state| {
                grpc_health::service_status(&asked.service, services, state)
                    .unwrap_or(ServingStatus::ServiceUnknown)
            };
            if watch.would_notify(status(state)) {
                // Only when there is room for it: a watcher that reads slowly is told the newest then, and
                // nothing queues up meanwhile. Every message has the same size, the smallest but one.
                room(&mut stream, grpc_health::encode_frame(&HealthCheckResponse { status: 1 }).len())
                    .await?;
                let newest = status(now.borrow_and_update().state);
                if let Some(response) = watch.notify(newest) {
                    stream.send_data(grpc_health::encode_frame(&response), false)?;
                    self.board.asked(self.ip, CheckProtocol::Watch);
                }
            }
            tokio::select! {
                changed = now.changed() => if changed.is_err() {
                    stream.send_trailers(trailers(GrpcStatusCode::Unavailable, "ending"))?;
                    return Ok(());
                },
                _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(Left),
            }
        }
    }

    async fn stream_reports(
        &self,
        mut bytes: BytesMut,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), Left> {
        let asked = match grpc_health::decode_frame::<OrcaLoadReportRequest>(&mut bytes) {
            Ok(asked) => asked.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no OrcaLoadReportRequest")
            }
        };
        let Some(_standing) = Standing::enter(&self.board) else {
            return self.fail(&mut respond, GrpcStatusCode::ResourceExhausted, "too many streams");
        };
        let mut stream = respond.send_response(begun(), false)?;
        loop {
            let message = grpc_health::encode_frame(&self.board.report());
            room(&mut stream, message.len()).await?;
            stream.send_data(message, false)?;
            let (least, most) = self.reports().ok_or(Left)?;
            tokio::select! {
                () = tokio::time::sleep(asked.interval(least, most)) => {}
                _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(Left),
            }
        }
    }
}

/// Dropped when a watch ends: its watcher need not be told of a drain any more.
struct Gone {
    board: Rc<Board>,
    ip: std::net::IpAddr,
}

impl Drop for Gone {
    fn drop(&mut self) {
        self.board.left(self.ip);
    }
}

fn begun() -> Response<()> {
    let mut response = Response::new(());
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

fn trailers(code: GrpcStatusCode, why: &'static str) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", HeaderValue::from(code as u16));
    if !why.is_empty() {
        map.insert("grpc-message", HeaderValue::from_static(why));
    }
    map
}

/// The one message of an answer, and its end. It is small: the window of a new stream holds it.
fn finish(mut stream: SendStream<Bytes>, message: Bytes) -> Result<(), Left> {
    stream.send_data(message, false)?;
    stream.send_trailers(trailers(GrpcStatusCode::Ok, ""))?;
    Ok(())
}

/// Waits until so much can be sent at once, or the client has left.
async fn room(stream: &mut SendStream<Bytes>, size: usize) -> Result<(), Left> {
    stream.reserve_capacity(size);
    while stream.capacity() < size {
        let more = std::future::poll_fn(|cx| {
            if stream.poll_reset(cx).is_ready() {
                return std::task::Poll::Ready(None);
            }
            stream.poll_capacity(cx)
        });
        match more.await {
            Some(Ok(_)) => {}
            _ => return Err(Left),
        }
    }
    Ok(())
}

/// The body of a call, which is one small message.
async fn whole(mut body: RecvStream) -> Result<BytesMut, Left> {
    let mut all = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        if all.len() + data.len() > grpc_health::MAX_MESSAGE_BYTES + 5 {
            return Err(Left);
        }
        all.extend_from_slice(&data);
        body.flow_control().release_capacity(data.len())?;
    }
    Ok(all)
}
