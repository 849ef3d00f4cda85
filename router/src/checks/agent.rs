//! Agent checks: one line to each connection, which then closes.

use std::time::Duration;

use bytes::Bytes;
use tallypin_health::agent_check::{parse_request, AgentReply, AgentRequest};
use tallypin_health::checkers::CheckProtocol;
use tokio::time::{timeout, timeout_at, Instant};

use super::listen::Call;
use crate::front::linger;

/// Answers one check.
pub async fn answer(mut call: Call) {
    let by = Instant::now() + call.budget();
    let (wait, maxconn) = call
        .board
        .of_checks(|c| c.agent.map(|a| (a.send_wait, a.maxconn)))
        .flatten()
        .unwrap_or((Duration::ZERO, false));
    let mut idle = call.rest();
    let service = tokio::select! {
        biased;
        line = timeout(wait, first_line(&mut call)), if !wait.is_zero() => line.unwrap_or(AgentRequest::Incomplete),
        // Its place is wanted: what it has not said by now it need not say.
        () = idle.close_requested() => AgentRequest::Incomplete,
        () = std::future::ready(()), if wait.is_zero() => AgentRequest::Incomplete,
    };
    let says = match service {
        // A balancer that sends nothing asks about the router.
        AgentRequest::Incomplete => None,
        AgentRequest::Service(name) if name.is_empty() || call.board.services().contains(&name) => None,
        AgentRequest::Service(name) => Some(AgentReply::unknown_service(&name)),
        AgentRequest::Invalid => Some(AgentReply::unknown_service("of that name")),
    };
    let known = says.is_none();
    let says = says.unwrap_or_else(|| {
        let now = call.board.assessment();
        let room = call.context.limits.max_clients * usize::from(now.weight) / 100;
        AgentReply::from_assessment(&now, maxconn.then(|| u32::try_from(room.max(1)).unwrap_or(u32::MAX)))
    });
    let line = Bytes::from(format!("{says}\n"));
    let told = timeout_at(by, call.wire.write(line)).await;
    if known && matches!(told, Ok(Ok(()))) {
        call.board.asked(call.ip, CheckProtocol::Agent);
    } else {
        call.board.spoilt();
    }
    tracing::debug!(target: "checks", client = %call.ip, %says, "agent check");
    // What the balancer may have sent is read before the close, which would else reset the line away. Whoever
    // stays on after its answer holds no place that is wanted.
    tokio::select! {
        _ = timeout_at(by, linger(call.wire, call.context.limits.close_linger)) => {}
        () = idle.close_requested() => {}
    }
}

/// The line that the balancer may send first.
async fn first_line(call: &mut Call) -> AgentRequest {
    loop {
        match parse_request(&call.wire.unread) {
            AgentRequest::Incomplete => {}
            line => return line,
        }
        if !matches!(call.wire.read_more().await, Ok(true)) {
            // It has closed its sending side, as some do: what it sent is all there is.
            call.wire.unread.extend_from_slice(b"\n");
            return parse_request(&call.wire.unread);
        }
    }
}
