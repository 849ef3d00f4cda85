//! The keys that sign a fleet's messages.

use serde::{Deserialize, Serialize};

use super::{MessageError, HASH_BYTES, MAX_BODY_BYTES};

/// The shortest key, bytes: below it one could be guessed.
const MIN_KEY_BYTES: usize = 16;
/// Keys in one file at the most: the one in use, and its successor or predecessor during a change.
const MAX_KEYS: usize = 2;
/// Keeps keys of this use apart from any other use of the same secret.
const KEY_CONTEXT: &str = "tallypin fleet messages 1";

/// Which way a message goes. It is signed with it: a call that is sent back is no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the router that calls.
    Call,
    /// Back to it.
    Reply,
}

/// Why a key file can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// It holds none or too many.
    #[error("holds {0} keys, wanted one, or two while they change")]
    WrongCount(usize),
    /// This one, counted from 1, is too short.
    #[error("key {0} is shorter than {MIN_KEY_BYTES} bytes")]
    TooShort(usize),
}

/// The keys of a fleet. The first signs; all are accepted, so that a key can be changed router by router.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    fleet: String,
    keys: Vec<[u8; 32]>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys of {}", self.keys.len(), self.fleet)
    }
}

impl Keys {
    /// Reads the text of a key file: a key a line, one or two.
    ///
    /// # Errors
    ///
    /// There are none, too many, or one that is too short.
    pub fn read(fleet: &str, text: &str) -> Result<Keys, KeyFileError> {
        let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        if lines.is_empty() || lines.len() > MAX_KEYS {
            return Err(KeyFileError::WrongCount(lines.len()));
        }
        if let Some(short) = lines.iter().position(|line| line.len() < MIN_KEY_BYTES) {
            return Err(KeyFileError::TooShort(short + 1));
        }
        let key = |line: &&str| blake3::derive_key(KEY_CONTEXT, line.as_bytes());
        Ok(Keys { fleet: fleet.into(), keys: lines.iter().map(key).collect() })
    }

    fn hash(&self, key: &[u8; 32], direction: Direction, body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // The length keeps a name and the bytes behind it apart.
        hasher.update(&(self.fleet.len() as u64).to_be_bytes()).update(self.fleet.as_bytes());
        hasher.update(&[u8::from(direction == Direction::Reply)]).update(body);
        hasher.finalize()
    }

    /// The bytes of a message, with its length. The same message gives the same bytes.
    ///
    /// # Errors
    ///
    /// Its body is too long, or can't be put into JSON.
    pub fn seal(&self, direction: Direction, message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
        let body = serde_json::to_vec(message).map_err(MessageError::NotEncodable)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(MessageError::TooLong);
        }
        // `read` lets no file without a key pass.
        let key = &self.keys[0];
        let mut bytes = ((HASH_BYTES + body.len()) as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(self.hash(key, direction, &body).as_bytes());
        bytes.extend_from_slice(&body);
        Ok(bytes)
    }

    /// The message in what follows a length.
    ///
    /// # Errors
    ///
    /// No key of the fleet signed it for this direction, or its body is no message.
    pub fn open<T: for<'a> Deserialize<'a>>(
        &self,
        direction: Direction,
        bytes: &[u8],
    ) -> Result<T, MessageError> {
        let (hash, body) = bytes.split_first_chunk::<HASH_BYTES>().ok_or(MessageError::TooShort)?;
        // Compared in constant time by the library.
        let hash = blake3::Hash::from(*hash);
        if !self.keys.iter().any(|key| self.hash(key, direction, body) == hash) {
            return Err(MessageError::NotSigned);
        }
        serde_json::from_slice(body).map_err(MessageError::Malformed)
    }
}
