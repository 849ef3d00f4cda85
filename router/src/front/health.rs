//! The router's state as its fronts tell it (`/up`, `/healthz`). Where balancers check (`crate::checks`), these say
//! what they are told; on the platform, whether clients may come.

use std::fmt;
use std::io;

use bytes::Bytes;

use super::FrontContext;
use super::{write, write_whole};
use crate::http::{reason, Wire};
use crate::lifecycle::Stage;

/// The state of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontHealth {
    /// It serves, and wants so much weight, in percent.
    Up(u8),
    /// It finishes what it has.
    Draining,
    /// It is not to get clients.
    Down,
}

impl FrontHealth {
    /// The present state.
    pub fn of(context: &FrontContext) -> FrontHealth {
        use tallypin_health::state::State as Told;
        match context.outward.told().map(|now| (now.state, now.weight)) {
            Some((Told::Up | Told::Degraded, weight)) => return FrontHealth::Up(weight),
            Some((Told::Drain, _)) => return FrontHealth::Draining,
            Some((Told::Maint | Told::Down, _)) => return FrontHealth::Down,
            None => {}
        }
        if context.lifecycle.stage() > Stage::Serving {
            return FrontHealth::Draining;
        }
        if context.replicas.ready_count() == 0 {
            return FrontHealth::Down;
        }
        let (most, used) = (context.limits.clients, context.clients.open());
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

/// Answers a request for the state. To a HEAD request the body is left out, its length is not.
pub async fn answer(context: &FrontContext, wire: &mut Wire, bodiless: bool) -> io::Result<()> {
    let state = FrontHealth::of(context);
    let status = if matches!(state, FrontHealth::Up(_)) { 200 } else { 503 };
    let text = format!("{state}\n");
    let fields = "Content-Type: text/plain\r\n";
    if bodiless {
        let (why, length) = (reason(status), text.len());
        let head = format!("HTTP/1.1 {status} {why}\r\n{fields}Content-Length: {length}\r\n\r\n");
        return write(context, wire, Bytes::from(head)).await;
    }
    write_whole(context, wire, status, fields, Bytes::from(text)).await
}
