//! Heads of requests and responses: start line, header fields, and the framing of the body that follows.

use bytes::{Buf, Bytes, BytesMut};

use super::HttpError;
use crate::limits::Limits;

/// The first line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// Of a request: its method and target.
    Request(Bytes, Bytes),
    /// Of a response: its status code.
    Status(u16),
}

/// The head of a message. Its parts are slices of one allocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageHead {
    /// The first line.
    pub start_line: StartLine,
    /// Names and values of the header fields, in the order of the message.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Whether the version is HTTP/1.1; otherwise it is HTTP/1.0.
    pub is_http_11: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The head declares no framing: a request has no body, the body of a response ends with the connection.
    Undeclared,
}

/// The position of a part of a head in the buffer, for slicing it without a copy.
#[derive(Clone, Copy)]
struct Span {
    start: usize,
    length: usize,
}

impl Span {
    /// The span of `part`, which is a slice of `buffer`.
    fn within(buffer: &[u8], part: &[u8]) -> Span {
        Span { start: part.as_ptr() as usize - buffer.as_ptr() as usize, length: part.len() }
    }

    fn slice_of(self, head: &Bytes) -> Bytes {
        head.slice(self.start..self.start + self.length)
    }
}

impl MessageHead {
    /// Removes a complete request head from the front of `buffer`; `None` if more input is needed.
    ///
    /// # Errors
    /// [`HttpError::Malformed`], or [`HttpError::HeadTooLarge`] if a complete or partial head exceeds `limits`.
    pub fn parse_request(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<MessageHead>, HttpError> {
        let mut slots = vec![httparse::EMPTY_HEADER; limits.max_fields];
        let mut parsed = httparse::Request::new(&mut slots);
        let status = parsed.parse(buffer).map_err(from_parser_error)?;
        let Some(length) = complete_head_length(status, buffer, limits)? else { return Ok(None) };
        let span = |part: Option<&str>| Span::within(buffer, part.unwrap_or_default().as_bytes());
        let (method, target) = (span(parsed.method), span(parsed.path));
        let (fields, is_http_11) = (field_spans(buffer, parsed.headers), parsed.version == Some(1));
        // Copied, as a slice would keep the read buffer in memory for as long as the request.
        let head = Bytes::copy_from_slice(&buffer[..length]);
        buffer.advance(length);
        let start_line = StartLine::Request(method.slice_of(&head), target.slice_of(&head));
        Ok(Some(MessageHead { start_line, fields: slice_fields(&head, &fields), is_http_11 }))
    }

    /// Removes a complete response head from the front of `buffer`; `None` if more input is needed.
    ///
    /// # Errors
    /// [`HttpError::Malformed`], or [`HttpError::HeadTooLarge`] if a complete or partial head exceeds `limits`.
    pub fn parse_response(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<MessageHead>, HttpError> {
        let mut slots = vec![httparse::EMPTY_HEADER; limits.max_fields];
        let mut parsed = httparse::Response::new(&mut slots);
        let status = parsed.parse(buffer).map_err(from_parser_error)?;
        let Some(length) = complete_head_length(status, buffer, limits)? else { return Ok(None) };
        let start_line = StartLine::Status(parsed.code.unwrap_or_default());
        let (fields, is_http_11) = (field_spans(buffer, parsed.headers), parsed.version == Some(1));
        let head = buffer.split_to(length).freeze();
        Ok(Some(MessageHead { start_line, fields: slice_fields(&head, &fields), is_http_11 }))
    }

    /// Memory that the parts of the head take, bytes.
    pub fn memory_size(&self) -> usize {
        let text = |bytes: &Bytes| bytes.len();
        let field = |(name, value): &(Bytes, Bytes)| text(name) + text(value) + size_of::<(Bytes, Bytes)>();
        let start_line = match &self.start_line {
            StartLine::Request(method, target) => text(method) + text(target),
            StartLine::Status(_) => 0,
        };
        start_line + self.fields.iter().map(field).sum::<usize>()
    }

    /// The values of all fields of a name, compared without regard to case.
    fn values<'head, 'name>(
        &'head self,
        name: &'name str,
    ) -> impl Iterator<Item = &'head Bytes> + use<'head, 'name> {
        let has_name = move |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().filter(has_name).map(|(_, value)| value)
    }

    /// The value of a field that may occur only once; `None` if it is absent.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the field occurs more than once.
    pub fn single_value(&self, name: &str) -> Result<Option<&Bytes>, HttpError> {
        let mut values = self.values(name);
        match (values.next(), values.next()) {
            (value, None) => Ok(value),
            _ => Err(HttpError::Malformed),
        }
    }

    /// Like [`MessageHead::single_value`], as text.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the field occurs more than once or is not UTF-8.
    pub fn text_value(&self, name: &str) -> Result<Option<&str>, HttpError> {
        let value = self.single_value(name)?;
        value.map(|bytes| std::str::from_utf8(bytes).map_err(|_| HttpError::Malformed)).transpose()
    }

    /// Whether a field of this name has `token` in its comma-separated list, compared without regard to case.
    fn contains_token(&self, name: &str, token: &str) -> bool {
        let is_token = |item: &[u8]| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.values(name).any(|value| value.split(|byte| *byte == b',').any(is_token))
    }

    /// Whether the connection may carry another message after this one.
    pub fn keeps_alive(&self) -> bool {
        match self.is_http_11 {
            true => !self.contains_token("connection", "close"),
            false => self.contains_token("connection", "keep-alive"),
        }
    }

    /// Whether the client waits for status 100 before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.contains_token("expect", "100-continue")
    }

    /// The framing of the body.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the head declares two framings or an ambiguous one, which another parser could read
    /// differently. [`HttpError::UnsupportedCoding`] for a coding other than `chunked`.
    pub fn framing(&self) -> Result<BodyFraming, HttpError> {
        let length = self.single_value("content-length")?;
        let coding = self.single_value("transfer-encoding")?;
        match (length, coding) {
            (Some(_), Some(_)) => Err(HttpError::Malformed),
            (None, None) => Ok(BodyFraming::Undeclared),
            (None, Some(_)) if !self.is_http_11 => Err(HttpError::Malformed),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
            (None, Some(_)) => Err(HttpError::UnsupportedCoding),
            (Some(length), None) => {
                parse_content_length(length).map(BodyFraming::Length).ok_or(HttpError::Malformed)
            }
        }
    }
}

/// Converts an error of the head's parser.
fn from_parser_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Malformed,
    }
}

/// The length in bytes of the head at the front of `buffer`; `None` if it is not complete.
fn complete_head_length(
    status: httparse::Status<usize>,
    buffer: &[u8],
    limits: &Limits,
) -> Result<Option<usize>, HttpError> {
    let (read, complete) = match status {
        httparse::Status::Complete(length) => (length, Some(length)),
        httparse::Status::Partial => (buffer.len(), None),
    };
    if read > limits.max_head_size {
        return Err(HttpError::HeadTooLarge);
    }
    Ok(complete)
}

fn field_spans(buffer: &[u8], fields: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    let spans = |field: &httparse::Header<'_>| {
        (Span::within(buffer, field.name.as_bytes()), Span::within(buffer, field.value))
    };
    fields.iter().map(spans).collect()
}

fn slice_fields(head: &Bytes, fields: &[(Span, Span)]) -> Vec<(Bytes, Bytes)> {
    fields.iter().map(|(name, value)| (name.slice_of(head), value.slice_of(head))).collect()
}

/// Parses the value of a Content-Length field; digits only, as `str::parse` alone would accept a sign.
fn parse_content_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
