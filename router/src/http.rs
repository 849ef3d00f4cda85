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
pub enum Bad {
    /// It breaks the protocol or is ambiguous: 400.
    Malformed,
    /// The body is too large: 413.
    LargeBody,
    /// The head is too large: 431.
    LargeHead,
    /// A transfer coding that is not served: 501.
    Coding,
}

/// The first line of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// Of a request: method and target.
    Request(Bytes, Bytes),
    /// Of an answer.
    Status(u16),
}

/// A head, its parts slices of what was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The first line.
    pub start: Start,
    /// The fields in their order.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Spoken in HTTP/1.1, not 1.0.
    pub current: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// Nothing says so: for an answer, when the connection ends.
    Unstated,
}

impl Head {
    /// Takes a whole request head off the front of `buf`, if there is one.
    pub fn request(buf: &mut BytesMut, limits: &Limits) -> Result<Option<Head>, Bad> {
        Head::take(buf, limits, true)
    }

    /// Takes a whole answer head off the front of `buf`, if there is one.
    pub fn answer(buf: &mut BytesMut, limits: &Limits) -> Result<Option<Head>, Bad> {
        Head::take(buf, limits, false)
    }

    fn take(buf: &mut BytesMut, limits: &Limits, request: bool) -> Result<Option<Head>, Bad> {
        let mut slots = vec![httparse::EMPTY_HEADER; limits.fields];
        // Places in `buf`, so that the fields can be cut out of it afterwards without a copy.
        let base = buf.as_ptr() as usize;
        let place = |part: &[u8]| (part.as_ptr() as usize - base, part.len());
        let bad = |e| match e {
            httparse::Error::TooManyHeaders => Bad::LargeHead,
            _ => Bad::Malformed,
        };
        let too_large = |n: usize| if n > limits.head { Err(Bad::LargeHead) } else { Ok(()) };
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
            Ok((method, target)) => Start::Request(cut(method), cut(target)),
            Err(code) => Start::Status(code),
        };
        Ok(Some(Head { start, fields, current: version == Some(1) }))
    }

    fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a Bytes> + use<'a, 'n> {
        self.fields.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The value of a field that may stand once; twice is an error.
    pub fn one(&self, name: &str) -> Result<Option<&Bytes>, Bad> {
        let mut values = self.all(name);
        match (values.next(), values.next()) {
            (value, None) => Ok(value),
            _ => Err(Bad::Malformed),
        }
    }

    /// The value of a field as text.
    pub fn text(&self, name: &str) -> Result<Option<&str>, Bad> {
        self.one(name)?.map(|v| std::str::from_utf8(v).map_err(|_| Bad::Malformed)).transpose()
    }

    fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .any(|v| v.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes())))
    }

    /// Whether the connection may carry another message after this one.
    pub fn keeps(&self) -> bool {
        match self.current {
            true => !self.lists("connection", "close"),
            false => self.lists("connection", "keep-alive"),
        }
    }

    /// Whether the client waits for a word before it sends the body.
    pub fn expects(&self) -> bool {
        self.lists("expect", "100-continue")
    }

    /// How the body ends. Two answers to that, or none that is clear, are an error: a neighbour who
    /// reads the other one would see another message.
    pub fn framing(&self) -> Result<Framing, Bad> {
        let length = self.one("content-length")?;
        let coding = self.one("transfer-encoding")?;
        match (length, coding) {
            (Some(_), Some(_)) => Err(Bad::Malformed),
            (None, None) => Ok(Framing::Unstated),
            (None, Some(_)) if !self.current => Err(Bad::Malformed),
            (None, Some(c)) if c.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
            (None, Some(_)) => Err(Bad::Coding),
            (Some(l), None) => {
                // Digits only: `parse` alone would take a sign.
                let digits = !l.is_empty() && l.iter().all(u8::is_ascii_digit);
                let text = std::str::from_utf8(l).ok().filter(|_| digits);
                text.and_then(|t| t.parse().ok()).map(Framing::Length).ok_or(Bad::Malformed)
            }
        }
    }
}

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes of it.
    Bytes(Bytes),
    /// Its end.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Size,
    Data(u64),
    AfterData,
    Trailer(usize),
    End,
}

/// Reads a body out of what has arrived.
#[derive(Debug, Clone)]
pub struct Body {
    framing: Framing,
    at: At,
    /// The largest chunk.
    most: u64,
    /// Chunks are told whole.
    whole: bool,
}

/// The longest line of a chunk's size or of a trailer.
const CHUNK_LINE: usize = 1024;
/// The most trailers.
const TRAILERS: usize = 32;

impl Body {
    /// The body of a message framed so, its chunks of so many bytes at most.
    pub fn new(framing: Framing, most: u64) -> Body {
        let at = match framing {
            Framing::Chunked => At::Size,
            Framing::Length(0) => At::End,
            Framing::Length(n) => At::Data(n),
            Framing::Unstated => At::Data(u64::MAX),
        };
        Body { framing, at, most, whole: false }
    }

    /// The body of a model node's answer. A chunk is told when it is whole and ends where its size says:
    /// of one that does not fit, no byte is passed on as if it were part of the answer.
    pub fn of_answer(framing: Framing, most: usize) -> Body {
        Body { whole: framing == Framing::Chunked, ..Body::new(framing, most as u64) }
    }

    /// The next part that is whole in `buf`; `None` if more has to be read first.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Part>, Bad> {
        loop {
            match self.at {
                At::End => return Ok(Some(Part::End)),
                At::Data(_) if buf.is_empty() => return Ok(None),
                At::Data(left) if self.whole => match buf.get(left as usize..) {
                    Some([b'\r', b'\n', ..]) => {
                        let data = buf.split_to(left as usize).freeze();
                        self.at = At::AfterData;
                        return Ok(Some(Part::Bytes(data)));
                    }
                    None | Some([] | [b'\r']) => return Ok(None),
                    Some(_) => return Err(Bad::Malformed),
                },
                At::Data(left) => {
                    let n = left.min(buf.len() as u64);
                    self.at = match (self.framing, left - n) {
                        (Framing::Chunked, 0) => At::AfterData,
                        (_, 0) => At::End,
                        (_, left) => At::Data(left),
                    };
                    return Ok(Some(Part::Bytes(buf.split_to(n as usize).freeze())));
                }
                At::AfterData => match &buf[..] {
                    [b'\r', b'\n', ..] => {
                        buf.advance(2);
                        self.at = At::Size;
                    }
                    [] | [b'\r'] => return Ok(None),
                    _ => return Err(Bad::Malformed),
                },
                At::Size => {
                    let Some(line) = line(buf)? else { return Ok(None) };
                    // An extension may follow a semicolon.
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
                    let hex = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
                    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
                    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
                    self.at = match size.ok_or(Bad::Malformed)? {
                        0 => At::Trailer(0),
                        // Guards against one that is said to go on for ever.
                        n if n > self.most => return Err(Bad::LargeBody),
                        n => At::Data(n),
                    };
                }
                At::Trailer(lines) => {
                    let Some(line) = line(buf)? else { return Ok(None) };
                    self.at = match lines {
                        _ if line.is_empty() => At::End,
                        TRAILERS.. => return Err(Bad::Malformed),
                        lines => At::Trailer(lines + 1),
                    };
                }
            }
        }
    }
}

fn line(buf: &mut BytesMut) -> Result<Option<Bytes>, Bad> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(end) if end > CHUNK_LINE || end == 0 || buf[end - 1] != b'\r' => Err(Bad::Malformed),
        Some(end) => {
            let mut line = buf.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line.freeze()))
        }
        None if buf.len() > CHUNK_LINE => Err(Bad::Malformed),
        None => Ok(None),
    }
}

/// A connection and what has been read from it beyond the last message.
#[derive(Debug)]
pub struct Wire {
    /// The connection.
    pub stream: TcpStream,
    /// What has arrived and is not used yet.
    pub buf: BytesMut,
    /// When the first byte of `buf` was read.
    first_read: Instant,
    /// When the last byte of `buf` was read.
    last_read: Instant,
    /// Reads since the task last gave way to others.
    reads: u8,
}

/// An error of a moment, for want of memory or buffers: tried again after this, so many times in a row at the most.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(1);
const SHORTAGES: u32 = 100;

/// What is to be done after an error of a read or write.
enum AfterError {
    /// Wait until the socket is ready.
    Wait,
    /// Try again.
    Again,
    /// Try again in a moment.
    Pause,
    /// Give the connection up.
    GiveUp,
}

impl AfterError {
    fn of(e: &io::Error, shortages: u32) -> AfterError {
        match e.kind() {
            io::ErrorKind::WouldBlock => AfterError::Wait,
            io::ErrorKind::Interrupted => AfterError::Again,
            _ if is_resource_shortage(e) && shortages < SHORTAGES => AfterError::Pause,
            _ => AfterError::GiveUp,
        }
    }
}

/// The most parts of a gathered write.
const SLICES: usize = 8;
/// What a read asks for at least.
const READ: usize = 8 << 10;
/// After so many reads a task gives way to others, however much there is to read: an event of another connection would
/// else wait for as many reads as the runtime allows, 128.
const READS_IN_TURN: u8 = 2;

impl Wire {
    /// A new connection. Small writes go out at once: events are small, and late is lost.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        Wire { stream, buf: BytesMut::new(), first_read: now, last_read: now, reads: 0 }
    }

    /// When the first byte of what has arrived and is not used yet was read.
    pub fn first_read(&self) -> Instant {
        self.first_read
    }

    /// A message has been taken off the front: whatever is left came with the last read, which completed the message.
    pub fn message_taken(&mut self) {
        self.first_read = self.last_read;
    }

    /// Reads more; false at the end of what the other side sends.
    pub async fn more(&mut self) -> io::Result<bool> {
        if self.reads >= READS_IN_TURN {
            self.reads = 0;
            tokio::task::yield_now().await;
        }
        let mut shortages = 0;
        loop {
            // Room is made when there is something to put there: most connections are idle most of the time.
            self.stream.readable().await?;
            let empty = self.buf.is_empty();
            self.buf.reserve(READ);
            let read = match self.stream.try_read_buf(&mut self.buf) {
                Ok(read) => read,
                Err(e) => {
                    match AfterError::of(&e, shortages) {
                        AfterError::Wait => self.reads = 0,
                        AfterError::Again => {}
                        AfterError::Pause => {
                            shortages += 1;
                            tokio::time::sleep(SHORTAGE_PAUSE).await;
                        }
                        AfterError::GiveUp => return Err(e),
                    }
                    continue;
                }
            };
            self.reads += 1;
            self.last_read = Instant::now();
            if empty {
                self.first_read = self.last_read;
            }
            return Ok(read > 0);
        }
    }

    /// Lets the event loop look at the sockets once more, then reads what has arrived; `None` if nothing has.
    pub async fn arrived(&mut self) -> Option<io::Result<bool>> {
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            read = self.more() => Some(read),
            () = std::future::ready(()) => None,
        }
    }

    /// Waits for the end of what the other side sends, whatever of it is not read yet: looks again after each `pause`, as
    /// bytes that are left unread would else wake it all the time.
    pub async fn ended(&self, pause: Duration) {
        while self.stream.ready(Interest::READABLE).await.is_ok_and(|r| !r.is_read_closed()) {
            tokio::time::sleep(pause).await;
        }
    }

    /// Lets the room go that the last message took, before a time of waiting.
    pub fn rest(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Writes a head and what follows it in gathered writes. Tried again for as long as the socket takes anything: a write
    /// that carries a part says nothing of whether it would take more.
    pub async fn write(&mut self, mut parts: impl Buf) -> io::Result<()> {
        let mut shortages = 0;
        while parts.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); SLICES];
            let filled = parts.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..filled]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    parts.advance(written);
                    shortages = 0;
                }
                Err(e) => match AfterError::of(&e, shortages) {
                    AfterError::Wait => self.stream.writable().await?,
                    AfterError::Again => {}
                    AfterError::Pause => {
                        shortages += 1;
                        tokio::time::sleep(SHORTAGE_PAUSE).await;
                    }
                    AfterError::GiveUp => return Err(e),
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
    pub fn spoilt(&mut self) -> bool {
        let mut byte = [0u8; 1];
        let silent =
            matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        !silent || !self.buf.is_empty()
    }
}

/// The reason phrase of a status.
pub fn reason(status: u16) -> &'static str {
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
