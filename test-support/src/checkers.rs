//! The balancer's checks: the agent check (HAProxy's configuration manual, `agent-check`), checks over HTTP with
//! rise, fall and soft stop on 404, and a watch of gRPC health (`grpc/health/v1/health.proto`).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

use crate::balancer::Teller;

/// Asks again and again. A check that fails changes nothing: the agent is a supplement, as the manual has it.
pub async fn agent(teller: Teller, at: SocketAddr, every: Duration, line: &'static str) {
    let mut ticks = interval(every);
    loop {
        ticks.tick().await;
        let Ok(Some(answer)) = timeout(every * 10, agent_line(at, line)).await else { continue };
        teller.tell(|held| {
            for word in answer.split('#').next().unwrap_or("").split([' ', '\t', ',']) {
                match word {
                    "up" => held.up = true,
                    "down" | "failed" | "stopped" => held.up = false,
                    "ready" => held.ready = true,
                    "drain" | "maint" => held.ready = false,
                    word => {
                        let percent = word.strip_suffix('%').and_then(|p| p.parse().ok());
                        held.weight = percent.unwrap_or(held.weight);
                    }
                }
            }
        });
    }
}

/// One agent check; `None` without a whole line.
pub async fn agent_line(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(line.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let end = text.find(['\r', '\n'])?;
    text.truncate(end);
    Some(text)
}

/// Asks on a connection that it keeps, as long as it can.
pub async fn http(teller: Teller, at: SocketAddr, every: Duration, path: &str, rise: u32, fall: u32) {
    let mut ticks = interval(every);
    let (mut kept, mut well, mut ill) = (None, 0, 0);
    loop {
        ticks.tick().await;
        let answered = timeout(every * 10, http_status(&mut kept, at, path)).await.ok().flatten();
        if answered.is_none() {
            kept = None;
        }
        match answered {
            Some(200..=399) => (well, ill) = (well + 1, 0),
            // A soft stop: it is up, and gets nothing new.
            Some(404) if teller.held().up => {
                teller.tell(|held| held.ready = false);
                continue;
            }
            _ => (well, ill) = (0, ill + 1),
        }
        teller.tell(|held| {
            if well >= rise {
                (held.up, held.ready) = (true, true);
            }
            if ill >= fall {
                held.up = false;
            }
        });
    }
}

async fn http_status(kept: &mut Option<TcpStream>, at: SocketAddr, path: &str) -> Option<u16> {
    if kept.is_none() {
        *kept = Some(TcpStream::connect(at).await.ok()?);
    }
    let stream = kept.as_mut()?;
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
                *kept = None;
            }
            return status;
        }
    }
}

/// Watches; a watch that ends says that the server is gone, and is begun again.
pub async fn watch(teller: Teller, at: SocketAddr) {
    loop {
        let _ = watch_once(at, "", 64 << 10, |status| {
            teller.tell(|held| (held.up, held.ready) = (true, status == 1));
            std::future::ready(())
        })
        .await;
        teller.tell(|held| held.up = false);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// One watch: hands on each status as it comes, until it ends. `window`: how many bytes the server may send before
/// this side has read.
pub async fn watch_once<F: std::future::Future<Output = ()>>(
    at: SocketAddr,
    service: &str,
    window: u32,
    told: impl Fn(u8) -> F,
) -> Option<()> {
    let stream = TcpStream::connect(at).await.ok()?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(window);
    let (mut send, connection) = builder.handshake::<_, Bytes>(stream).await.ok()?;
    let driven = Abort(tokio::task::spawn_local(connection).abort_handle());
    let uri = format!("http://{at}/grpc.health.v1.Health/Watch");
    let request = Request::post(uri).header("content-type", "application/grpc").header("te", "trailers");
    let (answer, mut body) = send.send_request(request.body(()).ok()?, false).ok()?;
    // HealthCheckRequest: field 1, the service.
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
            // HealthCheckResponse: field 1, a number; left out, it is 0.
            let status = if length == 2 && buf[5] == 0x08 { buf[6] } else { 0 };
            buf.drain(..5 + length);
            told(status).await;
        }
        stream.flow_control().release_capacity(data.len()).ok()?;
    }
    drop(driven);
    Some(())
}

struct Abort(tokio::task::AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}
