//! HTTP/1.1 as the router needs it: heads parsed where they were read, bodies by length or in chunks,
//! answers written in one gathered write. Whatever is ambiguous is refused, never guessed.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::limits::Limits;
use crate::shortage::is_resource_shortage;

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// It breaks the protocol or is ambiguous: 400.
    Malformed,
    /// The body is too large: 413.
    BodyTooLarge,
    /// The head is too large: 431.
    HeadTooLarge,
    /// A transfer coding that is not served: 501.
    UnsupportedCoding,
}

/// The first line of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// Of a request: method and target.
    Request(Bytes, Bytes),
    /// Of an answer.
    Status(u16),
}

/// A head, its parts slices of what was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageHead {
    /// The first line.
    pub start_line: StartLine,
    /// The fields in their order.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Spoken in HTTP/1.1, not 1.0.
    pub is_http_11: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// Nothing says so: for an answer, when the connection ends.
    Undeclared,
}

impl MessageHead {
    /// Takes a whole request head off the front of `buf`, if there is one.
    pub fn parse_request(buf: &mut BytesMut, limits: &Limits) -> Result<Option<MessageHead>, HttpError> {
        MessageHead::parse(buf, limits, true)
    }

    /// Takes a whole answer head off the front of `buf`, if there is one.
    pub fn parse_response(buf: &mut BytesMut, limits: &Limits) -> Result<Option<MessageHead>, HttpError> {
        MessageHead::parse(buf, limits, false)
    }

    fn parse(buf: &mut BytesMut, limits: &Limits, request: bool) -> Result<Option<MessageHead>, HttpError> {
        let mut slots = vec![httparse::EMPTY_HEADER; limits.max_fields];
        // Places in `buf`, so that the fields can be cut out of it afterwards without a copy.
        let base = buf.as_ptr() as usize;
        let place = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
        let bad = |e| match e {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
            _ => HttpError::Malformed,
        };
        let too_large =
            |n: usize| if n > limits.max_head_size { Err(HttpError::HeadTooLarge) } else { Ok(()) };
        let (length, start, version, fields) = if request {
            let mut parsed = httparse::Request::new(&mut slots);
            let httparse::Status::Complete(length) = parsed.parse(buf).map_err(bad)? else {
                return too_large(buf.len()).map(|()| None);
            };
            let part = |s: Option<&str>| place(s.unwrap_or_default().as_bytes());
            ((length), Ok((part(parsed.method), part(parsed.path))), parsed.version, parsed.headers)
        } else {
            let mut parsed = httparse::Response::new(&mut slots);
            let httparse::Status::Complete(length) = parsed.parse(buf).map_err(bad)? else {
                return too_large(buf.len()).map(|()| None);
            };
            (length, Err(parsed.code.unwrap_or_default()), parsed.version, parsed.headers)
        };
        too_large(length)?;
        let places: Vec<_> = fields.iter().map(|f| (place(f.name.as_bytes()), place(f.value))).collect();
        let whole = buf.split_to(length).freeze();
        let cut = |(at, len): (usize, usize)| whole.slice(at..at + len);
        let fields = places.into_iter().map(|(name, value)| (cut(name), cut(value))).collect();
        let start = match start {
            Ok((method, target)) => StartLine::Request(cut(method), cut(target)),
            Err(code) => StartLine::Status(code),
        };
        Ok(Some(MessageHead { start_line: start, fields, is_http_11: version == Some(1) }))
    }

    fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a Bytes> + use<'a, 'n> {
        self.fields.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The value of a field that may stand once; twice is an error.
    pub fn single_value(&self, name: &str) -> Result<Option<&Bytes>, HttpError> {
        let mut values = self.values(name);
        match (values.next(), values.next()) {
            (value, None) => Ok(value),
            _ => Err(HttpError::Malformed),
        }
    }

    /// The value of a field as text.
    pub fn text_value(&self, name: &str) -> Result<Option<&str>, HttpError> {
        self.single_value(name)?.map(|v| std::str::from_utf8(v).map_err(|_| HttpError::Malformed)).transpose()
    }

    fn contains_token(&self, name: &str, word: &str) -> bool {
        self.values(name)
            .any(|v| v.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes())))
    }

    /// Whether the connection may carry another message after this one.
    pub fn keeps_alive(&self) -> bool {
        match self.is_http_11 {
            true => !self.contains_token("connection", "close"),
            false => self.contains_token("connection", "keep-alive"),
        }
    }

    /// Whether the client waits for a word before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.contains_token("expect", "100-continue")
    }

    /// How the body ends. Two answers to that, or none that is clear, are an error: a neighbour who
    /// reads the other one would see another message.
    pub fn framing(&self) -> Result<BodyFraming, HttpError> {
        let length = self.single_value("content-length")?;
        let coding = self.single_value("transfer-encoding")?;
        match (length, coding) {
            (Some(_), Some(_)) => Err(HttpError::Malformed),
            (None, None) => Ok(BodyFraming::Undeclared),
            (None, Some(_)) if !self.is_http_11 => Err(HttpError::Malformed),
            (None, Some(c)) if c.eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
            (None, Some(_)) => Err(HttpError::UnsupportedCoding),
            (Some(l), None) => {
                // Digits only: `parse` alone would take a sign.
                let digits = !l.is_empty() && l.iter().all(u8::is_ascii_digit);
                let text = std::str::from_utf8(l).ok().filter(|_| digits);
                text.and_then(|t| t.parse().ok()).map(BodyFraming::Length).ok_or(HttpError::Malformed)
            }
        }
    }
}

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of it.
    Data(Bytes),
    /// Its end.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPosition {
    Size,
    Data(u64),
    AfterData,
    Trailer(usize),
    End,
}

/// Reads a body out of what has arrived.
#[derive(Debug, Clone)]
pub struct BodyReader {
    framing: BodyFraming,
    position: BodyPosition,
    /// The largest chunk.
    max_chunk_size: u64,
    /// Chunks are told whole.
    only_complete_chunks: bool,
}

/// The longest line of a chunk's size or of a trailer.
const MAX_CHUNK_LINE_SIZE: usize = 1024;
/// The most trailers.
const MAX_TRAILERS: usize = 32;

impl BodyReader {
    /// The body of a message framed so, its chunks of so many bytes at most.
    pub fn new(framing: BodyFraming, max_chunk_size: u64) -> BodyReader {
        let position = match framing {
            BodyFraming::Chunked => BodyPosition::Size,
            BodyFraming::Length(0) => BodyPosition::End,
            BodyFraming::Length(n) => BodyPosition::Data(n),
            BodyFraming::Undeclared => BodyPosition::Data(u64::MAX),
        };
        BodyReader { framing, position, max_chunk_size, only_complete_chunks: false }
    }

    /// The body of a model node's answer. A chunk is told when it is whole and ends where its size says:
    /// of one that does not fit, no byte is passed on as if it were part of the answer.
    pub fn for_response(framing: BodyFraming, max_chunk_size: usize) -> BodyReader {
        BodyReader {
            only_complete_chunks: framing == BodyFraming::Chunked,
            ..BodyReader::new(framing, max_chunk_size as u64)
        }
    }

    /// The next part that is whole in `buf`; `None` if more has to be read first.
    pub fn next_part(&mut self, buf: &mut BytesMut) -> Result<Option<BodyPart>, HttpError> {
        loop {
            match self.position {
                BodyPosition::End => return Ok(Some(BodyPart::End)),
                BodyPosition::Data(_) if buf.is_empty() => return Ok(None),
                BodyPosition::Data(left) if self.only_complete_chunks => match buf.get(left as usize..) {
                    Some([b'\r', b'\n', ..]) => {
                        let data = buf.split_to(left as usize).freeze();
                        self.position = BodyPosition::AfterData;
                        return Ok(Some(BodyPart::Data(data)));
                    }
                    None | Some([] | [b'\r']) => return Ok(None),
                    Some(_) => return Err(HttpError::Malformed),
                },
                BodyPosition::Data(left) => {
                    let n = left.min(buf.len() as u64);
                    self.position = match (self.framing, left - n) {
                        (BodyFraming::Chunked, 0) => BodyPosition::AfterData,
                        (_, 0) => BodyPosition::End,
                        (_, left) => BodyPosition::Data(left),
                    };
                    return Ok(Some(BodyPart::Data(buf.split_to(n as usize).freeze())));
                }
                BodyPosition::AfterData => match &buf[..] {
                    [b'\r', b'\n', ..] => {
                        buf.advance(2);
                        self.position = BodyPosition::Size;
                    }
                    [] | [b'\r'] => return Ok(None),
                    _ => return Err(HttpError::Malformed),
                },
                BodyPosition::Size => {
                    let Some(line) = take_line(buf)? else { return Ok(None) };
                    // An extension may follow a semicolon.
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
                    let hex = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
                    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
                    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
                    self.position = match size.ok_or(HttpError::Malformed)? {
                        0 => BodyPosition::Trailer(0),
                        // Guards against one that is said to go on for ever.
                        n if n > self.max_chunk_size => return Err(HttpError::BodyTooLarge),
                        n => BodyPosition::Data(n),
                    };
                }
                BodyPosition::Trailer(lines) => {
                    let Some(line) = take_line(buf)? else { return Ok(None) };
                    self.position = match lines {
                        _ if line.is_empty() => BodyPosition::End,
                        MAX_TRAILERS.. => return Err(HttpError::Malformed),
                        lines => BodyPosition::Trailer(lines + 1),
                    };
                }
            }
        }
    }
}

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(end) if end > MAX_CHUNK_LINE_SIZE || end == 0 || buf[end - 1] != b'\r' => {
            Err(HttpError::Malformed)
        }
        Some(end) => {
            let mut line = buf.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line.freeze()))
        }
        None if buf.len() > MAX_CHUNK_LINE_SIZE => Err(HttpError::Malformed),
        None => Ok(None),
    }
}

/// A connection and what has been read from it beyond the last message.
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

/// An error of a moment, for want of memory or buffers: tried again after this, so many times in a row at the most.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(1);
const MAX_SHORTAGES: u32 = 100;

/// What is to be done after an error of a read or write.
enum IoRecovery {
    /// Wait until the socket is ready.
    Wait,
    /// Try again.
    Retry,
    /// Try again in a moment.
    Pause,
    /// Give the connection up.
    Fail,
}

impl IoRecovery {
    fn after(error: &io::Error, shortages: u32) -> IoRecovery {
        match error.kind() {
            io::ErrorKind::WouldBlock => IoRecovery::Wait,
            io::ErrorKind::Interrupted => IoRecovery::Retry,
            _ if is_resource_shortage(error) && shortages < MAX_SHORTAGES => IoRecovery::Pause,
            _ => IoRecovery::Fail,
        }
    }
}

/// The most parts of a gathered write.
const MAX_WRITE_PARTS: usize = 8;
/// What a read asks for at least.
const MIN_READ_SIZE: usize = 8 << 10;
/// After so many reads a task gives way to others, however much there is to read: an event of another connection would
/// else wait for as many reads as the runtime allows, 128.
const MAX_READS_IN_TURN: u8 = 2;

impl BufferedConnection {
    /// A new connection. Small writes go out at once: events are small, and late is lost.
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

    /// A message has been taken off the front: whatever is left came with the last read, which completed the message.
    pub fn message_taken(&mut self) {
        self.first_read_at = self.last_read_at;
    }

    /// Reads more; false at the end of what the other side sends.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        if self.reads_in_turn >= MAX_READS_IN_TURN {
            self.reads_in_turn = 0;
            tokio::task::yield_now().await;
        }
        let mut shortages = 0;
        loop {
            // Room is made when there is something to put there: most connections are idle most of the time.
            self.stream.readable().await?;
            let empty = self.unread.is_empty();
            self.unread.reserve(MIN_READ_SIZE);
            let read = match self.stream.try_read_buf(&mut self.unread) {
                Ok(read) => read,
                Err(e) => {
                    match IoRecovery::after(&e, shortages) {
                        IoRecovery::Wait => self.reads_in_turn = 0,
                        IoRecovery::Retry => {}
                        IoRecovery::Pause => {
                            shortages += 1;
                            tokio::time::sleep(SHORTAGE_PAUSE).await;
                        }
                        IoRecovery::Fail => return Err(e),
                    }
                    continue;
                }
            };
            self.reads_in_turn += 1;
            self.last_read_at = Instant::now();
            if empty {
                self.first_read_at = self.last_read_at;
            }
            return Ok(read > 0);
        }
    }

    /// Lets the event loop look at the sockets once more, then reads what has arrived; `None` if nothing has.
    pub async fn read_arrived(&mut self) -> Option<io::Result<bool>> {
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            read = self.read_more() => Some(read),
            () = std::future::ready(()) => None,
        }
    }

    /// Waits for the end of what the other side sends, whatever of it is not read yet: looks again after each `pause`, as
    /// bytes that are left unread would else wake it all the time.
    pub async fn wait_until_closed(&self, pause: Duration) {
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|r| !r.is_read_closed()) {
            tokio::time::sleep(pause).await;
        }
    }

    /// Lets the room go that the last message took, before a time of waiting.
    pub fn release_buffer(&mut self) {
        if self.unread.is_empty() {
            self.unread = BytesMut::new();
        }
    }

    /// Writes a head and what follows it in gathered writes. Tried again for as long as the socket takes anything: a write
    /// that carries a part says nothing of whether it would take more.
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
                Err(e) => match IoRecovery::after(&e, shortages) {
                    IoRecovery::Wait => self.stream.writable().await?,
                    IoRecovery::Retry => {}
                    IoRecovery::Pause => {
                        shortages += 1;
                        tokio::time::sleep(SHORTAGE_PAUSE).await;
                    }
                    IoRecovery::Fail => return Err(e),
                },
            }
        }
        Ok(())
    }

    /// Writes one chunk.
    pub async fn write_chunk(&mut self, data: Bytes) -> io::Result<()> {
        let size = Bytes::from(format!("{:x}\r\n", data.len()));
        self.write(size.chain(data).chain(&b"\r\n"[..])).await
    }

    /// Whether the other side has closed, or said something unasked: the connection is of no more use.
    pub fn is_unusable(&mut self) -> bool {
        let mut byte = [0u8; 1];
        let silent =
            matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        !silent || !self.unread.is_empty()
    }
}

/// The reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        529 => "Overloaded",
        _ => "Other",
    }
}
