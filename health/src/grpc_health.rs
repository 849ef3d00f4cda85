//! gRPC health checking, version 1 (`grpc/health/v1/health.proto`): the messages, their framing, and the state of a watch.
//! Each front is a service; the empty service name is the router as a whole.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

use crate::assessment::HealthState;

/// The path of `Check`.
pub const CHECK_PATH: &str = "/grpc.health.v1.Health/Check";
/// The path of `Watch`.
pub const WATCH_PATH: &str = "/grpc.health.v1.Health/Watch";
/// The path of `List`.
pub const LIST_PATH: &str = "/grpc.health.v1.Health/List";

/// The gRPC status codes in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum GrpcStatusCode {
    /// No error.
    Ok = 0,
    /// The message can't be decoded.
    InvalidArgument = 3,
    /// The service is unknown.
    NotFound = 5,
    /// The router has no free stream: the limit of concurrent streams is reached.
    ResourceExhausted = 8,
    /// The method is unknown.
    Unimplemented = 12,
    /// The router is shutting down.
    Unavailable = 14,
}

/// The request of `Check` and `Watch`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthCheckRequest {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// The serving status of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ServingStatus {
    /// The status is unknown.
    Unknown = 0,
    /// The service accepts requests.
    Serving = 1,
    /// The service does not accept requests.
    NotServing = 2,
    /// The service is unknown; used only in watches.
    ServiceUnknown = 3,
}

/// The response of `Check` and `Watch`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthCheckResponse {
    /// The serving status.
    #[prost(enumeration = "ServingStatus", tag = "1")]
    pub status: i32,
}

/// The request of `List`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthListRequest {}

/// The response of `List`.
#[derive(Clone, PartialEq, Message)]
pub struct HealthListResponse {
    /// The serving status by service name.
    #[prost(btree_map = "string, message", tag = "1")]
    pub statuses: BTreeMap<String, HealthCheckResponse>,
}

impl From<HealthState> for ServingStatus {
    fn from(state: HealthState) -> Self {
        if state.serves() {
            ServingStatus::Serving
        } else {
            ServingStatus::NotServing
        }
    }
}

/// Maximum size of a received message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Why a frame can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The frame is compressed, but no compression was negotiated.
    CompressedFrame,
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    FrameTooLarge,
    /// The message is not valid.
    InvalidMessage,
}

/// Encodes a message in its frame: compression flag, length, message.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let mut bytes = BytesMut::with_capacity(5 + message.encoded_len());
    bytes.put_u8(0);
    bytes.put_u32(message.encoded_len() as u32);
    // Encoding fails only if the buffer is too small, and this buffer grows.
    let _ = message.encode(&mut bytes);
    bytes.freeze()
}

/// Removes a framed message from the start of `buf` and decodes it; `None` until the frame is complete.
///
/// # Errors
///
/// Returns an error if the frame is compressed, too large, or holds no message of this type.
pub fn decode_frame<M: Message + Default>(buf: &mut BytesMut) -> Result<Option<M>, DecodeError> {
    let Some((&[flag, a, b, c, d], _)) = buf.split_first_chunk::<5>() else { return Ok(None) };
    if flag != 0 {
        return Err(DecodeError::CompressedFrame);
    }
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(DecodeError::FrameTooLarge);
    }
    if buf.len() < 5 + length {
        return Ok(None);
    }
    buf.advance(5);
    M::decode(buf.split_to(length)).map(Some).map_err(|_| DecodeError::InvalidMessage)
}

/// Returns the status of a service; `None` if it is unknown. `services` has the names of all services but the empty one.
pub fn service_status(service: &str, services: &[String], state: HealthState) -> Option<ServingStatus> {
    let known = service.is_empty() || services.iter().any(|s| s == service);
    known.then(|| state.into())
}

/// The last status that a watch has sent. It holds one status, not a queue: a slow watcher receives only the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WatchState {
    notified: Option<ServingStatus>,
}

impl WatchState {
    /// Whether status `now` differs from the one sent last.
    pub fn would_notify(&self, now: ServingStatus) -> bool {
        self.notified != Some(now)
    }

    /// Returns the message to send, if the status has changed, and records it as sent.
    pub fn notify(&mut self, now: ServingStatus) -> Option<HealthCheckResponse> {
        if self.notified.replace(now) == Some(now) {
            return None;
        }
        Some(HealthCheckResponse { status: now as i32 })
    }
}
