//! HTTP/1.1 as far as clients and replicas of a trial need it.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection, and what has arrived on it.
pub struct Wire {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

/// The head of a message.
pub struct Head(String);

impl Head {
    /// The first line.
    pub fn start(&self) -> &str {
        self.0.lines().next().unwrap_or_default()
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.0.lines().skip(1).filter_map(|l| l.split_once(':'));
        fields.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buf: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads more; an error at the end too.
    pub async fn more(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buf).await? {
            0 => Err(ended()),
            _ => Ok(()),
        }
    }

    pub async fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let rest = self.buf.split_off(end + 4);
                let head = std::mem::replace(&mut self.buf, rest);
                return String::from_utf8(head).map(Head).map_err(io::Error::other);
            }
            self.more().await?;
        }
    }

    /// Takes so many bytes.
    pub async fn take(&mut self, n: usize) -> io::Result<()> {
        while self.buf.len() < n {
            self.more().await?;
        }
        self.buf.drain(..n);
        Ok(())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.more().await?;
        }
    }

    /// Reads the body of a message to its end.
    pub async fn body(&mut self, head: &Head) -> io::Result<()> {
        if head.field("transfer-encoding").is_none() {
            let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            return self.take(length).await;
        }
        loop {
            let line = self.line().await?;
            let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
            self.take(size + 2).await?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}
