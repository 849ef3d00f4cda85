//! Asks a model node for its health.

use std::rc::Rc;

use bytes::Bytes;
use tallypin::api::{Outcome, ReplicaId};
use tokio::time::timeout;

use super::answer::read_head;
use super::context::ReplicaContext;
use crate::core::AttemptResult;
use crate::dialect;
use crate::dispatcher::Dispatcher;
use crate::http::{BodyPart, BodyReader, StartLine};

/// Probes a node and tells the core. The module sends no probes today; its interface has them.
pub async fn probe(context: Rc<ReplicaContext>, dispatcher: Rc<Dispatcher>, node: ReplicaId) {
    let limit = context.limits.health_check_timeout;
    let end = timeout(limit, ask_health(&context, node)).await.unwrap_or_else(|_| Outcome::TimedOut.into());
    dispatcher.with(|core, now| core.probe_ended(now, node, end));
}

async fn ask_health(context: &ReplicaContext, node: ReplicaId) -> AttemptResult {
    let names = &context.report_fields;
    let target = if names.is_empty() { "/alive" } else { "/metrics/load" };
    let mut link = match context.pool.connect(node).await {
        Ok(reached) => reached,
        Err(outcome) => return outcome.into(),
    };
    let head = format!("GET {target} HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    if link.wire.write(Bytes::from(head)).await.is_err() {
        return Outcome::ConnectionRefused.into();
    }
    let Some(head) = read_head(&mut link.wire, &context.limits).await else {
        return Outcome::ConnectionReset.into();
    };
    let Ok(framing) = head.framing() else { return Outcome::ConnectionReset.into() };
    let (mut body, mut report) =
        (BodyReader::for_response(framing, context.limits.max_head_size), Vec::new());
    loop {
        match body.next_part(&mut link.wire.unread) {
            Ok(Some(BodyPart::Data(data))) if report.len() + data.len() <= context.limits.max_head_size => {
                report.extend_from_slice(&data);
            }
            Ok(Some(BodyPart::End)) => break,
            Ok(None) if matches!(link.wire.read_more().await, Ok(true)) => {}
            _ => return Outcome::ConnectionReset.into(),
        }
    }
    let outcome =
        if head.start_line == StartLine::Status(200) { Outcome::Completed } else { Outcome::ReplicaError };
    let load = dialect::parse_load_report(&String::from_utf8_lossy(&report), names);
    if head.keeps_alive() && link.wire.unread.is_empty() {
        context.pool.give_back(link);
    }
    AttemptResult { outcome, cached_tokens: None, load_report: load }
}
