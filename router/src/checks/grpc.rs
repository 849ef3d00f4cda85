//! gRPC health checking and out-of-band load reports, over cleartext HTTP/2 with `h2`. Each request is a single message and
//! there are four methods, so no gRPC framework is used.

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

use super::listen::CheckConnection;
use super::HealthMonitor;

/// Answers the calls of one connection.
pub async fn answer(mut conn: CheckConnection) {
    let time_limit = conn.time_limit();
    let mut idle = conn.mark_idle();
    let CheckConnection { health_monitor, wire, ip, client, .. } = conn;
    let mut builder = h2::server::Builder::new();
    // Checks and their answers are small, so these limits suffice.
    builder.max_concurrent_streams(64).max_header_list_size(8 << 10).max_frame_size(16 << 10);
    builder
        .initial_window_size(16 << 10)
        .initial_connection_window_size(64 << 10)
        .max_send_buffer_size(16 << 10);
    let handshake = tokio::select! {
        biased;
        result = timeout(time_limit, builder.handshake::<_, Bytes>(wire.stream)) => result,
        () = idle.close_requested() => return,
    };
    let Ok(Ok(mut connection)) = handshake else { return health_monitor.record_invalid_check() };
    let open_calls = Rc::new(OpenCalls::default());
    let mut idle = Some(idle);
    loop {
        // Without an open call the connection is idle and may be closed to make room. A watch counts as an open call.
        if open_calls.count.get() == 0 && idle.is_none() {
            idle = Some(client.mark_idle());
        }
        let idle_timeout = health_monitor.check_setting(|c| c.idle_timeout).unwrap_or(time_limit);
        let accepted = tokio::select! {
            biased;
            accepted = connection.accept() => accepted,
            () = open_calls.call_ended.notified() => continue,
            () = wait_for_close_request(&mut idle) => break,
            () = tokio::time::sleep(idle_timeout), if idle.is_some() => break,
        };
        let Some(Ok((request, respond))) = accepted else { return };
        idle = None;
        let handler = CallHandler {
            health_monitor: health_monitor.clone(),
            ip,
            _open: open_calls.clone().begin_call(),
            time_limit,
        };
        tokio::task::spawn_local(handler.answer(request, respond));
    }
    connection.graceful_shutdown();
    // Calls in flight are finished before the connection closes.
    let _ = timeout(time_limit, std::future::poll_fn(|cx| connection.poll_closed(cx))).await;
}

/// Waits until an idle connection is requested to close; forever if the connection is not idle.
async fn wait_for_close_request(idle: &mut Option<crate::clients::IdleGuard>) {
    match idle {
        Some(idle) => idle.close_requested().await,
        None => std::future::pending().await,
    }
}

/// The open calls of a connection.
#[derive(Default)]
struct OpenCalls {
    count: std::cell::Cell<usize>,
    call_ended: Notify,
}

/// Counts a call as open until it is dropped.
struct OpenCallGuard(Rc<OpenCalls>);

impl OpenCalls {
    fn begin_call(self: Rc<Self>) -> OpenCallGuard {
        self.count.set(self.count.get() + 1);
        OpenCallGuard(self)
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.call_ended.notify_one();
    }
}

/// Counts a long-lived stream, of a watch or of load reports, towards the limit of all connections until it is dropped.
struct StreamGuard(Rc<HealthMonitor>);

impl StreamGuard {
    /// Counts another stream; `None` if the limit is reached.
    fn try_acquire(health_monitor: &Rc<HealthMonitor>) -> Option<StreamGuard> {
        let max_streams = health_monitor.check_setting(|c| c.grpc.map_or(0, |g| g.max_streams)).unwrap_or(0);
        (health_monitor.open_streams.get() < max_streams).then(|| {
            health_monitor.open_streams.set(health_monitor.open_streams.get() + 1);
            StreamGuard(health_monitor.clone())
        })
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get() - 1);
    }
}

/// Handles one call.
struct CallHandler {
    health_monitor: Rc<HealthMonitor>,
    ip: std::net::IpAddr,
    /// Counts the call as open while it is handled.
    _open: OpenCallGuard,
    time_limit: Duration,
}

/// The client has closed the call or the connection.
struct ClientGone;

impl From<h2::Error> for ClientGone {
    fn from(_: h2::Error) -> Self {
        ClientGone
    }
}

impl CallHandler {
    async fn answer(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let (head, body) = request.into_parts();
        let content_type = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
        if head.method != Method::POST || !content_type.starts_with("application/grpc") {
            let status = if head.method != Method::POST { 405 } else { 415 };
            self.health_monitor.record_invalid_check();
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            let _ = respond.send_response(response, true);
            return;
        }
        let bytes = match timeout(self.time_limit, read_body(body)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(ClientGone)) => return,
            Err(_) => {
                self.health_monitor.record_invalid_check();
                return respond.send_reset(h2::Reason::CANCEL);
            }
        };
        let _ = match head.uri.path() {
            grpc_health::CHECK_PATH => self.check(bytes, respond),
            grpc_health::LIST_PATH => self.list(bytes, respond),
            grpc_health::WATCH_PATH => self.watch(bytes, respond).await,
            load_report::STREAM_PATH if self.report_intervals().is_some() => {
                self.stream_reports(bytes, respond).await
            }
            _ => self.fail(&mut respond, GrpcStatusCode::Unimplemented, "no such method"),
        };
    }

    /// Returns the minimum and maximum interval of load reports; `None` if they are not enabled.
    fn report_intervals(&self) -> Option<(Duration, Duration)> {
        self.health_monitor.check_setting(|c| c.grpc.and_then(|g| g.report_intervals)).flatten()
    }

    /// Sends an error without a message: its status is in the response head.
    fn fail(
        &self,
        respond: &mut SendResponse<Bytes>,
        code: GrpcStatusCode,
        why: &'static str,
    ) -> Result<(), ClientGone> {
        self.health_monitor.record_invalid_check();
        let mut response = response_head();
        response.headers_mut().extend(trailers(code, why));
        respond.send_response(response, true)?;
        Ok(())
    }

    fn check(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), ClientGone> {
        let request = match grpc_health::decode_frame::<HealthCheckRequest>(&mut bytes) {
            Ok(request) => request.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthCheckRequest")
            }
        };
        let state = self.health_monitor.assessment().state;
        let Some(status) =
            grpc_health::service_status(&request.service, self.health_monitor.services(), state)
        else {
            return self.fail(&mut respond, GrpcStatusCode::NotFound, "no such service");
        };
        self.health_monitor.record_check(self.ip, CheckProtocol::Grpc);
        let message = grpc_health::encode_frame(&HealthCheckResponse { status: status as i32 });
        send_message(respond.send_response(response_head(), false)?, message)
    }

    fn list(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), ClientGone> {
        if grpc_health::decode_frame::<HealthListRequest>(&mut bytes).is_err() {
            return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthListRequest");
        }
        let status = ServingStatus::from(self.health_monitor.assessment().state) as i32;
        let names = self.health_monitor.services().iter().cloned().chain([String::new()]);
        let statuses = names.map(|name| (name, HealthCheckResponse { status })).collect();
        self.health_monitor.record_check(self.ip, CheckProtocol::Grpc);
        send_message(
            respond.send_response(response_head(), false)?,
            grpc_health::encode_frame(&HealthListResponse { statuses }),
        )
    }

    async fn watch(&self, mut bytes: BytesMut, mut respond: SendResponse<Bytes>) -> Result<(), ClientGone> {
        let request = match grpc_health::decode_frame::<HealthCheckRequest>(&mut bytes) {
            Ok(request) => request.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no HealthCheckRequest")
            }
        };
        let Some(_stream_guard) = StreamGuard::try_acquire(&self.health_monitor) else {
            return self.fail(&mut respond, GrpcStatusCode::ResourceExhausted, "too many watches");
        };
        let (mut assessment, mut watch) = (self.health_monitor.subscribe(), WatchState::default());
        let mut stream = respond.send_response(response_head(), false)?;
        let _watcher_guard = WatcherGuard { health_monitor: self.health_monitor.clone(), ip: self.ip };
        loop {
            let state = assessment.borrow_and_update().state;
            let services = self.health_monitor.services();
            let status = |state| {
                grpc_health::service_status(&request.service, services, state)
                    .unwrap_or(ServingStatus::ServiceUnknown)
            };
            if watch.would_notify(status(state)) {
                // A message is sent once the stream has capacity for it: a slow watcher then receives the newest state, and
                // no messages queue up. Messages of all states except `Unknown` have the same size.
                wait_for_capacity(
                    &mut stream,
                    grpc_health::encode_frame(&HealthCheckResponse { status: 1 }).len(),
                )
                .await?;
                let newest = status(assessment.borrow_and_update().state);
                if let Some(response) = watch.notify(newest) {
                    stream.send_data(grpc_health::encode_frame(&response), false)?;
                    self.health_monitor.record_check(self.ip, CheckProtocol::Watch);
                }
            }
            tokio::select! {
                changed = assessment.changed() => if changed.is_err() {
                    stream.send_trailers(trailers(GrpcStatusCode::Unavailable, "ending"))?;
                    return Ok(());
                },
                _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(ClientGone),
            }
        }
    }

    async fn stream_reports(
        &self,
        mut bytes: BytesMut,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), ClientGone> {
        let request = match grpc_health::decode_frame::<OrcaLoadReportRequest>(&mut bytes) {
            Ok(request) => request.unwrap_or_default(),
            Err(_) => {
                return self.fail(&mut respond, GrpcStatusCode::InvalidArgument, "no OrcaLoadReportRequest")
            }
        };
        let Some(_stream_guard) = StreamGuard::try_acquire(&self.health_monitor) else {
            return self.fail(&mut respond, GrpcStatusCode::ResourceExhausted, "too many streams");
        };
        let mut stream = respond.send_response(response_head(), false)?;
        loop {
            let message = grpc_health::encode_frame(&self.health_monitor.load_report());
            wait_for_capacity(&mut stream, message.len()).await?;
            stream.send_data(message, false)?;
            let (min_interval, max_interval) = self.report_intervals().ok_or(ClientGone)?;
            tokio::select! {
                () = tokio::time::sleep(request.interval(min_interval, max_interval)) => {}
                _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(ClientGone),
            }
        }
    }
}

/// Removes the watcher when its watch ends: it need not be notified of a drain any more.
struct WatcherGuard {
    health_monitor: Rc<HealthMonitor>,
    ip: std::net::IpAddr,
}

impl Drop for WatcherGuard {
    fn drop(&mut self) {
        self.health_monitor.remove_watcher(self.ip);
    }
}

fn response_head() -> Response<()> {
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

/// Sends the only message of a response and ends the stream. The message is small enough for the window of a new stream.
fn send_message(mut stream: SendStream<Bytes>, message: Bytes) -> Result<(), ClientGone> {
    stream.send_data(message, false)?;
    stream.send_trailers(trailers(GrpcStatusCode::Ok, ""))?;
    Ok(())
}

/// Waits until the stream has capacity for `size` bytes, or until the client has closed it.
async fn wait_for_capacity(stream: &mut SendStream<Bytes>, size: usize) -> Result<(), ClientGone> {
    stream.reserve_capacity(size);
    while stream.capacity() < size {
        let capacity = std::future::poll_fn(|cx| {
            if stream.poll_reset(cx).is_ready() {
                return std::task::Poll::Ready(None);
            }
            stream.poll_capacity(cx)
        });
        match capacity.await {
            Some(Ok(_)) => {}
            _ => return Err(ClientGone),
        }
    }
    Ok(())
}

/// Reads the body of a call: one small message in its frame of 5 bytes.
async fn read_body(mut body: RecvStream) -> Result<BytesMut, ClientGone> {
    let mut bytes = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        if bytes.len() + data.len() > grpc_health::MAX_MESSAGE_BYTES + 5 {
            return Err(ClientGone);
        }
        bytes.extend_from_slice(&data);
        body.flow_control().release_capacity(data.len())?;
    }
    Ok(bytes)
}
