//! Messages between the routers of a fleet, over TCP. A message consists of a length, a keyed hash, and a JSON body.
//!
//! A body is parsed only if a key of the fleet signed it. Sizes in signed messages are still untrusted. Names in `serde`
//! attributes are part of the wire format and must not change, as routers of several versions may form one fleet.

mod framing;
mod keys;
mod messages;

pub use framing::{read, write};
pub use keys::{Direction, KeyFileError, Keys};
pub use messages::{Call, CommandOutcome, HeartbeatReport, RemainingUse, Reply, Request, Response, VERSION};

use std::io;

/// Maximum size of a message body, in bytes: twice the size of a fleet state with the maximum number of routers.
pub const MAX_BODY_BYTES: usize = 128 << 10;
/// Size of the hash that precedes the body, in bytes.
const HASH_BYTES: usize = 32;

/// Why a message can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The body is longer than `MAX_BODY_BYTES`.
    #[error("the message is too long")]
    TooLong,
    /// The length field is outside the range of valid messages.
    #[error("the message has an invalid length")]
    InvalidLength,
    /// The message is shorter than its hash.
    #[error("the message is shorter than its hash")]
    TooShort,
    /// No key of this fleet signed the message for this direction.
    #[error("the message is not signed by a key of this fleet")]
    NotSigned,
    /// The signature is valid, but the body is not a message of this version.
    #[error("the message is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The message can't be encoded as JSON.
    #[error("{0}")]
    NotEncodable(#[source] serde_json::Error),
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
}

impl MessageError {
    /// Returns the kind of the I/O error; `InvalidData` for invalid messages.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            MessageError::Connection(e) => e.kind(),
            _ => io::ErrorKind::InvalidData,
        }
    }
}

#[cfg(test)]
mod tests;
