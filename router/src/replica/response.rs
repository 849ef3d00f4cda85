//! The head of a replica's response, and short bodies behind it.

use tokio::time::timeout;

use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, MessageHead, StartLine};
use crate::limits::Limits;

/// Reads the head of a response of which something has come, or will; `None` if there is no whole and valid one within the
/// limits. What begins has to end: one head that does not, or one informational response after the other, would else hold
/// the attempt until the client has left.
pub(super) async fn read_head(wire: &mut BufferedConnection, limits: &Limits) -> Option<MessageHead> {
    let whole = async {
        let mut informational = 0;
        loop {
            match MessageHead::parse_response(&mut wire.unread, limits) {
                // What comes before the response proper says nothing here.
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
    timeout(limits.response_head_timeout, whole).await.ok().flatten()
}

/// Discards a short body that has arrived with its head; false if it has not, and the connection is of no further use.
pub(super) fn discard_body(wire: &mut BufferedConnection, framing: BodyFraming, max_chunk: usize) -> bool {
    if framing == BodyFraming::Undeclared {
        return false;
    }
    let mut body = BodyReader::for_response(framing, max_chunk);
    loop {
        match body.next_part(&mut wire.unread) {
            Ok(Some(BodyPart::Data(_))) => {}
            Ok(Some(BodyPart::End)) => return wire.unread.is_empty(),
            _ => return false,
        }
    }
}
