//! Reading the head of a replica's response, and discarding short bodies.

use tokio::time::timeout;

use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, MessageHead, StartLine};
use crate::limits::Limits;

/// Reads the head of a response; `None` if there is no complete and valid head within the limits. The limits on time and on
/// informational responses keep an unfinished head, or an endless series of informational responses, from holding the
/// attempt until the client disconnects.
pub(super) async fn read_head(wire: &mut BufferedConnection, limits: &Limits) -> Option<MessageHead> {
    let final_head = async {
        let mut informational = 0;
        loop {
            match MessageHead::parse_response(&mut wire.read_buffer, limits) {
                // Informational responses are skipped.
                Ok(Some(head)) if matches!(head.start_line, StartLine::Status(100..=199)) => {
                    informational += 1
                }
                Ok(Some(head)) => return Some(head),
                Ok(None) => {
                    if !wire.read_more().await.ok()? {
                        return None;
                    }
                }
                Err(_) => return None,
            }
            if informational > limits.max_informational_responses {
                return None;
            }
        }
    };
    timeout(limits.response_head_timeout, final_head).await.ok().flatten()
}

/// Discards a short body that has arrived completely with its head. Returns false if it has not; the connection can then not
/// be reused.
pub(super) fn discard_body(wire: &mut BufferedConnection, framing: BodyFraming, max_chunk: usize) -> bool {
    if framing == BodyFraming::Undeclared {
        return false;
    }
    let mut body = BodyReader::for_response(framing, max_chunk);
    loop {
        match body.next_part(&mut wire.read_buffer) {
            Ok(Some(BodyPart::Data(_))) => {}
            Ok(Some(BodyPart::End)) => return wire.read_buffer.is_empty(),
            _ => return false,
        }
    }
}
