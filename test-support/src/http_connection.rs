//! The subset of HTTP/1.1 that the clients and mock replicas need.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection and the bytes buffered from it.
pub struct HttpConnection {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

/// The head of a message, as text.
pub struct Head(String);

impl Head {
    /// Returns the start line.
    pub fn start(&self) -> &str {
        self.0.lines().next().unwrap_or_default()
    }

    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.0.lines().skip(1).filter_map(|l| l.split_once(':'));
        fields.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }

    /// Returns the status code of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unexpected_eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl HttpConnection {
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buf: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads more bytes into the buffer; the end of the connection is an error.
    pub async fn read_more(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buf).await? {
            0 => Err(unexpected_eof()),
            _ => Ok(()),
        }
    }

    pub async fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let rest = self.buf.split_off(end + 4);
                let head = std::mem::replace(&mut self.buf, rest);
                return String::from_utf8(head).map(Head).map_err(io::Error::other);
            }
            self.read_more().await?;
        }
    }

    /// Reads and discards `n` bytes.
    pub async fn skip(&mut self, n: usize) -> io::Result<()> {
        while self.buf.len() < n {
            self.read_more().await?;
        }
        self.buf.drain(..n);
        Ok(())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.read_more().await?;
        }
    }

    /// Reads and discards the body of a message.
    pub async fn skip_body(&mut self, head: &Head) -> io::Result<()> {
        if head.field("transfer-encoding").is_none() {
            let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            return self.skip(length).await;
        }
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
            self.skip(size + 2).await?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}
