//! The coding of drain notices between routers: which replicas take nothing new, as the endpoint list told their sender.
//! A message is a digest of the format, one byte that says what it is, and in a notice the replicas. What is sent
//! when, and what follows from it, is decided in `decisions/drain_notices.rs`.

use crate::api::{EndpointEntry, Nanos, ReplicaId};
use crate::name_hash::{message_digest, MESSAGE_DIGEST_LENGTH};

/// The format; hashed into the digest that each message begins with, so that another format is another digest.
const FORMAT: &str = "drain notices, form 1";
/// Each message begins with it.
const DIGEST: [u8; MESSAGE_DIGEST_LENGTH] = message_digest(FORMAT.as_bytes());
/// What a message is.
const QUERY: u8 = 0;
const NOTICE: u8 = 1;
/// Bytes of a replica and the digest of its start.
const ENTRY_LENGTH: usize = 12;
/// The most bytes of a message; the platform's bound on what routers send each other.
const MAX_MESSAGE_BYTES: usize = 256;
/// The most replicas of a message.
pub const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - DIGEST.len() - 1) / ENTRY_LENGTH;

/// An incarnation of a replica, as routers tell each other of it: one that has started again is another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// The replica.
    pub replica: ReplicaId,
    /// Stands for its start.
    pub start: u32,
}

impl Incarnation {
    /// The incarnation of an entry of the endpoint list.
    pub fn of(entry: &EndpointEntry) -> Incarnation {
        Incarnation { replica: entry.replica, start: start_digest(entry.started_at) }
    }
}

/// The list states starts in ms, so 32 bits of them are told apart for 49 days.
fn start_digest(started_at: Nanos) -> u32 {
    (started_at / 1_000_000) as u32
}

/// A message about drains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainMessage {
    /// Its sender does not hear the endpoint list and asks which replicas take nothing new.
    Query,
    /// These take nothing new.
    Notice(Vec<Incarnation>),
}

impl DrainMessage {
    /// Whether a message is one about drains, be it well formed or not.
    pub fn is_one(bytes: &[u8]) -> bool {
        bytes.starts_with(&DIGEST)
    }

    /// The message as it is sent; a notice has no more than [`MAX_ENTRIES`].
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = DIGEST.to_vec();
        match self {
            DrainMessage::Query => bytes.push(QUERY),
            DrainMessage::Notice(entries) => {
                bytes.push(NOTICE);
                for entry in entries.iter().take(MAX_ENTRIES) {
                    bytes.extend(entry.replica.0.to_be_bytes());
                    bytes.extend(entry.start.to_be_bytes());
                }
            }
        }
        bytes
    }

    /// Reads a message; `None` if it is none about drains, or malformed.
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
    let (replica, start) = bytes.split_at(8);
    Incarnation { replica: ReplicaId(number(replica)), start: number(start) as u32 }
}
