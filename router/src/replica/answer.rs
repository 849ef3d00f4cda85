//! The head of a model node's answer, and short bodies behind it.

use tokio::time::timeout;

use crate::http::{Body, Framing, Head, Part, Start, Wire};
use crate::limits::Limits;

/// Reads the head of an answer of which something has come, or will. What begins has to end: one head that
/// does not, or one after the other, would else hold the attempt until the client has left.
pub(super) async fn read_head(wire: &mut Wire, limits: &Limits) -> Option<Head> {
    let whole = async {
        let mut before = 0;
        loop {
            match Head::answer(&mut wire.buf, limits) {
                // What comes before the answer proper says nothing here.
                Ok(Some(head)) if matches!(head.start, Start::Status(100..=199)) => before += 1,
                Ok(Some(head)) => return Some(head),
                Ok(None) => {
                    if !wire.more().await.ok()? {
                        return None;
                    }
                }
                Err(_) => return None,
            }
            if before > limits.informational {
                return None;
            }
        }
    };
    timeout(limits.answer_head, whole).await.ok().flatten()
}

/// Takes a short body that has arrived with its head; false if it has not.
pub(super) fn drained(wire: &mut Wire, framing: Framing, most: usize) -> bool {
    if framing == Framing::Unstated {
        return false;
    }
    let mut body = Body::of_answer(framing, most);
    loop {
        match body.next(&mut wire.buf) {
            Ok(Some(Part::Bytes(_))) => {}
            Ok(Some(Part::End)) => return wire.buf.is_empty(),
            _ => return false,
        }
    }
}
