//! The agent check of HAProxy: one line of words, as the `agent-check` keyword of its configuration manual
//! (section 5.2) describes them. Written for routers, read for the stand-in balancer and the check program.

use std::fmt;

use crate::assessment::{Assessment, HealthState};

/// The administrative state that a line asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminState {
    /// Take back an earlier `drain` or `maint`.
    Ready,
    /// Only sessions that are there already.
    Drain,
    /// No traffic and no checks.
    Maintenance,
}

/// The operational state that a line tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationalState {
    /// It works.
    Up,
    /// It does not.
    Down,
    /// It does not, as a check has found.
    Failed,
    /// It does not, as it was stopped.
    Stopped,
}

/// What a line says. What it does not say stays as it was.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AgentReply {
    /// The share of the weight that stands in the balancer's configuration, percent.
    pub percent: Option<u16>,
    /// The most connections.
    pub maxconn: Option<u32>,
    /// The administrative state.
    pub admin: Option<AdminState>,
    /// The operational state,
    pub operation: Option<OperationalState>,
    /// and why: only beside `down`, `failed` and `stopped`.
    pub reason: Option<String>,
}

/// The longest line that is read; HAProxy's own buffer is far larger, and no line needs it.
pub const MAX_LINE_BYTES: usize = 256;
/// The longest reason that is written.
const MAX_REASON_CHARS: usize = 80;

/// Why a line can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentReplyError {
    /// It has no end yet.
    Incomplete,
    /// It is longer than any.
    TooLong,
    /// This word is none of the grammar.
    UnknownWord(String),
    /// It holds no word.
    Empty,
}

impl fmt::Display for AgentReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentReplyError::Incomplete => write!(f, "the line has no end"),
            AgentReplyError::TooLong => write!(f, "the line is longer than {MAX_LINE_BYTES} bytes"),
            AgentReplyError::UnknownWord(word) => write!(f, "`{word}` is no word of an agent check"),
            AgentReplyError::Empty => write!(f, "the line is empty"),
        }
    }
}

impl AgentReply {
    /// Reads a line: it ends at the first CR or LF, its words are parted by spaces, tabs or commas. `closed`: no
    /// more will come, which ends it too.
    ///
    /// # Errors
    ///
    /// [`AgentReplyError::Incomplete`] while more may come; the others for a line that is none of an agent check.
    pub fn parse(bytes: &[u8], closed: bool) -> Result<AgentReply, AgentReplyError> {
        let end = bytes.iter().position(|b| matches!(b, b'\r' | b'\n'));
        let line = match end {
            Some(end) if end <= MAX_LINE_BYTES => &bytes[..end],
            None if bytes.len() <= MAX_LINE_BYTES && closed => bytes,
            None if bytes.len() <= MAX_LINE_BYTES => return Err(AgentReplyError::Incomplete),
            _ => return Err(AgentReplyError::TooLong),
        };
        let line = String::from_utf8_lossy(line);
        // The reason runs to the end of the line, spaces and all.
        let (words, reason) = match line.split_once('#') {
            Some((words, reason)) => (words, Some(reason.trim().to_string())),
            None => (&line[..], None),
        };
        let mut says = AgentReply::default();
        let mut any = false;
        for word in words.split([' ', '\t', ',']).filter(|w| !w.is_empty()) {
            any = true;
            says.word(word)?;
        }
        if !any {
            return Err(AgentReplyError::Empty);
        }
        let failing = !matches!(says.operation, None | Some(OperationalState::Up));
        says.reason = reason.filter(|r| failing && !r.is_empty());
        Ok(says)
    }

    fn word(&mut self, word: &str) -> Result<(), AgentReplyError> {
        let number = |digits: &str| -> Option<u32> {
            digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
        };
        let bad = || AgentReplyError::UnknownWord(word.chars().take(40).collect());
        if let Some(digits) = word.strip_suffix('%') {
            let percent = number(digits).and_then(|n| u16::try_from(n).ok());
            self.percent = Some(percent.ok_or_else(bad)?);
        } else if let Some(digits) = word.strip_prefix("maxconn:") {
            self.maxconn = Some(number(digits).ok_or_else(bad)?);
        } else {
            match word.to_ascii_lowercase().as_str() {
                "ready" => self.admin = Some(AdminState::Ready),
                "drain" => self.admin = Some(AdminState::Drain),
                "maint" => self.admin = Some(AdminState::Maintenance),
                "up" => self.operation = Some(OperationalState::Up),
                "down" => self.operation = Some(OperationalState::Down),
                "failed" => self.operation = Some(OperationalState::Failed),
                "stopped" => self.operation = Some(OperationalState::Stopped),
                _ => return Err(bad()),
            }
        }
        Ok(())
    }

    /// What a router says. `maxconn` is told where settings ask for it.
    pub fn from_assessment(assessment: &Assessment, maxconn: Option<u32>) -> AgentReply {
        let Assessment { state, weight, cause } = *assessment;
        let (admin, operation) = match state {
            // Both words, always: a balancer keeps an earlier `drain` or `down` until the word that takes it
            // back comes.
            HealthState::Up | HealthState::Degraded => (AdminState::Ready, OperationalState::Up),
            // Up: what it has is to be finished, not cut off.
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

    /// What is said of something that is not known here.
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
            // Whatever comes from outside must not end the line early.
            let plain = reason.chars().filter(|c| c.is_ascii_graphic() || *c == ' ').take(MAX_REASON_CHARS);
            write!(f, " #{}", plain.collect::<String>())?;
        }
        Ok(())
    }
}

/// The line that a balancer may send first: what it asks about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentRequest {
    /// No end yet.
    Incomplete,
    /// The name of a service; empty: the router.
    Service(String),
    /// No name of anything.
    Invalid,
}

/// Reads it. An HTTP request by mistake, or noise, is told from a name.
pub fn parse_request(bytes: &[u8]) -> AgentRequest {
    let Some(end) = bytes.iter().position(|b| matches!(b, b'\r' | b'\n')) else {
        return if bytes.len() > MAX_LINE_BYTES { AgentRequest::Invalid } else { AgentRequest::Incomplete };
    };
    let name = |b: &u8| b.is_ascii_alphanumeric() || b"-_./:".contains(b);
    match std::str::from_utf8(&bytes[..end.min(MAX_LINE_BYTES)]).map(str::trim) {
        Ok(word) if word.bytes().all(|b| name(&b)) => AgentRequest::Service(word.into()),
        _ => AgentRequest::Invalid,
    }
}
