//! The other side of a check, for the check program and the operator's orders: asks a router and reads the
//! answer.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use bytes::{Bytes, BytesMut};
use http::Request;
use tallypin_health::agent_check::{AdminState, AgentReply, OperationalState};
use tallypin_health::assessment::HealthState;
use tallypin_health::grpc_health::{self, HealthCheckRequest, HealthCheckResponse, ServingStatus};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};

/// What a router said: its state as far as the protocol tells it, its weight, and the words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Said {
    /// The state.
    pub state: HealthState,
    /// The weight, 1 to 100; 100 where the protocol has none.
    pub weight: u8,
    /// As it was said.
    pub words: String,
}

/// More than this is no answer to a check.
const LONGEST: u64 = 16 << 10;

fn wrong(why: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

/// By the agent check.
pub async fn agent(at: SocketAddr, service: &str) -> io::Result<Said> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(format!("{service}\n").as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(LONGEST).read_to_end(&mut bytes).await?;
    let says = AgentReply::parse(&bytes, true).map_err(wrong)?;
    let state = match (says.admin, says.operation) {
        (_, Some(OperationalState::Down | OperationalState::Failed)) => HealthState::Down,
        (Some(AdminState::Maintenance), _) | (_, Some(OperationalState::Stopped)) => HealthState::Maintenance,
        (Some(AdminState::Drain), _) => HealthState::Draining,
        _ => HealthState::Up,
    };
    let weight = says.percent.unwrap_or(100).clamp(1, 100) as u8;
    Ok(Said { state, weight, words: says.to_string() })
}

/// By a check over HTTP.
pub async fn http(at: SocketAddr, path: &str) -> io::Result<Said> {
    let mut stream = TcpStream::connect(at).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(LONGEST).read_to_end(&mut bytes).await?;
    let mut slots = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut slots);
    let Ok(httparse::Status::Complete(end)) = head.parse(&bytes) else {
        return Err(wrong("no whole answer"));
    };
    let status = head.code.unwrap_or_default();
    let body = String::from_utf8_lossy(&bytes[end..]);
    let words = format!("{status} {}", body.trim_end());
    let state = match status {
        200..=399 => HealthState::Up,
        404 => HealthState::Draining,
        _ => HealthState::Down,
    };
    Ok(Said { state, weight: 100, words })
}

/// By gRPC.
pub async fn grpc(at: SocketAddr, service: &str) -> io::Result<Said> {
    let stream = TcpStream::connect(at).await?;
    let (mut send, connection) = h2::client::handshake(stream).await.map_err(wrong)?;
    let driven = tokio::task::spawn_local(connection);
    let request = Request::post(format!("http://{at}{}", grpc_health::CHECK))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .map_err(wrong)?;
    let (response, mut body) = send.send_request(request, false).map_err(wrong)?;
    let message: Bytes = grpc_health::encode_frame(&HealthCheckRequest { service: service.into() });
    body.send_data(message, true).map_err(wrong)?;
    let response = response.await.map_err(wrong)?;
    let code =
        |map: &::http::HeaderMap| map.get("grpc-status").and_then(|v| v.to_str().ok()?.parse::<u8>().ok());
    if let Some(code) = code(response.headers()).filter(|c| *c != 0) {
        return Err(wrong(format!("grpc-status {code}")));
    }
    let (mut body, mut bytes) = (response.into_body(), BytesMut::new());
    while let Some(data) = body.data().await {
        let data = data.map_err(wrong)?;
        if bytes.len() + data.len() > grpc_health::MAX_MESSAGE_BYTES {
            return Err(wrong("the answer is too long"));
        }
        bytes.extend_from_slice(&data);
        body.flow_control().release_capacity(data.len()).map_err(wrong)?;
    }
    driven.abort();
    let answer =
        grpc_health::decode_frame::<HealthCheckResponse>(&mut bytes).map_err(|e| wrong(format!("{e:?}")))?;
    let answer = answer.ok_or_else(|| wrong("no answer in the stream"))?;
    let (state, words) = match answer.status() {
        ServingStatus::Serving => (HealthState::Up, "SERVING"),
        ServingStatus::NotServing => (HealthState::Down, "NOT_SERVING"),
        ServingStatus::Unknown => (HealthState::Down, "UNKNOWN"),
        ServingStatus::ServiceUnknown => (HealthState::Down, "SERVICE_UNKNOWN"),
    };
    Ok(Said { state, weight: 100, words: words.into() })
}

/// Gives an order over a socket; the answer is one line of JSON.
pub async fn order(socket: &Path, order: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket).await?;
    stream.write_all(format!("{order}\n").as_bytes()).await?;
    let mut line = String::new();
    BufReader::new(stream.take(LONGEST * 16)).read_line(&mut line).await?;
    if line.is_empty() {
        return Err(wrong("closed without an answer"));
    }
    Ok(line)
}
