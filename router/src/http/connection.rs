//! A TCP connection with its read buffer: reads that yield to other tasks, gathered writes, and retries when the system is
//! short of memory or buffers.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
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

impl BufferedConnection {
    /// A new connection, with Nagle's algorithm disabled: events are small and must be sent at once.
    pub fn new(stream: TcpStream) -> BufferedConnection {
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        BufferedConnection {
            stream,
            read_buffer: BytesMut::new(),
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
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            tokio::task::yield_now().await;
        }
        let mut shortage_retries = 0;
        loop {
            // The buffer is allocated only when input is ready: most connections are idle most of the time.
            self.stream.readable().await?;
            let was_empty = self.read_buffer.is_empty();
            self.read_buffer.reserve(MIN_READ_SIZE);
            match self.stream.try_read_buf(&mut self.read_buffer) {
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
            self.read_buffer = BytesMut::new();
        }
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
