//! The health checks of the mock balancer: the agent check (`agent-check` in HAProxy's configuration manual), HTTP
//! checks with rise, fall and soft stop on 404, and the gRPC health watch (`grpc/health/v1/health.proto`).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

use crate::balancer::CheckReporter;

/// Runs agent checks at an interval. A failed check changes nothing, because according to the manual the agent
/// check only supplements other checks.
pub async fn run_agent_check(reporter: CheckReporter, at: SocketAddr, period: Duration, line: &'static str) {
    let mut ticks = interval(period);
    loop {
        ticks.tick().await;
        let Ok(Some(answer)) = timeout(period * 10, agent_check_line(at, line)).await else { continue };
        reporter.update(|state| {
            for token in answer.split('#').next().unwrap_or("").split([' ', '\t', ',']) {
                match token {
                    "up" => state.up = true,
                    "down" | "failed" | "stopped" => state.up = false,
                    "ready" => state.ready = true,
                    "drain" | "maint" => state.ready = false,
                    token => {
                        let percent = token.strip_suffix('%').and_then(|p| p.parse().ok());
                        state.weight = percent.unwrap_or(state.weight);
                    }
                }
            }
        });
    }
}

/// Runs one agent check and returns the line, or `None` if it is not complete.
pub async fn agent_check_line(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(line.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let end = text.find(['\r', '\n'])?;
    text.truncate(end);
    Some(text)
}

/// Runs HTTP checks at an interval, on one connection while it stays open.
pub async fn run_http_check(
    reporter: CheckReporter,
    at: SocketAddr,
    period: Duration,
    path: &str,
    rise: u32,
    fall: u32,
) {
    let mut ticks = interval(period);
    let (mut idle, mut successes, mut failures) = (None, 0, 0);
    loop {
        ticks.tick().await;
        let status = timeout(period * 10, http_status(&mut idle, at, path)).await.ok().flatten();
        if status.is_none() {
            idle = None;
        }
        match status {
            Some(200..=399) => (successes, failures) = (successes + 1, 0),
            // Soft stop: the server stays up and gets no new requests.
            Some(404) if reporter.state().up => {
                reporter.update(|state| state.ready = false);
                continue;
            }
            _ => (successes, failures) = (0, failures + 1),
        }
        reporter.update(|state| {
            if successes >= rise {
                (state.up, state.ready) = (true, true);
            }
            if failures >= fall {
                state.up = false;
            }
        });
    }
}

async fn http_status(idle: &mut Option<TcpStream>, at: SocketAddr, path: &str) -> Option<u16> {
    if idle.is_none() {
        *idle = Some(TcpStream::connect(at).await.ok()?);
    }
    let stream = idle.as_mut()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: router\r\n\r\n").as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    loop {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
        if body.len() >= length {
            let status = head.get(9..12)?.parse().ok();
            if head.contains("connection: close") {
                *idle = None;
            }
            return status;
        }
    }
}

/// Runs a gRPC health watch. When the watch ends, the server counts as down and the watch is started again.
pub async fn run_grpc_watch(reporter: CheckReporter, at: SocketAddr) {
    loop {
        let _ = run_grpc_watch_once(at, "", 64 << 10, |status| {
            reporter.update(|state| (state.up, state.ready) = (true, status == 1));
            std::future::ready(())
        })
        .await;
        reporter.update(|state| state.up = false);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Runs one health watch and passes each status to `on_status`, until the watch ends. `window` is the number of
/// bytes that the server may send before this side has read them.
pub async fn run_grpc_watch_once<F: std::future::Future<Output = ()>>(
    at: SocketAddr,
    service: &str,
    window: u32,
    on_status: impl Fn(u8) -> F,
) -> Option<()> {
    let stream = TcpStream::connect(at).await.ok()?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(window);
    let (mut send, connection) = builder.handshake::<_, Bytes>(stream).await.ok()?;
    let connection_task = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
    let uri = format!("http://{at}/grpc.health.v1.Health/Watch");
    let request = Request::post(uri).header("content-type", "application/grpc").header("te", "trailers");
    let (answer, mut body) = send.send_request(request.body(()).ok()?, false).ok()?;
    // HealthCheckRequest: field 1 is the service.
    let mut message = vec![0, 0, 0, 0, service.len() as u8 + 2, 0x0a, service.len() as u8];
    message.extend_from_slice(service.as_bytes());
    body.send_data(message.into(), true).ok()?;
    let mut stream = answer.await.ok()?.into_body();
    let mut buf: Vec<u8> = Vec::new();
    while let Some(data) = stream.data().await {
        let data = data.ok()?;
        buf.extend_from_slice(&data);
        while buf.len() >= 5 {
            let length = u32::from_be_bytes([buf[1], buf[2], buf[3], buf[4]]) as usize;
            if buf.len() < 5 + length {
                break;
            }
            // HealthCheckResponse: field 1 is the status, 0 if it is left out.
            let status = if length == 2 && buf[5] == 0x08 { buf[6] } else { 0 };
            buf.drain(..5 + length);
            on_status(status).await;
        }
        stream.flow_control().release_capacity(data.len()).ok()?;
    }
    drop(connection_task);
    Some(())
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
