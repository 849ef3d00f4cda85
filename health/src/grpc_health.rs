//! gRPC health checking, version 1 (`grpc/health/v1/health.proto`): its messages, their framing, and what a
//! watch tells. One service name a front; the empty name is the router.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

use crate::assessment::HealthState;

/// The path of `Check`.
pub const CHECK: &str = "/grpc.health.v1.Health/Check";
/// The path of `Watch`.
pub const WATCH: &str = "/grpc.health.v1.Health/Watch";
/// The path of `List`.
pub const LIST: &str = "/grpc.health.v1.Health/List";

/// Status codes of gRPC that are used here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum GrpcStatusCode {
    /// No error.
    Ok = 0,
    /// The message can't be read.
    InvalidArgument = 3,
    /// No such service.
    NotFound = 5,
    /// Too many watches.
    ResourceExhausted = 8,
    /// No such method.
    Unimplemented = 12,
    /// The router ends.
    Unavailable = 14,
}

/// The question.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthCheckRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// The state of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ServingStatus {
    /// Not known.
    Unknown = 0,
    /// It serves.
    Serving = 1,
    /// It does not.
    NotServing = 2,
    /// There is no such service; only in watches.
    ServiceUnknown = 3,
}

/// The answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthCheckResponse {
    /// The state.
    #[prost(enumeration = "ServingStatus", tag = "1")]
    pub status: i32,
}

/// The question for all services.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HealthListRequest {}

/// The answer to it.
#[derive(Clone, PartialEq, Message)]
pub struct HealthListResponse {
    /// By service.
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

/// The largest message that is read, bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Why a frame can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// It is compressed, and no compression was agreed.
    CompressedFrame,
    /// It is larger than any.
    FrameTooLarge,
    /// Its message can't be decoded.
    InvalidMessage,
}

/// A message in its frame: a flag, its length, itself.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let mut bytes = BytesMut::with_capacity(5 + message.encoded_len());
    bytes.put_u8(0);
    bytes.put_u32(message.encoded_len() as u32);
    // It fails only for want of room, and this grows.
    let _ = message.encode(&mut bytes);
    bytes.freeze()
}

/// Takes a framed message off the front of `buf`; `None` until it is complete.
///
/// # Errors
///
/// A frame that is compressed, too large, or holds no message of this kind.
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

/// What a service's state is, if there is such a service. `services`: the names besides the empty one.
pub fn service_status(service: &str, services: &[String], state: HealthState) -> Option<ServingStatus> {
    let known = service.is_empty() || services.iter().any(|s| s == service);
    known.then(|| state.into())
}

/// What a watch has told. It holds one state, not a queue: a watcher that reads slowly gets the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WatchState {
    notified: Option<ServingStatus>,
}

impl WatchState {
    /// Whether this is not what was told last.
    pub fn would_notify(&self, now: ServingStatus) -> bool {
        self.notified != Some(now)
    }

    /// What is to be told now, if anything: each change once, in order.
    pub fn notify(&mut self, now: ServingStatus) -> Option<HealthCheckResponse> {
        if self.notified.replace(now) == Some(now) {
            return None;
        }
        Some(HealthCheckResponse { status: now as i32 })
    }
}
