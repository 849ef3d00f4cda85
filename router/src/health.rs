//! What balancers in front ask: whether this router is to get clients, and how many. Told as it is.

use std::fmt;
use std::io;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;

use crate::front::{linger, write, write_whole};
use crate::host::Host;
use crate::http::{reason, Wire};
use crate::shutdown::Stage;

/// The longest that a slow or failing check may take.
const PAUSE: Duration = Duration::from_millis(100);

/// The state of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It serves, and so much of its room for clients is free, in percent (at least 1).
    Up(u8),
    /// It finishes what it has.
    Drain,
    /// It knows no model node that takes work.
    Down,
}

impl State {
    /// The present state.
    pub fn of(host: &Host) -> State {
        if host.drain.stage() > Stage::Serving {
            return State::Drain;
        }
        if host.nodes.ready() == 0 {
            return State::Down;
        }
        let (most, used) = (host.limits.clients, host.clients.open());
        let free = 100 * most.saturating_sub(used) / most.max(1);
        State::Up(free.clamp(1, 100) as u8)
    }
}

/// The state in the words of an agent check.
impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            State::Up(percent) => write!(f, "up ready {percent}%"),
            State::Drain => write!(f, "drain"),
            State::Down => write!(f, "down"),
        }
    }
}

/// Answers a request for the state. To a HEAD request the body is left out, its length is not.
pub async fn answer(host: &Host, wire: &mut Wire, bodiless: bool) -> io::Result<()> {
    let state = State::of(host);
    let status = if matches!(state, State::Up(_)) { 200 } else { 503 };
    let text = format!("{state}\n");
    let fields = "Content-Type: text/plain\r\n";
    if bodiless {
        let (why, length) = (reason(status), text.len());
        let head = format!("HTTP/1.1 {status} {why}\r\n{fields}Content-Length: {length}\r\n\r\n");
        return write(host, wire, Bytes::from(head)).await;
    }
    write_whole(host, wire, status, fields, Bytes::from(text)).await
}

/// Answers agent checks: one line to each connection, which then closes. `ready` takes back an earlier
/// `drain`, as a balancer keeps that until told otherwise. Ends never.
pub async fn agent(host: Rc<Host>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        // Answered in turn: a balancer asks every few seconds, and none can hold up the next for long.
        let line = format!("{}\n", State::of(&host));
        let mut wire = Wire::new(stream);
        // What the balancer may have sent is read before the close, which would else reset the line away.
        let told = async {
            let _ = wire.write(Bytes::from(line)).await;
            linger(wire).await;
        };
        let _ = tokio::time::timeout(PAUSE, told).await;
    }
}
