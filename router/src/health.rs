//! What balancers in front ask: whether this router is to get clients, and how many. Told as it is.

use std::fmt;
use std::io;

use bytes::Bytes;

use crate::front::{write_whole, Incoming};
use crate::host::Host;
use crate::http::Wire;
use crate::shutdown::Stage;

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
        let (most, used) = (host.limits.clients, host.clients.get());
        let free = 100 * most.saturating_sub(used) / most.max(1);
        State::Up(free.clamp(1, 100) as u8)
    }
}

/// The state in the words of an agent check.
impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            State::Up(percent) => write!(f, "up {percent}%"),
            State::Drain => write!(f, "drain"),
            State::Down => write!(f, "down"),
        }
    }
}

/// Whether a request asks for the state.
pub fn asks(request: &Incoming) -> bool {
    matches!(&request.method[..], b"GET" | b"HEAD") && matches!(request.path(), b"/up" | b"/healthz")
}

/// Answers such a request.
pub async fn answer(host: &Host, wire: &mut Wire) -> io::Result<()> {
    let state = State::of(host);
    let status = if matches!(state, State::Up(_)) { 200 } else { 503 };
    write_whole(host, wire, status, "Content-Type: text/plain\r\n", Bytes::from(format!("{state}\n"))).await
}
