//! Framing of messages on a stream: a big-endian length of four bytes, followed by that many bytes of hash and body.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{MessageError, HASH_BYTES, MAX_BODY_BYTES};

/// Reads one message and returns its hash and body. Not cancel-safe: dropping the future may leave the stream in the middle
/// of a message.
///
/// # Errors
///
/// The length is invalid, or the stream failed or ended.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, MessageError> {
    let length = from.read_u32().await? as usize;
    if !(HASH_BYTES..=HASH_BYTES + MAX_BODY_BYTES).contains(&length) {
        return Err(MessageError::InvalidLength);
    }
    // The buffer grows with the received bytes, so that a large length alone allocates no memory.
    let mut bytes = Vec::new();
    from.take(length as u64).read_to_end(&mut bytes).await?;
    match bytes.len() == length {
        true => Ok(bytes),
        false => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}

/// Writes a message as returned by `Keys::seal`.
///
/// # Errors
///
/// The stream failed.
pub async fn write(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes).await?;
    to.flush().await
}
