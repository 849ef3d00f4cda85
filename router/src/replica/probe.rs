//! The health check of a replica, which also fetches its load report.

use std::rc::Rc;

use bytes::Bytes;
use tallypin::api::{Outcome, ReplicaId};
use tokio::time::timeout;

use super::context::ReplicaContext;
use super::response::read_head;
use crate::core::AttemptResult;
use crate::dialect;
use crate::dispatcher::Dispatcher;
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, StartLine};

/// Checks a replica and reports the result to the core. The decision module's interface provides for health checks, but it
/// currently requests none.
pub async fn probe(context: Rc<ReplicaContext>, dispatcher: Rc<Dispatcher>, replica: ReplicaId) {
    let checked = timeout(context.limits.health_check_timeout, check(&context, replica)).await;
    let result = checked.unwrap_or(Err(Outcome::TimedOut)).unwrap_or_else(AttemptResult::from);
    dispatcher.with_core(|core, now| core.probe_ended(now, replica, result));
}

/// Runs one health check.
///
/// # Errors
/// Returns the outcome if there was no complete response.
async fn check(context: &ReplicaContext, replica: ReplicaId) -> Result<AttemptResult, Outcome> {
    let names = &context.report_fields;
    let target = if names.is_empty() { "/alive" } else { "/metrics/load" };
    let mut connection = context.pool.connect(replica).await?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    connection.wire.write(Bytes::from(request)).await.map_err(|_| Outcome::ConnectionRefused)?;
    let head = read_head(&mut connection.wire, &context.limits).await.ok_or(Outcome::ConnectionReset)?;
    let framing = head.framing().map_err(|_| Outcome::ConnectionReset)?;
    let report = read_body(&mut connection.wire, framing, context.limits.max_head_size).await?;
    let outcome =
        if head.start_line == StartLine::Status(200) { Outcome::Completed } else { Outcome::ReplicaError };
    let load_report = dialect::parse_load_report(&String::from_utf8_lossy(&report), names);
    if head.keeps_alive() && connection.wire.read_buffer.is_empty() {
        context.pool.return_connection(connection);
    }
    Ok(AttemptResult { load_report, ..outcome.into() })
}

/// Reads a body of at most `limit` bytes.
async fn read_body(
    wire: &mut BufferedConnection,
    framing: BodyFraming,
    limit: usize,
) -> Result<Vec<u8>, Outcome> {
    let (mut body, mut bytes) = (BodyReader::for_response(framing, limit), Vec::new());
    loop {
        match body.next_part(&mut wire.read_buffer) {
            Ok(Some(BodyPart::Data(data))) if bytes.len() + data.len() <= limit => {
                bytes.extend_from_slice(&data)
            }
            Ok(Some(BodyPart::End)) => return Ok(bytes),
            Ok(None) if matches!(wire.read_more().await, Ok(true)) => {}
            _ => return Err(Outcome::ConnectionReset),
        }
    }
}
