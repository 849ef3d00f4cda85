//! The client side of checks and of the control socket: sends a check or an order to a router and reads the answer.

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

/// A router's answer to a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReply {
    /// The health state. Some protocols distinguish fewer states than the router has.
    pub state: HealthState,
    /// The weight in percent, 1 to 100; 100 if the protocol has no weight.
    pub weight: u8,
    /// The answer as text.
    pub text: String,
}

/// Maximum size of the answer to a check, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 10;

fn invalid_data(why: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

/// Sends an agent check.
pub async fn check_agent(at: SocketAddr, service: &str) -> io::Result<ProbeReply> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(format!("{service}\n").as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut bytes).await?;
    let reply = AgentReply::parse(&bytes, true).map_err(invalid_data)?;
    let state = match (reply.admin, reply.operation) {
        (_, Some(OperationalState::Down | OperationalState::Failed)) => HealthState::Down,
        (Some(AdminState::Maintenance), _) | (_, Some(OperationalState::Stopped)) => HealthState::Maintenance,
        (Some(AdminState::Drain), _) => HealthState::Draining,
        _ => HealthState::Up,
    };
    let weight = reply.percent.unwrap_or(100).clamp(1, 100) as u8;
    Ok(ProbeReply { state, weight, text: reply.to_string() })
}

/// Sends a check over HTTP.
pub async fn check_http(at: SocketAddr, path: &str) -> io::Result<ProbeReply> {
    let mut stream = TcpStream::connect(at).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut bytes).await?;
    let mut slots = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut slots);
    let Ok(httparse::Status::Complete(end)) = head.parse(&bytes) else {
        return Err(invalid_data("HTTP response is incomplete or malformed"));
    };
    let status = head.code.unwrap_or_default();
    let body = String::from_utf8_lossy(&bytes[end..]);
    let words = format!("{status} {}", body.trim_end());
    let state = match status {
        200..=399 => HealthState::Up,
        404 => HealthState::Draining,
        _ => HealthState::Down,
    };
    Ok(ProbeReply { state, weight: 100, text: words })
}

/// Sends a check over gRPC.
pub async fn check_grpc(at: SocketAddr, service: &str) -> io::Result<ProbeReply> {
    let stream = TcpStream::connect(at).await?;
    let (mut send, connection) = h2::client::handshake(stream).await.map_err(invalid_data)?;
    let connection_task = tokio::task::spawn_local(connection);
    let request = Request::post(format!("http://{at}{}", grpc_health::CHECK_PATH))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .map_err(invalid_data)?;
    let (response, mut body) = send.send_request(request, false).map_err(invalid_data)?;
    let message: Bytes = grpc_health::encode_frame(&HealthCheckRequest { service: service.into() });
    body.send_data(message, true).map_err(invalid_data)?;
    let response = response.await.map_err(invalid_data)?;
    let code =
        |map: &::http::HeaderMap| map.get("grpc-status").and_then(|v| v.to_str().ok()?.parse::<u8>().ok());
    if let Some(code) = code(response.headers()).filter(|c| *c != 0) {
        return Err(invalid_data(format!("gRPC check failed with grpc-status {code}")));
    }
    let (mut body, mut bytes) = (response.into_body(), BytesMut::new());
    while let Some(data) = body.data().await {
        let data = data.map_err(invalid_data)?;
        if bytes.len() + data.len() > grpc_health::MAX_MESSAGE_BYTES {
            return Err(invalid_data("gRPC response is too long"));
        }
        bytes.extend_from_slice(&data);
        body.flow_control().release_capacity(data.len()).map_err(invalid_data)?;
    }
    connection_task.abort();
    let answer = grpc_health::decode_frame::<HealthCheckResponse>(&mut bytes)
        .map_err(|e| invalid_data(format!("{e:?}")))?;
    let answer = answer.ok_or_else(|| invalid_data("gRPC response has no message"))?;
    let (state, words) = match answer.status() {
        ServingStatus::Serving => (HealthState::Up, "SERVING"),
        ServingStatus::NotServing => (HealthState::Down, "NOT_SERVING"),
        ServingStatus::Unknown => (HealthState::Down, "UNKNOWN"),
        ServingStatus::ServiceUnknown => (HealthState::Down, "SERVICE_UNKNOWN"),
    };
    Ok(ProbeReply { state, weight: 100, text: words.into() })
}

/// Sends an order over the control socket. Returns the answer, one line of JSON.
pub async fn send_order(socket: &Path, order: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket).await?;
    stream.write_all(format!("{order}\n").as_bytes()).await?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_ANSWER_BYTES * 16)).read_line(&mut line).await?;
    if line.is_empty() {
        return Err(invalid_data("router closed the control socket without an answer"));
    }
    Ok(line)
}
