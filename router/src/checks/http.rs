//! Health checks over HTTP/1.1: a connection carries one check after another, each within its time limit.

use bytes::{Buf, Bytes};
use tallypin_health::checkers::CheckProtocol;
use tallypin_health::http_check::{parse_server_state, CheckRequest, CheckResponse};
use tokio::time::timeout;

use super::listen::CheckConnection;
use crate::front::{close_gracefully, Rejection};
use crate::http::{reason_phrase, BodyFraming, BodyPart, BodyReader, HttpError, MessageHead, StartLine};

/// Maximum size of a check's body, in bytes. A body is read and ignored.
const MAX_BODY_BYTES: u64 = 4 << 10;

/// Answers the checks of one connection.
pub async fn answer(mut conn: CheckConnection) {
    loop {
        let time_limit = conn.time_limit();
        let mut idle = conn.mark_idle();
        if conn.wire.read_buffer.is_empty() {
            conn.wire.release_buffer();
            let idle_timeout = conn.health_monitor.check_setting(|c| c.idle_timeout).unwrap_or(time_limit);
            let received = tokio::select! {
                biased;
                received = timeout(idle_timeout, conn.wire.read_more()) => received,
                () = idle.close_requested() => return,
            };
            if !matches!(received, Ok(Ok(true))) {
                return;
            }
        }
        // A connection with an incomplete check still counts as idle and may be closed to make room for another one. A
        // complete check is read first, because the selection is biased.
        let outcome = tokio::select! {
            biased;
            outcome = timeout(time_limit, read_check(&mut conn)) => outcome,
            () = idle.close_requested() => return conn.health_monitor.record_invalid_check(),
        };
        drop(idle);
        let Ok(outcome) = outcome else {
            conn.health_monitor.record_invalid_check();
            let _ = timeout(time_limit, write_response(&mut conn, error_response(408), false, false)).await;
            return;
        };
        let (response, is_head, keep_alive) = match outcome {
            ReadOutcome::Closed => return,
            ReadOutcome::Invalid(error) => {
                conn.health_monitor.record_invalid_check();
                (error_response(Rejection::from(error).status()), false, false)
            }
            ReadOutcome::Request(head) => {
                let is_head = matches!(&head.start_line, StartLine::Request(m, _) if &m[..] == b"HEAD");
                (respond(&conn, &head), is_head, head.keeps_alive())
            }
        };
        if !matches!(
            timeout(time_limit, write_response(&mut conn, response, is_head, keep_alive)).await,
            Ok(Ok(()))
        ) {
            return;
        }
        if !keep_alive {
            let _ = timeout(time_limit, close_gracefully(conn.wire, conn.context.limits.close_linger)).await;
            return;
        }
    }
}

enum ReadOutcome {
    Request(MessageHead),
    Invalid(HttpError),
    Closed,
}

async fn read_check(conn: &mut CheckConnection) -> ReadOutcome {
    let limits = conn.context.limits.clone();
    let head = loop {
        match MessageHead::parse_request(&mut conn.wire.read_buffer, &limits) {
            Ok(Some(head)) => break head,
            Ok(None) if matches!(conn.wire.read_more().await, Ok(true)) => {}
            Ok(None) => return ReadOutcome::Closed,
            Err(error) => return ReadOutcome::Invalid(error),
        }
    };
    let framing = match head.framing() {
        Ok(BodyFraming::Undeclared) => return ReadOutcome::Request(head),
        Ok(BodyFraming::Length(n)) if n > MAX_BODY_BYTES => {
            return ReadOutcome::Invalid(HttpError::BodyTooLarge)
        }
        Ok(framing) => framing,
        Err(error) => return ReadOutcome::Invalid(error),
    };
    let (mut body, mut size) = (BodyReader::new(framing, MAX_BODY_BYTES), 0);
    loop {
        match body.next_part(&mut conn.wire.read_buffer) {
            Ok(Some(BodyPart::Data(data))) => {
                size += data.len() as u64;
                if size > MAX_BODY_BYTES {
                    return ReadOutcome::Invalid(HttpError::BodyTooLarge);
                }
            }
            Ok(Some(BodyPart::End)) => return ReadOutcome::Request(head),
            Ok(None) if matches!(conn.wire.read_more().await, Ok(true)) => {}
            Ok(None) => return ReadOutcome::Closed,
            Err(error) => return ReadOutcome::Invalid(error),
        }
    }
}

/// Returns a plain text response with the reason phrase of the status as its body.
fn error_response(status: u16) -> CheckResponse {
    let fields = "Content-Type: text/plain; charset=utf-8\r\n".to_string();
    CheckResponse { status, fields, body: format!("{}\n", reason_phrase(status).to_lowercase()) }
}

fn respond(conn: &CheckConnection, head: &MessageHead) -> CheckResponse {
    let StartLine::Request(method, target) = &head.start_line else { return error_response(400) };
    let (Ok(method), Ok(target)) = (std::str::from_utf8(method), std::str::from_utf8(target)) else {
        return error_response(400);
    };
    let accept = head.text_value("accept").ok().flatten();
    let (assessment, components) = (conn.health_monitor.assessment(), conn.health_monitor.components());
    let response = conn
        .health_monitor
        .check_setting(|c| {
            c.http_policy.answer(CheckRequest { method, target, accept }, &assessment, &components)
        })
        .flatten();
    let Some(response) = response else {
        conn.health_monitor.record_invalid_check();
        return error_response(404);
    };
    // `/livez` is polled by a supervisor that restarts the router, not by a balancer that must be notified of a drain.
    if !target.starts_with("/livez") && response.status != 405 {
        conn.health_monitor.record_check(conn.ip, CheckProtocol::Http);
    }
    if let Some(sent) = head.text_value("x-haproxy-server-state").ok().flatten().and_then(parse_server_state)
    {
        tracing::debug!(target: "checks", client = %conn.ip, held = sent.state, name = sent.name,
            balancer = sent.node, "balancer reported its state of this router");
    }
    response
}

async fn write_response(
    conn: &mut CheckConnection,
    response: CheckResponse,
    is_head: bool,
    keep_alive: bool,
) -> std::io::Result<()> {
    let CheckResponse { status, fields, body } = response;
    let last = if keep_alive { "" } else { "Connection: close\r\n" };
    let (why, length) = (reason_phrase(status), body.len());
    let head = format!("HTTP/1.1 {status} {why}\r\n{fields}{last}Content-Length: {length}\r\n\r\n");
    let body = if is_head { String::new() } else { body };
    conn.wire.write(Bytes::from(head).chain(Bytes::from(body))).await
}
