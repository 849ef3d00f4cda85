//! The agent check of HAProxy: one line of keywords, as described for `agent-check` in section 5.2 of its configuration
//! manual. Routers write such lines; the check program and the simulated balancer of the tests parse them.

use std::fmt;

use crate::assessment::{Assessment, HealthState};

/// The administrative state that a line requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminState {
    /// Revoke an earlier `drain` or `maint`.
    Ready,
    /// Send no new sessions; existing ones continue.
    Drain,
    /// Send no traffic and no checks.
    Maintenance,
}

/// The operational state that a line reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationalState {
    /// The server works.
    Up,
    /// The server does not work.
    Down,
    /// The server does not work: a check has failed.
    Failed,
    /// The server does not work: it was stopped.
    Stopped,
}

/// The content of a line. The balancer keeps its value for each field that is `None`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AgentReply {
    /// Weight, in percent of the weight in the balancer's configuration.
    pub percent: Option<u16>,
    /// Maximum number of connections.
    pub maxconn: Option<u32>,
    /// Administrative state that the line requests.
    pub admin: Option<AdminState>,
    /// Operational state that the line reports.
    pub operation: Option<OperationalState>,
    /// Reason of the operational state, only with `down`, `failed` and `stopped`.
    pub reason: Option<String>,
}

/// Maximum length of a line, in bytes. HAProxy's buffer is far larger, but no line needs it.
pub const MAX_LINE_BYTES: usize = 256;
/// Maximum length of a written reason, in characters.
const MAX_REASON_CHARS: usize = 80;

/// Why a line can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentReplyError {
    /// The line has no end yet.
    Incomplete,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// This word is not part of the grammar.
    UnknownWord(String),
    /// The line has no words.
    Empty,
}

impl fmt::Display for AgentReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentReplyError::Incomplete => write!(f, "agent check line has no end"),
            AgentReplyError::TooLong => write!(f, "agent check line is longer than {MAX_LINE_BYTES} bytes"),
            AgentReplyError::UnknownWord(word) => write!(f, "agent check line has the unknown word `{word}`"),
            AgentReplyError::Empty => write!(f, "agent check line is empty"),
        }
    }
}

impl AgentReply {
    /// Parses a line. It ends at the first CR or LF, or at the end of the stream if the stream is `closed`. Its words are
    /// separated by spaces, tabs or commas.
    ///
    /// # Errors
    ///
    /// [`AgentReplyError::Incomplete`] if more bytes are needed; the other errors if the line is not an agent check's.
    pub fn parse(bytes: &[u8], closed: bool) -> Result<AgentReply, AgentReplyError> {
        let end = bytes.iter().position(|b| matches!(b, b'\r' | b'\n'));
        let line = match end {
            Some(end) if end <= MAX_LINE_BYTES => &bytes[..end],
            None if bytes.len() <= MAX_LINE_BYTES && closed => bytes,
            None if bytes.len() <= MAX_LINE_BYTES => return Err(AgentReplyError::Incomplete),
            _ => return Err(AgentReplyError::TooLong),
        };
        let line = String::from_utf8_lossy(line);
        // The reason extends to the end of the line and may contain separators.
        let (words, reason) = match line.split_once('#') {
            Some((words, reason)) => (words, Some(reason.trim().to_string())),
            None => (&line[..], None),
        };
        let mut reply = AgentReply::default();
        let mut has_words = false;
        for word in words.split([' ', '\t', ',']).filter(|w| !w.is_empty()) {
            has_words = true;
            reply.apply_word(word)?;
        }
        if !has_words {
            return Err(AgentReplyError::Empty);
        }
        let failing = !matches!(reply.operation, None | Some(OperationalState::Up));
        reply.reason = reason.filter(|r| failing && !r.is_empty());
        Ok(reply)
    }

    fn apply_word(&mut self, word: &str) -> Result<(), AgentReplyError> {
        let number = |digits: &str| -> Option<u32> {
            digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
        };
        let unknown = || AgentReplyError::UnknownWord(word.chars().take(40).collect());
        if let Some(digits) = word.strip_suffix('%') {
            let percent = number(digits).and_then(|n| u16::try_from(n).ok());
            self.percent = Some(percent.ok_or_else(unknown)?);
        } else if let Some(digits) = word.strip_prefix("maxconn:") {
            self.maxconn = Some(number(digits).ok_or_else(unknown)?);
        } else {
            match word.to_ascii_lowercase().as_str() {
                "ready" => self.admin = Some(AdminState::Ready),
                "drain" => self.admin = Some(AdminState::Drain),
                "maint" => self.admin = Some(AdminState::Maintenance),
                "up" => self.operation = Some(OperationalState::Up),
                "down" => self.operation = Some(OperationalState::Down),
                "failed" => self.operation = Some(OperationalState::Failed),
                "stopped" => self.operation = Some(OperationalState::Stopped),
                _ => return Err(unknown()),
            }
        }
        Ok(())
    }

    /// Returns the reply of a router in this state. `maxconn` is sent only while the router serves.
    pub fn from_assessment(assessment: &Assessment, maxconn: Option<u32>) -> AgentReply {
        let Assessment { state, weight, cause } = *assessment;
        let (admin, operation) = match state {
            // Both states are always sent: a balancer keeps an earlier `drain` or `down` until it is revoked.
            HealthState::Up | HealthState::Degraded => (AdminState::Ready, OperationalState::Up),
            // The operational state stays `up`, so that the balancer does not cut off existing sessions.
            HealthState::Draining => (AdminState::Drain, OperationalState::Up),
            HealthState::Maintenance => (AdminState::Maintenance, OperationalState::Stopped),
            HealthState::Down => (AdminState::Ready, OperationalState::Down),
        };
        let failing = operation != OperationalState::Up;
        AgentReply {
            percent: state.serves().then_some(u16::from(weight)),
            maxconn: maxconn.filter(|_| state.serves()),
            admin: Some(admin),
            operation: Some(operation),
            reason: failing.then(|| cause.description().to_string()),
        }
    }

    /// Returns the reply to a check of an unknown service.
    pub fn unknown_service(service: &str) -> AgentReply {
        let reason = format!("no service {service}");
        AgentReply {
            operation: Some(OperationalState::Failed),
            reason: Some(reason),
            ..AgentReply::default()
        }
    }
}

impl fmt::Display for AgentReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operation = self.operation.map(|o| match o {
            OperationalState::Up => "up",
            OperationalState::Down => "down",
            OperationalState::Failed => "failed",
            OperationalState::Stopped => "stopped",
        });
        let admin = self.admin.map(|a| match a {
            AdminState::Ready => "ready",
            AdminState::Drain => "drain",
            AdminState::Maintenance => "maint",
        });
        let percent = self.percent.map(|p| format!("{p}%"));
        let maxconn = self.maxconn.map(|n| format!("maxconn:{n}"));
        let words = [operation.map(String::from), admin.map(String::from), percent, maxconn];
        let mut first = true;
        for word in words.into_iter().flatten() {
            write!(f, "{}{word}", if first { "" } else { " " })?;
            first = false;
        }
        if let Some(reason) = &self.reason {
            // A reason may contain text from the client's request, which must not end the line early.
            let plain = reason.chars().filter(|c| c.is_ascii_graphic() || *c == ' ').take(MAX_REASON_CHARS);
            write!(f, " #{}", plain.collect::<String>())?;
        }
        Ok(())
    }
}

/// The line that a balancer may send first, naming the service to check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentRequest {
    /// The line has no end yet.
    Incomplete,
    /// The name of a service; the empty name is the router as a whole.
    Service(String),
    /// The line is not a valid name.
    Invalid,
}

/// Parses the line that a balancer may send first. HTTP requests and random bytes are recognized as invalid names.
pub fn parse_request(bytes: &[u8]) -> AgentRequest {
    let Some(end) = bytes.iter().position(|b| matches!(b, b'\r' | b'\n')) else {
        return if bytes.len() > MAX_LINE_BYTES { AgentRequest::Invalid } else { AgentRequest::Incomplete };
    };
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || b"-_./:".contains(b);
    match std::str::from_utf8(&bytes[..end.min(MAX_LINE_BYTES)]).map(str::trim) {
        Ok(name) if name.bytes().all(|b| is_name_byte(&b)) => AgentRequest::Service(name.into()),
        _ => AgentRequest::Invalid,
    }
}
