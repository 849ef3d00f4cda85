//! The router's state as its fronts answer it (`/up`, `/healthz`): where the health of the router is decided for balancers
//! (`crate::checks`), that; else whether clients may come.

use std::fmt;
use std::io;

use bytes::Bytes;
use tallypin_health::assessment::HealthState;

use super::{write, write_whole, FrontContext};
use crate::http::{reason_phrase, BufferedConnection};
use crate::lifecycle::Stage;

/// The state of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontHealth {
    /// It serves, at this weight in percent.
    Up(u8),
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is not to get clients.
    Down,
}

impl FrontHealth {
    /// The present state.
    pub fn of(context: &FrontContext) -> FrontHealth {
        match context.outward.told().map(|now| (now.state, now.weight)) {
            Some((HealthState::Up | HealthState::Degraded, weight)) => return FrontHealth::Up(weight),
            Some((HealthState::Draining, _)) => return FrontHealth::Draining,
            Some((HealthState::Maintenance | HealthState::Down, _)) => return FrontHealth::Down,
            None => {}
        }
        if context.lifecycle.stage() > Stage::Serving {
            return FrontHealth::Draining;
        }
        if context.replicas.ready_count() == 0 {
            return FrontHealth::Down;
        }
        let (most, used) = (context.limits.max_clients, context.clients.open());
        let free = 100 * most.saturating_sub(used) / most.max(1);
        FrontHealth::Up(free.clamp(1, 100) as u8)
    }
}

impl fmt::Display for FrontHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrontHealth::Up(percent) => write!(f, "up ready {percent}%"),
            FrontHealth::Draining => write!(f, "drain"),
            FrontHealth::Down => write!(f, "down"),
        }
    }
}

/// Answers a request for the state. In the answer to a HEAD request the body is left out, its length is not.
///
/// # Errors
/// If the answer cannot be written.
pub async fn answer(context: &FrontContext, wire: &mut BufferedConnection, bodiless: bool) -> io::Result<()> {
    let state = FrontHealth::of(context);
    let status = if matches!(state, FrontHealth::Up(_)) { 200 } else { 503 };
    let text = format!("{state}\n");
    let fields = "Content-Type: text/plain\r\n";
    if bodiless {
        let (why, length) = (reason_phrase(status), text.len());
        let head = format!("HTTP/1.1 {status} {why}\r\n{fields}Content-Length: {length}\r\n\r\n");
        return write(context, wire, Bytes::from(head)).await;
    }
    write_whole(context, wire, status, fields, Bytes::from(text)).await
}
