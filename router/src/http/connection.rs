//! A TCP connection with its read buffer: reads that yield to other tasks, gathered writes, and retries when the system is
//! short of memory or buffers.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::net::TcpStream;

use crate::shortage::is_resource_shortage;

/// Delay before a call that failed for lack of memory or buffers is retried. Transient shortages end within milliseconds.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of retries of one call during a shortage; the connection then fails, after about 0.1 s.
const MAX_SHORTAGE_RETRIES: u32 = 100;
/// Maximum number of slices in one gathered write; a head with a chunk and its framing has fewer.
const MAX_WRITE_SLICES: usize = 8;
/// Minimum free buffer space for a read, bytes: larger than most heads and events.
const MIN_READ_SIZE: usize = 8 << 10;
/// The same for connections of which there may be many for the available memory, bytes.
pub const SMALL_READ_SIZE: usize = 4 << 10;
/// Number of consecutive reads after which a task yields. Without it, events of other connections would wait for up to 128
/// reads, the limit of the runtime.
const MAX_CONSECUTIVE_READS: u8 = 2;

/// A connection with its read buffer.
#[derive(Debug)]
pub struct BufferedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes that have been received and not consumed yet.
    pub read_buffer: BytesMut,
    /// Minimum free space in `read_buffer` for a read, bytes.
    min_read_size: usize,
    /// When the first byte of `read_buffer` was read.
    first_read_at: Instant,
    /// When the last byte of `read_buffer` was read.
    last_read_at: Instant,
    /// Reads since the task last yielded.
    consecutive_reads: u8,
    /// Number of bytes read since the connection was opened.
    received: u64,
}

/// When a call that failed temporarily is to be retried.
enum RetryCall {
    Now,
    WhenReady,
}

/// Decides whether a failed read or write is retried, and waits if the system is short of resources. `shortage_retries`
/// counts these waits.
///
/// # Errors
/// `error` itself if a further call would not help.
async fn recover(error: io::Error, shortage_retries: &mut u32) -> io::Result<RetryCall> {
    match error.kind() {
        io::ErrorKind::WouldBlock => Ok(RetryCall::WhenReady),
        io::ErrorKind::Interrupted => Ok(RetryCall::Now),
        _ if is_resource_shortage(&error) && *shortage_retries < MAX_SHORTAGE_RETRIES => {
            *shortage_retries += 1;
            tokio::time::sleep(SHORTAGE_RETRY_DELAY).await;
            Ok(RetryCall::Now)
        }
        _ => Err(error),
    }
}

/// Gives `buffer` at least `min_free` bytes of free space. If it has less, it moves to an allocation of `capacity` bytes of its
/// own: slices that others hold of the former one do not keep the new one in memory.
fn ensure_free_space(buffer: &mut BytesMut, min_free: usize, capacity: usize) {
    if buffer.capacity() - buffer.len() < min_free {
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(buffer);
        *buffer = grown;
    }
}

impl BufferedConnection {
    /// A new connection, with Nagle's algorithm disabled: events are small and must be sent at once.
    pub fn new(stream: TcpStream) -> BufferedConnection {
        BufferedConnection::with_min_read_size(stream, MIN_READ_SIZE)
    }

    /// Like [`BufferedConnection::new`], for a connection that may be one of many: reads take less memory.
    pub fn with_small_reads(stream: TcpStream) -> BufferedConnection {
        BufferedConnection::with_min_read_size(stream, SMALL_READ_SIZE)
    }

    fn with_min_read_size(stream: TcpStream, min_read_size: usize) -> BufferedConnection {
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        BufferedConnection {
            stream,
            read_buffer: BytesMut::new(),
            min_read_size,
            first_read_at: now,
            last_read_at: now,
            consecutive_reads: 0,
            received: 0,
        }
    }

    /// Number of bytes read since the connection was opened.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// When the first byte of the unconsumed input was read.
    pub fn first_read_at(&self) -> Instant {
        self.first_read_at
    }

    /// Records that a message has been consumed: the remaining input arrived with the last read, which completed the message.
    pub fn message_consumed(&mut self) {
        self.first_read_at = self.last_read_at;
    }

    /// Reads more into `read_buffer`; false at the end of the peer's input.
    ///
    /// Cancel-safe: there is no await point between reading bytes and storing them.
    ///
    /// # Errors
    /// Errors of the socket that a retry does not resolve.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        self.read_with_capacity(self.capacity_for_read(usize::MAX)).await
    }

    /// Like [`BufferedConnection::read_more`], with the capacity that the buffer gets if it has to grow; at least that of
    /// [`BufferedConnection::capacity_for_read`] with a limit of 0.
    ///
    /// # Errors
    /// Errors of the socket that a retry does not resolve.
    pub async fn read_with_capacity(&mut self, capacity: usize) -> io::Result<bool> {
        // The buffer is allocated only when input is ready: most connections are idle most of the time.
        let min_free = self.min_read_size;
        let read = |stream: &TcpStream, buffer: &mut BytesMut| {
            ensure_free_space(buffer, min_free, capacity);
            stream.try_read_buf(buffer)
        };
        self.read_with(read).await
    }

    /// Reads up to `limit` bytes into `target` instead of `read_buffer`, whose content comes first; false at the end of the
    /// peer's input. `target` must have free capacity.
    ///
    /// Cancel-safe, as [`BufferedConnection::read_more`].
    ///
    /// # Errors
    /// Errors of the socket that a retry does not resolve.
    pub async fn read_into(&mut self, target: &mut BytesMut, limit: usize) -> io::Result<bool> {
        let limit = limit.min(target.capacity() - target.len());
        self.read_with(|stream, _| stream.try_read_buf(&mut (&mut *target).limit(limit))).await
    }

    /// Reads input and discards it; false at the end of the peer's input.
    ///
    /// # Errors
    /// Errors of the socket that a retry does not resolve.
    pub async fn discard_more(&mut self) -> io::Result<bool> {
        self.read_with(|stream, _| stream.try_read(&mut [0; SMALL_READ_SIZE])).await
    }

    /// Waits for input and reads once with `read`; false at the end of the peer's input.
    async fn read_with(
        &mut self,
        mut read: impl FnMut(&TcpStream, &mut BytesMut) -> io::Result<usize>,
    ) -> io::Result<bool> {
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            tokio::task::yield_now().await;
        }
        let mut shortage_retries = 0;
        loop {
            self.stream.readable().await?;
            let was_empty = self.read_buffer.is_empty();
            match read(&self.stream, &mut self.read_buffer) {
                Ok(read) => {
                    self.consecutive_reads += 1;
                    self.received += read as u64;
                    self.last_read_at = Instant::now();
                    if was_empty {
                        self.first_read_at = self.last_read_at;
                    }
                    return Ok(read > 0);
                }
                Err(error) => match recover(error, &mut shortage_retries).await? {
                    RetryCall::WhenReady => self.consecutive_reads = 0,
                    RetryCall::Now => {}
                },
            }
        }
    }

    /// Capacity of the read buffer during the next read, bytes. The buffer doubles up to `limit`, and then grows by what the
    /// read needs.
    pub fn capacity_for_read(&self, limit: usize) -> usize {
        let capacity = self.read_buffer.capacity();
        match self.read_buffer.len() + self.min_read_size {
            required if required <= capacity => capacity,
            required => required.max((capacity * 2).min(limit)),
        }
    }

    /// Lets the event loop poll the sockets once more, then reads what has arrived; `None` if nothing has.
    pub async fn read_arrived(&mut self) -> Option<io::Result<bool>> {
        tokio::task::yield_now().await;
        // `read_more` is cancel-safe.
        tokio::select! {
            biased;
            read = self.read_more() => Some(read),
            () = std::future::ready(()) => None,
        }
    }

    /// Frees the buffer if it is empty, before a wait.
    pub fn release_buffer(&mut self) {
        if self.read_buffer.is_empty() {
            self.discard_buffer();
        }
    }

    /// Frees the part of the buffer that is not used.
    pub fn shrink_buffer(&mut self) {
        self.read_buffer = BytesMut::from(&self.read_buffer[..]);
    }

    /// Frees the buffer and discards its content.
    pub fn discard_buffer(&mut self) {
        self.read_buffer = BytesMut::new();
    }

    /// Writes all of `parts` in gathered writes. After a partial write it tries again at once, as that does not imply that
    /// the socket would block.
    ///
    /// # Errors
    /// Errors of the socket that a retry does not resolve. A part may have been written.
    pub async fn write(&mut self, mut parts: impl Buf) -> io::Result<()> {
        let mut shortage_retries = 0;
        while parts.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); MAX_WRITE_SLICES];
            let filled = parts.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..filled]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    parts.advance(written);
                    shortage_retries = 0;
                }
                Err(error) => match recover(error, &mut shortage_retries).await? {
                    RetryCall::WhenReady => self.stream.writable().await?,
                    RetryCall::Now => {}
                },
            }
        }
        Ok(())
    }

    /// Writes one chunk of a chunked body.
    ///
    /// # Errors
    /// Those of [`BufferedConnection::write`].
    pub async fn write_chunk(&mut self, data: Bytes) -> io::Result<()> {
        let size = Bytes::from(format!("{:x}\r\n", data.len()));
        self.write(size.chain(data).chain(&b"\r\n"[..])).await
    }

    /// Whether an idle connection cannot carry another message: the peer has closed it or sent unsolicited data.
    pub fn is_unusable(&mut self) -> bool {
        let mut byte = [0u8; 1];
        let is_silent = matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        !is_silent || !self.read_buffer.is_empty()
    }
}
