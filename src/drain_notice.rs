//! Encoding of the drain messages between routers, which report replicas that take no new work. A message has a digest
//! of the format, one byte for its type, and in a notice the incarnations of the replicas. `decisions/drain_notices.rs`
//! decides when they are sent and what they change.

use crate::api::{EndpointEntry, Nanos, ReplicaId};
use crate::name_hash::{message_digest, MESSAGE_DIGEST_LENGTH};

/// Name of the format. It is hashed into the digest at the start of each message, so that another format has another
/// digest.
const FORMAT: &str = "drain notices, form 1";
/// Digest at the start of each message.
const DIGEST: [u8; MESSAGE_DIGEST_LENGTH] = message_digest(FORMAT.as_bytes());
/// Type byte of each message.
const QUERY: u8 = 0;
const NOTICE: u8 = 1;
/// Length of an entry in bytes: 8 for the replica, 4 for the digest of its start time.
const ENTRY_LENGTH: usize = 12;
/// Maximum length of a message in bytes; the platform limits messages between routers to it.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of replicas in a message.
pub const MAX_NOTICE_ENTRIES: usize = (MAX_MESSAGE_BYTES - DIGEST.len() - 1) / ENTRY_LENGTH;

/// One incarnation of a replica, as in messages between routers: a replica that restarts has another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Replica of which this is an incarnation.
    pub replica: ReplicaId,
    /// Digest of the time at which this incarnation started.
    pub start_digest: u32,
}

impl Incarnation {
    /// Returns the incarnation of an entry of the endpoint list.
    pub fn from_entry(entry: &EndpointEntry) -> Incarnation {
        Incarnation { replica: entry.replica, start_digest: start_digest(entry.started_at) }
    }
}

/// Returns the digest of a start time. The list states start times in ms, so 32 bits are unique for 49 days.
fn start_digest(started_at: Nanos) -> u32 {
    (started_at / 1_000_000) as u32
}

/// A message about drained replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainMessage {
    /// The sender does not receive the endpoint list and requests the replicas that take no new work.
    Query,
    /// These incarnations take no new work.
    Notice(Vec<Incarnation>),
}

impl DrainMessage {
    /// Returns whether a message is a drain message, well formed or not.
    pub fn is_drain_message(bytes: &[u8]) -> bool {
        bytes.starts_with(&DIGEST)
    }

    /// Encodes the message; a notice is cut to [`MAX_NOTICE_ENTRIES`] entries.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = DIGEST.to_vec();
        match self {
            DrainMessage::Query => bytes.push(QUERY),
            DrainMessage::Notice(entries) => {
                bytes.push(NOTICE);
                for entry in entries.iter().take(MAX_NOTICE_ENTRIES) {
                    bytes.extend(entry.replica.0.to_be_bytes());
                    bytes.extend(entry.start_digest.to_be_bytes());
                }
            }
        }
        bytes
    }

    /// Decodes a message. Returns `None` if it is malformed or no drain message.
    pub fn decode(bytes: &[u8]) -> Option<DrainMessage> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let (&kind, body) = bytes.strip_prefix(&DIGEST)?.split_first()?;
        match kind {
            QUERY if body.is_empty() => Some(DrainMessage::Query),
            NOTICE if body.len() % ENTRY_LENGTH == 0 => {
                Some(DrainMessage::Notice(body.chunks_exact(ENTRY_LENGTH).map(read_entry).collect()))
            }
            _ => None,
        }
    }
}

fn read_entry(bytes: &[u8]) -> Incarnation {
    let number = |bytes: &[u8]| bytes.iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte));
    let (replica, start_digest) = bytes.split_at(8);
    Incarnation { replica: ReplicaId(number(replica)), start_digest: number(start_digest) as u32 }
}
