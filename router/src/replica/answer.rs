//! The head of a model node's answer, and short bodies behind it.

use tokio::time::timeout;

use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, MessageHead, StartLine};
use crate::limits::Limits;

/// Reads the head of an answer of which something has come, or will. What begins has to end: one head that
/// does not, or one after the other, would else hold the attempt until the client has left.
pub(super) async fn read_head(wire: &mut BufferedConnection, limits: &Limits) -> Option<MessageHead> {
    let whole = async {
        let mut before = 0;
        loop {
            match MessageHead::parse_response(&mut wire.unread, limits) {
                // What comes before the answer proper says nothing here.
                Ok(Some(head)) if matches!(head.start_line, StartLine::Status(100..=199)) => before += 1,
                Ok(Some(head)) => return Some(head),
                Ok(None) => {
                    if !wire.read_more().await.ok()? {
                        return None;
                    }
                }
                Err(_) => return None,
            }
            if before > limits.max_informational_responses {
                return None;
            }
        }
    };
    timeout(limits.response_head_timeout, whole).await.ok().flatten()
}

/// Takes a short body that has arrived with its head; false if it has not.
pub(super) fn drained(wire: &mut BufferedConnection, framing: BodyFraming, most: usize) -> bool {
    if framing == BodyFraming::Undeclared {
        return false;
    }
    let mut body = BodyReader::for_response(framing, most);
    loop {
        match body.next_part(&mut wire.unread) {
            Ok(Some(BodyPart::Data(_))) => {}
            Ok(Some(BodyPart::End)) => return wire.unread.is_empty(),
            _ => return false,
        }
    }
}
