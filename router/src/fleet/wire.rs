//! The messages between the routers of a fleet, over TCP: a length, a keyed hash, JSON.
//!
//! What no key of the fleet has signed is not read. What is read is still untrusted in its size. Names in `serde`
//! attributes are those of the wire and must not change: routers of several versions take part in one fleet.

mod framing;
mod keys;
mod messages;

pub use framing::{read, write};
pub use keys::{Direction, KeyFileError, Keys};
pub use messages::{
    Call, CommandOutcome, HeartbeatReport, NotClearReplica, Reply, Request, Response, VERSION,
};

use std::io;

/// The longest body of a message, bytes: twice a fleet state with all routers that one fleet may have.
pub const MAX_BODY_BYTES: usize = 128 << 10;
/// Bytes of the hash in front of the body.
const HASH_BYTES: usize = 32;

/// Why a message can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The body is longer than `MAX_BODY_BYTES`.
    #[error("the message is too long")]
    TooLong,
    /// The length in front has a value that no message has.
    #[error("a length that no message has")]
    InvalidLength,
    /// There are fewer bytes than those of the hash.
    #[error("too short for a message")]
    TooShort,
    /// No key of this fleet signed it, for this direction.
    #[error("signed by no key of this fleet")]
    NotSigned,
    /// It is signed, and its body is no message of this version.
    #[error("not understood: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A message can't be put into JSON.
    #[error("{0}")]
    NotEncodable(#[source] serde_json::Error),
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
}

impl MessageError {
    /// Its kind as that of an I/O error: `InvalidData` for what the peer should not have sent.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            MessageError::Connection(e) => e.kind(),
            _ => io::ErrorKind::InvalidData,
        }
    }
}

#[cfg(test)]
mod tests;
