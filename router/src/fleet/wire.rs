//! Request routers of a fleet say to each other over TCP: a length, a keyed hash, JSON. Whoever does not hold a key of the
//! fleet is not read; what is read is still untrusted in its size.

use std::io;

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::{Command, FleetState, Rejection};
use tallypin_consensus::register::{AcceptorReply, AcceptorRequest};
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::AppliedState;
use tallypin_membership::{AdvertisedStatus, RouterIndex};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// This version of the messages. Fields that are not known are passed over; another version is not read.
pub const VERSION: u8 = 1;
/// The longest message, bytes: a document of all routers that one fleet may have, twice.
pub const MAX_BODY_BYTES: usize = 128 << 10;
/// Bytes of the hash.
const HASH_BYTES: usize = 32;
/// The shortest key, bytes.
const MIN_KEY_BYTES: usize = 16;

/// A question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The version of this message.
    #[serde(rename = "v")]
    pub version: u8,
    /// Who asks.
    pub from: RouterIndex,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Above that of every call before in this life: one that comes again is no news.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Request it asks.
    #[serde(rename = "what")]
    pub request: Request,
    /// With a beat: what it tells besides. Routers of the first version tell nothing.
    #[serde(default, rename = "tells", skip_serializing_if = "Option::is_none")]
    pub report: Option<HeartbeatReport>,
}

/// Request a router tells with its beats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Its final answers.
    #[serde(default)]
    pub counts: AnswerCounts,
    /// Request it does about model nodes that are out by order.
    #[serde(default, rename = "follows")]
    pub applied: AppliedState,
    /// Request it runs, of the kind that is, or was last, released.
    #[serde(default, rename = "runs", skip_serializing_if = "Option::is_none")]
    pub running_digest: Option<String>,
}

/// Who keeps a model node that is out from being clear, as one member has heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotClearReplica {
    /// The model node.
    #[serde(rename = "node")]
    pub replica: String,
    /// How many routers.
    #[serde(rename = "routers")]
    pub router_count: usize,
    /// The first of them.
    #[serde(rename = "first")]
    pub first_routers: Vec<RouterIndex>,
}

/// Request is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Request {
    /// It lives, and says this of itself.
    #[serde(rename = "beat")]
    Heartbeat(AdvertisedStatus),
    /// Of the register.
    #[serde(rename = "ask")]
    Acceptor(AcceptorRequest<FleetState>),
    /// To have a change agreed on.
    #[serde(rename = "change")]
    Submit(Command),
    /// Which life of the one who asks is known: before its first own call. The only call that may be of any life.
    #[serde(rename = "life")]
    Incarnation,
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply {
    /// The version of this message.
    #[serde(rename = "v")]
    pub version: u8,
    /// The number of the call.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Request it says.
    #[serde(rename = "what")]
    pub response: Response,
    /// With what it took last: every model node that is out by order.
    #[serde(default, rename = "unclear", skip_serializing_if = "Vec::is_empty")]
    pub not_clear: Vec<NotClearReplica>,
}

/// Request is answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Response {
    /// The version of the document that this member took last; `None`: it takes no part yet.
    #[serde(rename = "heard")]
    HeartbeatReceived(Option<u64>),
    /// Of the register, and who is out, if this member can tell.
    #[serde(rename = "answer")]
    Acceptor(AcceptorReply<FleetState>, Option<Vec<RouterIndex>>),
    /// The latest life of the one who asks that this member has heard of; 0: of none.
    #[serde(rename = "life")]
    Incarnation(u64),
    /// Request became of a change; `None`: not known, no majority answered this member in time.
    #[serde(rename = "changed")]
    Submitted(Option<Result<FleetState, Rejection>>),
}

/// Which way a message goes: guards against a call that comes back as its own answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// A call.
    Call,
    /// A reply.
    Reply,
}

/// The keys of a fleet: the first signs, both are believed, so that a key can be changed router by router.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    fleet: String,
    all: Vec<[u8; 32]>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys of {}", self.all.len(), self.fleet)
    }
}

impl Keys {
    /// Of a file's text: a key a line, one or two.
    pub fn read(fleet: &str, text: &str) -> Result<Keys, String> {
        let lines: Vec<&str> = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect();
        if lines.is_empty() || lines.len() > 2 {
            return Err(format!("holds {} keys, wanted one, or two while they change", lines.len()));
        }
        if let Some(at) = lines.iter().position(|l| l.len() < MIN_KEY_BYTES) {
            return Err(format!("key {} is shorter than {MIN_KEY_BYTES} bytes", at + 1));
        }
        let key = |line: &&str| blake3::derive_key("tallypin fleet messages 1", line.as_bytes());
        Ok(Keys { fleet: fleet.into(), all: lines.iter().map(key).collect() })
    }

    fn hash(&self, key: &[u8; 32], way: Direction, body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // The length keeps a name and the bytes behind it apart.
        hasher.update(&(self.fleet.len() as u64).to_be_bytes()).update(self.fleet.as_bytes());
        hasher.update(&[u8::from(way == Direction::Reply)]).update(body);
        hasher.finalize()
    }

    /// A whole message.
    pub fn seal(&self, way: Direction, message: &impl Serialize) -> io::Result<Vec<u8>> {
        let body = serde_json::to_vec(message)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(invalid_data("the message is too long"));
        }
        let key = self.all.first().ok_or_else(|| invalid_data("no key"))?;
        let mut bytes = ((HASH_BYTES + body.len()) as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(self.hash(key, way, &body).as_bytes());
        bytes.extend_from_slice(&body);
        Ok(bytes)
    }

    /// Request stands in a message behind its length, if a key of the fleet signed it.
    pub fn open<T: for<'a> Deserialize<'a>>(&self, way: Direction, bytes: &[u8]) -> io::Result<T> {
        let (hash, body) =
            bytes.split_at_checked(HASH_BYTES).ok_or_else(|| invalid_data("too short for a message"))?;
        let hash: [u8; HASH_BYTES] = hash.try_into().map_err(|_| invalid_data("too short for a message"))?;
        // Compared in constant time by the library.
        if !self.all.iter().any(|key| self.hash(key, way, body) == blake3::Hash::from(hash)) {
            return Err(invalid_data("signed by no key of this fleet"));
        }
        serde_json::from_slice(body).map_err(|e| invalid_data(&format!("not understood: {e}")))
    }
}

fn invalid_data(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads one message; what stands behind its length.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = from.read_u32().await? as usize;
    if !(HASH_BYTES..=HASH_BYTES + MAX_BODY_BYTES).contains(&length) {
        return Err(invalid_data("a length that no message has"));
    }
    // Grows with what comes: a stranger's length alone costs nothing.
    let mut bytes = Vec::new();
    from.take(length as u64).read_to_end(&mut bytes).await?;
    match bytes.len() == length {
        true => Ok(bytes),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Writes one.
pub async fn write(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes).await?;
    to.flush().await
}

#[cfg(test)]
mod tests;
