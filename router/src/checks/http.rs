//! Checks over HTTP/1: one after the other on a connection, each within its budget.

use bytes::{Buf, Bytes};
use tallypin_health::checkers::CheckProtocol;
use tallypin_health::http_check::{parse_server_state, CheckRequest, CheckResponse};
use tokio::time::timeout;

use super::listen::Call;
use crate::front::{linger, Rejection};
use crate::http::{reason_phrase, BodyFraming, BodyPart, BodyReader, HttpError, MessageHead, StartLine};

/// The largest body of a check that is read over; checks have none.
const BODY: u64 = 4 << 10;

/// Answers the checks of one connection.
pub async fn answer(mut call: Call) {
    loop {
        let budget = call.budget();
        let mut idle = call.rest();
        if call.wire.unread.is_empty() {
            call.wire.release_buffer();
            let rest = call.board.of_checks(|c| c.idle).unwrap_or(budget);
            let more = tokio::select! {
                biased;
                more = timeout(rest, call.wire.read_more()) => more,
                () = idle.close_requested() => return,
            };
            if !matches!(more, Ok(Ok(true))) {
                return;
            }
        }
        // Half a check holds a place no better than none: a whole one is read at once.
        let read = tokio::select! {
            biased;
            read = timeout(budget, read(&mut call)) => read,
            () = idle.close_requested() => return call.board.spoilt(),
        };
        drop(idle);
        let Ok(read) = read else {
            call.board.spoilt();
            let _ = timeout(budget, say(&mut call, refusal(408), false, false)).await;
            return;
        };
        let (answer, bodiless, keeps) = match read {
            Read::Gone => return,
            Read::Bad(bad) => {
                call.board.spoilt();
                (refusal(Rejection::from(bad).status()), false, false)
            }
            Read::Asked(head) => {
                let bodiless = matches!(&head.start_line, StartLine::Request(m, _) if &m[..] == b"HEAD");
                (decide(&call, &head), bodiless, head.keeps_alive())
            }
        };
        if !matches!(timeout(budget, say(&mut call, answer, bodiless, keeps)).await, Ok(Ok(()))) {
            return;
        }
        if !keeps {
            let _ = timeout(budget, linger(call.wire, call.context.limits.close_linger)).await;
            return;
        }
    }
}

enum Read {
    Asked(MessageHead),
    Bad(HttpError),
    Gone,
}

async fn read(call: &mut Call) -> Read {
    let limits = call.context.limits.clone();
    let head = loop {
        match MessageHead::parse_request(&mut call.wire.unread, &limits) {
            Ok(Some(head)) => break head,
            Ok(None) if matches!(call.wire.read_more().await, Ok(true)) => {}
            Ok(None) => return Read::Gone,
            Err(bad) => return Read::Bad(bad),
        }
    };
    let framing = match head.framing() {
        Ok(BodyFraming::Undeclared) => return Read::Asked(head),
        Ok(BodyFraming::Length(n)) if n > BODY => return Read::Bad(HttpError::BodyTooLarge),
        Ok(framing) => framing,
        Err(bad) => return Read::Bad(bad),
    };
    let (mut body, mut all) = (BodyReader::new(framing, BODY), 0);
    loop {
        match body.next_part(&mut call.wire.unread) {
            Ok(Some(BodyPart::Data(data))) => {
                all += data.len() as u64;
                if all > BODY {
                    return Read::Bad(HttpError::BodyTooLarge);
                }
            }
            Ok(Some(BodyPart::End)) => return Read::Asked(head),
            Ok(None) if matches!(call.wire.read_more().await, Ok(true)) => {}
            Ok(None) => return Read::Gone,
            Err(bad) => return Read::Bad(bad),
        }
    }
}

fn refusal(status: u16) -> CheckResponse {
    let fields = "Content-Type: text/plain; charset=utf-8\r\n".to_string();
    CheckResponse { status, fields, body: format!("{}\n", reason_phrase(status).to_lowercase()) }
}

fn decide(call: &Call, head: &MessageHead) -> CheckResponse {
    let StartLine::Request(method, target) = &head.start_line else { return refusal(400) };
    let (Ok(method), Ok(target)) = (std::str::from_utf8(method), std::str::from_utf8(target)) else {
        return refusal(400);
    };
    let accept = head.text_value("accept").ok().flatten();
    let (now, parts) = (call.board.assessment(), call.board.parts());
    let answer = call
        .board
        .of_checks(|c| c.policy.answer(CheckRequest { method, target, accept }, &now, &parts))
        .flatten();
    let Some(answer) = answer else {
        call.board.spoilt();
        return refusal(404);
    };
    // Whether it lives is asked by whoever would restart it, not by a balancer that has to hear of a drain.
    if !target.starts_with("/livez") && answer.status != 405 {
        call.board.asked(call.ip, CheckProtocol::Http);
    }
    if let Some(sent) = head.text_value("x-haproxy-server-state").ok().flatten().and_then(parse_server_state)
    {
        tracing::debug!(target: "checks", client = %call.ip, held = sent.state, name = sent.name,
            balancer = sent.node, "a balancer says how it holds this router");
    }
    answer
}

async fn say(call: &mut Call, answer: CheckResponse, bodiless: bool, keeps: bool) -> std::io::Result<()> {
    let CheckResponse { status, fields, body } = answer;
    let last = if keeps { "" } else { "Connection: close\r\n" };
    let (why, length) = (reason_phrase(status), body.len());
    let head = format!("HTTP/1.1 {status} {why}\r\n{fields}{last}Content-Length: {length}\r\n\r\n");
    let body = if bodiless { String::new() } else { body };
    call.wire.write(Bytes::from(head).chain(Bytes::from(body))).await
}
