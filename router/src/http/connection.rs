//! A TCP connection with its read buffer: reads that give way to other tasks, gathered writes, and what is done when the
//! system is short of memory or buffers.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::shortage::is_resource_shortage;

/// The pause before a call is tried again that failed for want of memory or buffers: such a shortage is over within
/// milliseconds, or not at all.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(1);
/// The most such pauses in a row; then the connection is given up, after about 0.1 s.
const MAX_SHORTAGES: u32 = 100;
/// The most parts of one gathered write: a head, a chunk and its framing have fewer.
const MAX_WRITE_PARTS: usize = 8;
/// Bytes that a read asks for at least: more than most heads and events.
const MIN_READ_SIZE: usize = 8 << 10;
/// After this many reads a task gives way to others, however much there is to read: an event of another connection would
/// else wait for as many reads as the runtime allows, 128.
const MAX_READS_IN_TURN: u8 = 2;

/// A connection and what has been read from it and is not used yet.
#[derive(Debug)]
pub struct BufferedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// What has arrived and is not used yet.
    pub unread: BytesMut,
    /// When the first byte of `unread` was read.
    first_read_at: Instant,
    /// When the last byte of `unread` was read.
    last_read_at: Instant,
    /// Reads since the task last gave way to others.
    reads_in_turn: u8,
}

/// When a call that failed for the moment is to be tried again.
enum RetryCall {
    Now,
    WhenReady,
}

/// Decides what follows from the error of a read or write, and pauses if the system is short of something.
/// `shortages` counts the pauses in a row.
///
/// # Errors
/// `error` itself if a further call would not help.
async fn recover(error: io::Error, shortages: &mut u32) -> io::Result<RetryCall> {
    match error.kind() {
        io::ErrorKind::WouldBlock => Ok(RetryCall::WhenReady),
        io::ErrorKind::Interrupted => Ok(RetryCall::Now),
        _ if is_resource_shortage(&error) && *shortages < MAX_SHORTAGES => {
            *shortages += 1;
            tokio::time::sleep(SHORTAGE_PAUSE).await;
            Ok(RetryCall::Now)
        }
        _ => Err(error),
    }
}

impl BufferedConnection {
    /// A new connection, with Nagle's algorithm off: events are small and must go out at once.
    pub fn new(stream: TcpStream) -> BufferedConnection {
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        BufferedConnection {
            stream,
            unread: BytesMut::new(),
            first_read_at: now,
            last_read_at: now,
            reads_in_turn: 0,
        }
    }

    /// When the first byte of what has arrived and is not used yet was read.
    pub fn first_read_at(&self) -> Instant {
        self.first_read_at
    }

    /// Notes that a message has been taken off the front: whatever is left came with the last read, which completed it.
    pub fn message_taken(&mut self) {
        self.first_read_at = self.last_read_at;
    }

    /// Reads more into `unread`; false at the end of what the peer sends.
    ///
    /// Cancel-safe: bytes are read and kept without a wait in between.
    ///
    /// # Errors
    /// Those of the socket, but for ones that a further try mends.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        if self.reads_in_turn >= MAX_READS_IN_TURN {
            self.reads_in_turn = 0;
            tokio::task::yield_now().await;
        }
        let mut shortages = 0;
        loop {
            // The buffer grows when there is something to put there: most connections are idle most of the time.
            self.stream.readable().await?;
            let was_empty = self.unread.is_empty();
            self.unread.reserve(MIN_READ_SIZE);
            match self.stream.try_read_buf(&mut self.unread) {
                Ok(read) => {
                    self.reads_in_turn += 1;
                    self.last_read_at = Instant::now();
                    if was_empty {
                        self.first_read_at = self.last_read_at;
                    }
                    return Ok(read > 0);
                }
                Err(error) => match recover(error, &mut shortages).await? {
                    RetryCall::WhenReady => self.reads_in_turn = 0,
                    RetryCall::Now => {}
                },
            }
        }
    }

    /// Lets the event loop look at the sockets once more, then reads what has arrived; `None` if nothing has.
    pub async fn read_arrived(&mut self) -> Option<io::Result<bool>> {
        tokio::task::yield_now().await;
        // Cancelling `read_more` loses nothing.
        tokio::select! {
            biased;
            read = self.read_more() => Some(read),
            () = std::future::ready(()) => None,
        }
    }

    /// Waits until the peer has closed its side, even if bytes before that are not read yet. It looks again after each
    /// `pause`, as unread bytes would else wake it all the time.
    pub async fn wait_until_closed(&self, pause: Duration) {
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            tokio::time::sleep(pause).await;
        }
    }

    /// Frees the buffer that the last message took, before a time of waiting.
    pub fn release_buffer(&mut self) {
        if self.unread.is_empty() {
            self.unread = BytesMut::new();
        }
    }

    /// Writes all of `parts` in gathered writes. It writes until the socket takes no more: a write that took a part of the
    /// bytes does not say whether the next would block.
    ///
    /// # Errors
    /// Those of the socket, but for ones that a further try mends. A part may have been written.
    pub async fn write(&mut self, mut parts: impl Buf) -> io::Result<()> {
        let mut shortages = 0;
        while parts.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); MAX_WRITE_PARTS];
            let filled = parts.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..filled]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    parts.advance(written);
                    shortages = 0;
                }
                Err(error) => match recover(error, &mut shortages).await? {
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
    /// As of [`BufferedConnection::write`].
    pub async fn write_chunk(&mut self, data: Bytes) -> io::Result<()> {
        let size = Bytes::from(format!("{:x}\r\n", data.len()));
        self.write(size.chain(data).chain(&b"\r\n"[..])).await
    }

    /// Whether an idle connection cannot carry another message: the peer has closed it or sent something unasked.
    pub fn is_unusable(&mut self) -> bool {
        let mut byte = [0u8; 1];
        let is_silent = matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        !is_silent || !self.unread.is_empty()
    }
}
