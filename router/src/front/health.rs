//! The health that the fronts report at `/up` and `/healthz`: the assessment made for balancers (`crate::checks`) if there is
//! one, and otherwise a state derived from the shutdown stage, the ready replicas and the open connections.

use std::fmt;
use std::io;

use bytes::Bytes;
use tallypin_health::assessment::HealthState;

use super::{write, write_response, ClientConnection, FrontContext};
use crate::http::reason_phrase;
use crate::lifecycle::Stage;

/// The health of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontHealth {
    /// The router accepts requests; with its weight in percent.
    Up(u8),
    /// The router finishes requests in flight and accepts no new ones.
    Draining,
    /// The router must not receive clients.
    Down,
}

impl FrontHealth {
    /// The current health of the router.
    pub fn current(context: &FrontContext) -> FrontHealth {
        match context.balancer_interface.assessment().map(|assessment| (assessment.state, assessment.weight))
        {
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
        let (max_clients, open) = (context.limits.max_clients, context.clients.open());
        let free_percent = 100 * max_clients.saturating_sub(open) / max_clients.max(1);
        FrontHealth::Up(free_percent.clamp(1, 100) as u8)
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

/// Answers a health request. The response to HEAD has no body, but its Content-Length.
///
/// # Errors
/// If the response cannot be written.
pub async fn answer(
    context: &FrontContext,
    connection: &mut ClientConnection,
    is_head: bool,
) -> io::Result<()> {
    let health = FrontHealth::current(context);
    let status = if matches!(health, FrontHealth::Up(_)) { 200 } else { 503 };
    let text = format!("{health}\n");
    let fields = "Content-Type: text/plain\r\n";
    if is_head {
        let (reason, length) = (reason_phrase(status), text.len());
        let head = format!("HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {length}\r\n\r\n");
        return write(context, connection, Bytes::from(head)).await;
    }
    write_response(context, connection, status, fields, Bytes::from(text)).await
}
