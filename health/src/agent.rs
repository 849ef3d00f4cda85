//! The agent check of HAProxy: one line of words, as the `agent-check` keyword of its configuration manual
//! (section 5.2) describes them. Written for routers, read for the stand-in balancer and the check program.

use std::fmt;

use crate::state::{Assessment, State};

/// The administrative state that a line asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admin {
    /// Take back an earlier `drain` or `maint`.
    Ready,
    /// Only sessions that are there already.
    Drain,
    /// No traffic and no checks.
    Maint,
}

/// The operational state that a line tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
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
pub struct Says {
    /// The share of the weight that stands in the balancer's configuration, percent.
    pub percent: Option<u16>,
    /// The most connections.
    pub maxconn: Option<u32>,
    /// The administrative state.
    pub admin: Option<Admin>,
    /// The operational state,
    pub operation: Option<Operation>,
    /// and why: only beside `down`, `failed` and `stopped`.
    pub reason: Option<String>,
}

/// The longest line that is read; HAProxy's own buffer is far larger, and no line needs it.
pub const LONGEST: usize = 256;
/// The longest reason that is written.
const REASON: usize = 80;

/// Why a line can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unread {
    /// It has no end yet.
    Open,
    /// It is longer than any.
    Long,
    /// This word is none of the grammar.
    Word(String),
    /// It holds no word.
    Empty,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::Open => write!(f, "the line has no end"),
            Unread::Long => write!(f, "the line is longer than {LONGEST} bytes"),
            Unread::Word(word) => write!(f, "`{word}` is no word of an agent check"),
            Unread::Empty => write!(f, "the line is empty"),
        }
    }
}

impl Says {
    /// Reads a line: it ends at the first CR or LF, its words are parted by spaces, tabs or commas. `closed`: no
    /// more will come, which ends it too.
    pub fn read(bytes: &[u8], closed: bool) -> Result<Says, Unread> {
        let end = bytes.iter().position(|b| matches!(b, b'\r' | b'\n'));
        let line = match end {
            Some(end) if end <= LONGEST => &bytes[..end],
            None if bytes.len() <= LONGEST && closed => bytes,
            None if bytes.len() <= LONGEST => return Err(Unread::Open),
            _ => return Err(Unread::Long),
        };
        let line = String::from_utf8_lossy(line);
        // The reason runs to the end of the line, spaces and all.
        let (words, reason) = match line.split_once('#') {
            Some((words, reason)) => (words, Some(reason.trim().to_string())),
            None => (&line[..], None),
        };
        let mut says = Says::default();
        let mut any = false;
        for word in words.split([' ', '\t', ',']).filter(|w| !w.is_empty()) {
            any = true;
            says.word(word)?;
        }
        if !any {
            return Err(Unread::Empty);
        }
        let failing = !matches!(says.operation, None | Some(Operation::Up));
        says.reason = reason.filter(|r| failing && !r.is_empty());
        Ok(says)
    }

    fn word(&mut self, word: &str) -> Result<(), Unread> {
        let number = |digits: &str| -> Option<u32> {
            digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
        };
        let bad = || Unread::Word(word.chars().take(40).collect());
        if let Some(digits) = word.strip_suffix('%') {
            let percent = number(digits).and_then(|n| u16::try_from(n).ok());
            self.percent = Some(percent.ok_or_else(bad)?);
        } else if let Some(digits) = word.strip_prefix("maxconn:") {
            self.maxconn = Some(number(digits).ok_or_else(bad)?);
        } else {
            match word.to_ascii_lowercase().as_str() {
                "ready" => self.admin = Some(Admin::Ready),
                "drain" => self.admin = Some(Admin::Drain),
                "maint" => self.admin = Some(Admin::Maint),
                "up" => self.operation = Some(Operation::Up),
                "down" => self.operation = Some(Operation::Down),
                "failed" => self.operation = Some(Operation::Failed),
                "stopped" => self.operation = Some(Operation::Stopped),
                _ => return Err(bad()),
            }
        }
        Ok(())
    }

    /// What a router says. `maxconn` is told where settings ask for it.
    pub fn of(assessment: &Assessment, maxconn: Option<u32>) -> Says {
        let Assessment { state, weight, cause } = *assessment;
        let (admin, operation) = match state {
            // Both words, always: a balancer keeps an earlier `drain` or `down` until the word that takes it
            // back comes.
            State::Up | State::Degraded => (Admin::Ready, Operation::Up),
            // Up: what it has is to be finished, not cut off.
            State::Drain => (Admin::Drain, Operation::Up),
            State::Maint => (Admin::Maint, Operation::Stopped),
            State::Down => (Admin::Ready, Operation::Down),
        };
        let failing = operation != Operation::Up;
        Says {
            percent: state.serves().then_some(u16::from(weight)),
            maxconn: maxconn.filter(|_| state.serves()),
            admin: Some(admin),
            operation: Some(operation),
            reason: failing.then(|| cause.words().to_string()),
        }
    }

    /// What is said of something that is not known here.
    pub fn unknown(service: &str) -> Says {
        let reason = format!("no service {service}");
        Says { operation: Some(Operation::Failed), reason: Some(reason), ..Says::default() }
    }
}

impl fmt::Display for Says {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operation = self.operation.map(|o| match o {
            Operation::Up => "up",
            Operation::Down => "down",
            Operation::Failed => "failed",
            Operation::Stopped => "stopped",
        });
        let admin = self.admin.map(|a| match a {
            Admin::Ready => "ready",
            Admin::Drain => "drain",
            Admin::Maint => "maint",
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
            let plain = reason.chars().filter(|c| c.is_ascii_graphic() || *c == ' ').take(REASON);
            write!(f, " #{}", plain.collect::<String>())?;
        }
        Ok(())
    }
}

/// The line that a balancer may send first: what it asks about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// No end yet.
    Open,
    /// The name of a service; empty: the router.
    Service(String),
    /// No name of anything.
    Bad,
}

/// Reads it. An HTTP request by mistake, or noise, is told from a name.
pub fn asked(bytes: &[u8]) -> Asked {
    let Some(end) = bytes.iter().position(|b| matches!(b, b'\r' | b'\n')) else {
        return if bytes.len() > LONGEST { Asked::Bad } else { Asked::Open };
    };
    let name = |b: &u8| b.is_ascii_alphanumeric() || b"-_./:".contains(b);
    match std::str::from_utf8(&bytes[..end.min(LONGEST)]).map(str::trim) {
        Ok(word) if word.bytes().all(|b| name(&b)) => Asked::Service(word.into()),
        _ => Asked::Bad,
    }
}
