//! Messages on a stream: four bytes of length, big-endian, and as many bytes of hash and body.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{MessageError, HASH_BYTES, MAX_BODY_BYTES};

/// Reads one message: what follows its length. Not cancel-safe: a read that is dropped leaves the stream inside a message.
///
/// # Errors
///
/// The length is none that a message has, or the stream failed or ended.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, MessageError> {
    let length = from.read_u32().await? as usize;
    if !(HASH_BYTES..=HASH_BYTES + MAX_BODY_BYTES).contains(&length) {
        return Err(MessageError::InvalidLength);
    }
    // Grows with what is received: a length alone costs no memory.
    let mut bytes = Vec::new();
    from.take(length as u64).read_to_end(&mut bytes).await?;
    match bytes.len() == length {
        true => Ok(bytes),
        false => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}

/// Writes a message as `Keys::seal` gives it.
///
/// # Errors
///
/// The stream failed.
pub async fn write(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes).await?;
    to.flush().await
}
