//! The parts of HTTP/1.1 that the router uses.
//!
//! - `head`: reads the heads of requests and responses.
//! - `body`: reads the parts of a body and finds its end.
//! - `request_scanner`: finds the ends of requests in input that is not kept.
//! - `connection`: a TCP connection with its read buffer and gathered writes.
//!
//! Ambiguous messages are rejected: another parser of the same bytes could read different messages (request smuggling).

mod body;
mod connection;
mod head;
mod request_scanner;

pub use body::{BodyPart, BodyReader};
pub use connection::{BufferedConnection, SMALL_READ_SIZE};
pub use head::{BodyFraming, MessageHead, StartLine};
pub use request_scanner::{RequestScanner, ScannedPiece};

/// Why a message cannot be read. The connection cannot be used for another message afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The message violates the protocol or is ambiguous; status 400.
    #[error("message is malformed or ambiguous")]
    Malformed,
    /// The body is larger than the limit; status 413.
    #[error("body is too large")]
    BodyTooLarge,
    /// The head exceeds the limit on its size or on its number of fields; status 431.
    #[error("head is too large")]
    HeadTooLarge,
    /// The transfer coding is not `chunked`; status 501.
    #[error("transfer coding is not supported")]
    UnsupportedCoding,
}

/// The reason phrase of a status; `Other` for one that the router does not send.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        529 => "Overloaded",
        _ => "Other",
    }
}
