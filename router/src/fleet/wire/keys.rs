//! The keys that sign the messages of a fleet.

use serde::{Deserialize, Serialize};

use super::{MessageError, HASH_BYTES, MAX_BODY_BYTES};

/// Minimum length of a key, in bytes. A shorter key could be guessed.
const MIN_KEY_BYTES: usize = 16;
/// Maximum number of keys in the key file: the signing key, and its predecessor or successor during a key rotation.
const MAX_KEYS: usize = 2;
/// Context string of the key derivation. Separates these keys from other uses of the same secret.
const KEY_CONTEXT: &str = "tallypin fleet messages 1";

/// Direction of a message. It is covered by the signature, so that a call sent back does not pass as a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the calling router.
    Call,
    /// To the calling router.
    Reply,
}

/// Why a key file can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// The file holds no key or too many.
    #[error("the key file holds {0} keys instead of one, or two during a key rotation")]
    WrongCount(usize),
    /// The key with this number, counted from 1, is too short.
    #[error("key {0} is shorter than {MIN_KEY_BYTES} bytes")]
    TooShort(usize),
}

/// The keys of a fleet. The first key signs, and signatures by any key are accepted, so that keys can be rotated router by
/// router.
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
    /// Parses the content of a key file: one or two keys, one per line.
    ///
    /// # Errors
    ///
    /// The file holds no key, too many keys, or a key that is too short.
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
        // The length prefix makes the boundary between the name and the following bytes unambiguous.
        hasher.update(&(self.fleet.len() as u64).to_be_bytes()).update(self.fleet.as_bytes());
        hasher.update(&[u8::from(direction == Direction::Reply)]).update(body);
        hasher.finalize()
    }

    /// Encodes and signs a message, with its length field. Deterministic: equal messages give equal bytes.
    ///
    /// # Errors
    ///
    /// The body is too long, or can't be encoded as JSON.
    pub fn seal(&self, direction: Direction, message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
        let body = serde_json::to_vec(message).map_err(MessageError::NotEncodable)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(MessageError::TooLong);
        }
        // `read` rejects files without a key.
        let key = &self.keys[0];
        let mut bytes = ((HASH_BYTES + body.len()) as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(self.hash(key, direction, &body).as_bytes());
        bytes.extend_from_slice(&body);
        Ok(bytes)
    }

    /// Verifies and decodes a message, given its bytes without the length field.
    ///
    /// # Errors
    ///
    /// No key of the fleet signed the message for this direction, or its body is malformed.
    pub fn open<T: for<'a> Deserialize<'a>>(
        &self,
        direction: Direction,
        bytes: &[u8],
    ) -> Result<T, MessageError> {
        let (hash, body) = bytes.split_first_chunk::<HASH_BYTES>().ok_or(MessageError::TooShort)?;
        // `blake3::Hash` compares in constant time.
        let hash = blake3::Hash::from(*hash);
        if !self.keys.iter().any(|key| self.hash(key, direction, body) == hash) {
            return Err(MessageError::NotSigned);
        }
        serde_json::from_slice(body).map_err(MessageError::Malformed)
    }
}
