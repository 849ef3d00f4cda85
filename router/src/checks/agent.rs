//! HAProxy agent checks: the router sends one line on each connection and closes it.

use std::time::Duration;

use bytes::Bytes;
use tallypin_health::agent_check::{parse_request, AgentReply, AgentRequest};
use tallypin_health::checkers::CheckProtocol;
use tokio::time::{timeout, timeout_at, Instant};

use super::listen::CheckConnection;
use crate::front::close_gracefully;

/// Answers the agent check of one connection.
pub async fn answer(mut conn: CheckConnection) {
    let deadline = Instant::now() + conn.time_limit();
    let (wait, maxconn) = conn
        .health_monitor
        .check_setting(|c| c.agent.map(|a| (a.request_wait, a.maxconn)))
        .flatten()
        .unwrap_or((Duration::ZERO, false));
    let mut idle = conn.mark_idle();
    let service = tokio::select! {
        biased;
        line = timeout(wait, read_request(&mut conn)), if !wait.is_zero() => line.unwrap_or(AgentRequest::Incomplete),
        // The connection must make room for another one: the check is answered without waiting for the service name.
        () = idle.close_requested() => AgentRequest::Incomplete,
        () = std::future::ready(()), if wait.is_zero() => AgentRequest::Incomplete,
    };
    let says = match service {
        // A balancer that sends no service name checks the router as a whole.
        AgentRequest::Incomplete => None,
        AgentRequest::Service(name) if name.is_empty() || conn.health_monitor.services().contains(&name) => {
            None
        }
        AgentRequest::Service(name) => Some(AgentReply::unknown_service(&name)),
        AgentRequest::Invalid => Some(AgentReply::unknown_service("of that name")),
    };
    let is_known = says.is_none();
    let says = says.unwrap_or_else(|| {
        let assessment = conn.health_monitor.assessment();
        let limit = conn.context.limits.max_clients * usize::from(assessment.weight) / 100;
        AgentReply::from_assessment(
            &assessment,
            maxconn.then(|| u32::try_from(limit.max(1)).unwrap_or(u32::MAX)),
        )
    });
    let line = Bytes::from(format!("{says}\n"));
    let sent = timeout_at(deadline, conn.wire.write(line)).await;
    if is_known && matches!(sent, Ok(Ok(()))) {
        conn.health_monitor.record_check(conn.ip, CheckProtocol::Agent);
    } else {
        conn.health_monitor.record_invalid_check();
    }
    tracing::debug!(target: "checks", client = %conn.ip, %says, "agent check answered");
    // Data that the balancer may have sent is read before the close: unread data would reset the connection and lose the
    // reply. The connection counts as idle while it lingers, so it can make room for another one.
    tokio::select! {
        _ = timeout_at(deadline, close_gracefully(conn.wire, conn.context.limits.close_linger)) => {}
        () = idle.close_requested() => {}
    }
}

/// Reads the line that the balancer may send first.
async fn read_request(conn: &mut CheckConnection) -> AgentRequest {
    loop {
        match parse_request(&conn.wire.read_buffer) {
            AgentRequest::Incomplete => {}
            line => return line,
        }
        if !matches!(conn.wire.read_more().await, Ok(true)) {
            // Some balancers close their sending side without a line end: the bytes received so far are the line.
            conn.wire.read_buffer.extend_from_slice(b"\n");
            return parse_request(&conn.wire.read_buffer);
        }
    }
}
