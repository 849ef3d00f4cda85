//! The bench's text wire, to and from the library's types. Nothing is decided here.

use std::fmt::Write as _;

use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::{deployment, name_hash};

/// What is wrong with a line: the field, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Malformed {
    /// The message.
    pub message: String,
    /// The field.
    pub field: String,
    /// Why it cannot be read.
    pub why: String,
    /// The instance, if the line names one.
    pub who: Option<u32>,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}: {}", self.message, self.field, self.why)
    }
}

/// A line's fields, looked up by name; a text field (the last one) may hold spaces.
pub struct Fields<'a> {
    message: &'a str,
    rest: &'a str,
}

impl<'a> Fields<'a> {
    /// Splits off the message name.
    pub fn new(line: &'a str) -> Self {
        let (message, rest) = line.split_once(' ').unwrap_or((line, ""));
        Fields { message, rest }
    }

    /// The name of the message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.rest.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        let at = self.rest.find(&format!("{name}="))?;
        Some(&self.rest[at + name.len() + 1..])
    }

    fn bad(&self, field: &str, why: impl Into<String>) -> Malformed {
        let (message, field, who) = (self.message.into(), field.into(), self.who().ok());
        Malformed { message, field, why: why.into(), who }
    }

    fn need(&self, name: &str) -> Result<&'a str, Malformed> {
        self.get(name).ok_or_else(|| self.bad(name, "missing"))
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, Malformed> {
        self.need(name)?.parse().map_err(|_| self.bad(name, "not a number in range"))
    }

    fn number_or<T: std::str::FromStr>(&self, name: &str, otherwise: T) -> Result<T, Malformed> {
        match self.get(name) {
            None => Ok(otherwise),
            Some(s) => s.parse().map_err(|_| self.bad(name, "not a number in range")),
        }
    }

    fn tokens(&self, name: &str) -> Result<u32, Malformed> {
        let x: f64 = self.number_or(name, 0.0)?;
        if !x.is_finite() || x < 0.0 {
            return Err(self.bad(name, "not a number in range"));
        }
        Ok(x as u32)
    }

    fn flag(&self, name: &str) -> Result<bool, Malformed> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.bad(name, "neither 0 nor 1")),
        }
    }

    fn row(&self, name: &str) -> Result<Vec<f64>, Malformed> {
        let Some(s) = self.get(name) else { return Ok(Vec::new()) };
        if s.is_empty() || s == "-" {
            return Ok(Vec::new());
        }
        // A value that is not there is written as nothing: unknown, so skipped by the module.
        let value = |x: &str| if x.is_empty() || x == "-" { Ok(f64::NAN) } else { x.parse::<f64>() };
        s.split(',').map(|x| value(x).map_err(|_| self.bad(name, "not a row of numbers"))).collect()
    }

    /// The number of the instance.
    pub fn who(&self) -> Result<u32, Malformed> {
        let message = || self.message.to_string();
        let bad =
            |why: &str| Malformed { message: message(), field: "Who".into(), why: why.into(), who: None };
        let name = self.get("Who").ok_or_else(|| bad("missing"))?;
        let number = name.strip_prefix("gateway-").and_then(|n| n.parse().ok());
        number.ok_or_else(|| bad("not gateway- and a number"))
    }

    fn outcome(&self) -> Result<Outcome, Malformed> {
        Ok(match self.need("How")? {
            "done" => Outcome::Completed,
            "err" => Outcome::ReplicaError,
            "busy" => Outcome::Rejected,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectionRefused,
            "econnreset" => Outcome::ConnectionReset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::NotSent,
            _ => return Err(self.bad("How", "unknown outcome")),
        })
    }
}

/// The replicas' names as an instance has heard them.
#[derive(Default)]
pub struct Names {
    by_id: FxHashMap<ReplicaId, String>,
}

impl Names {
    fn id(&mut self, name: &str) -> ReplicaId {
        let id = name_hash::replica_id(name);
        self.by_id.entry(id).or_insert_with(|| name.to_string());
        id
    }

    fn name(&self, id: ReplicaId) -> &str {
        self.by_id.get(&id).map_or("?", String::as_str)
    }
}

/// The clock of a batch.
pub fn parse_batch(f: &Fields) -> Result<Nanos, Malformed> {
    f.number("WallNs")
}

/// A row of a list event.
pub fn parse_row(line: &str, names: &mut Names) -> Result<EndpointEntry, Malformed> {
    let f = Fields::new(line);
    let state = match f.need("Status")? {
        "0" => EndpointState::Gone,
        "1" => EndpointState::Ready,
        "2" => EndpointState::Draining,
        _ => return Err(f.bad("Status", "none of 0, 1, 2")),
    };
    Ok(EndpointEntry {
        replica: names.id(f.need("Replica")?),
        state,
        started_at: f.number_or("LastStartNs", 0)?,
        zone: ZoneId(f.number_or("FailureDomain", 0)?),
        cell: f.number_or("Stripe", 0)?,
        kind: f.number_or("ClassOfHost", 0)?,
    })
}

/// The head of a list event: its kind and how many rows follow.
pub fn parse_list(f: &Fields) -> Result<(ListUpdate, usize), Malformed> {
    let kind = match f.need("Form")? {
        "0" => ListUpdate::Delta,
        "1" => ListUpdate::Full,
        "2" => ListUpdate::Cached,
        "3" => ListUpdate::Failed,
        _ => return Err(f.bad("Form", "none of 0, 1, 2, 3")),
    };
    Ok((kind, f.number_or("RowsIn", 0)?))
}

/// Any other event; `None` for a message that is not known.
pub fn parse_event(f: &Fields, names: &mut Names) -> Result<Option<Event>, Malformed> {
    Ok(Some(match f.message() {
        "DEMAND" => Event::Request(Request {
            id: RequestId(f.number("Ref")?),
            class: ClassId(f.number("Kind")?),
            tenant: TenantId(f.number_or("UserGroup", 0)?),
            time_left: f.number("LeftNs")?,
            prompt_tokens: f.tokens("NPrompt")?,
            prefix_tokens: f.tokens("NPrefix")?,
            session: f.get("Resource").map(|s| name_hash::session_key(s.as_bytes())),
            prefix: f.get("PrefixId").map(|s| name_hash::prefix_key(s.as_bytes())),
            resumes_stream: f.flag("Returned")?,
            is_client_retry: f.flag("AgainByClient")?,
        }),
        "STREAMING" => Event::FirstToken {
            request: RequestId(f.number("Ref")?),
            attempt: f.number("N")?,
            elapsed: f.number("DurationNs")?,
        },
        "FINISHED" => Event::AttemptEnded(AttemptEnded {
            request: RequestId(f.number("Ref")?),
            attempt: f.number("N")?,
            outcome: f.outcome()?,
            elapsed: f.number_or("DurationNs", 0)?,
            request_over: f.flag("DoneFlag")?,
            // A zero is not written: an answer without a note found nothing kept.
            cached_tokens: Some(f.tokens("Note")?).filter(|_| f.get("How") == Some("done")),
            load: f.row("Telemetry")?,
        }),
        "VANISHED" => Event::ClientLeft(RequestId(f.number("Ref")?)),
        "WAKEUP" => match f.need("KeyBack")?.parse() {
            Ok(token) => Event::Timer(token),
            Err(_) => return Ok(None), // Not one of ours.
        },
        "PROBE_DONE" => Event::ProbeEnded {
            replica: names.id(f.need("Replica")?),
            outcome: f.outcome()?,
            load: f.row("Telemetry")?,
        },
        "PEER" => Event::PeerMessage { from: PeerId(f.number("From")?), bytes: parse_hex(f)? },
        _ => return Ok(None),
    }))
}

fn parse_hex(f: &Fields) -> Result<Vec<u8>, Malformed> {
    let s = f.need("Content")?.as_bytes();
    if s == b"-" {
        return Ok(Vec::new());
    }
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let pair = |p: &[u8]| Some(digit(p[0])? << 4 | digit(*p.get(1)?)?);
    s.chunks(2).map(|p| pair(p).ok_or_else(|| f.bad("Content", "not hex digits"))).collect()
}

/// Appends one action as a line.
pub fn write_action(who: u32, action: &Action, names: &Names, to: &mut String) {
    let name = |r: &ReplicaId| names.name(*r);
    let written = match action {
        Action::Send { request, replica, timeout: limit } => {
            let replica = name(replica);
            writeln!(to, "ISSUE Who=gateway-{who} Ref={} Replica={replica} LimitNs={limit}", request.0)
        }
        Action::Reject { request, retry_after: 0, .. } => {
            writeln!(to, "REJECT Who=gateway-{who} Ref={}", request.0)
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(to, "REJECT Who=gateway-{who} Ref={} ComeBackNs={retry_after}", request.0)
        }
        Action::Fail(request) => writeln!(to, "LOSE Who=gateway-{who} Ref={}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(to, "REVOKE Who=gateway-{who} Ref={} N={attempt}", request.0)
        }
        Action::Probe(replica) => writeln!(to, "PROBE Who=gateway-{who} Replica={}", name(replica)),
        Action::WatchEndpoints => writeln!(to, "KEEP_INFORMED Who=gateway-{who} Active=1"),
        Action::Gossip(bytes) => {
            let _ = write!(to, "TELL Who=gateway-{who} To=* Content=");
            if bytes.is_empty() {
                to.push('-');
            }
            bytes.iter().for_each(|b| {
                let _ = write!(to, "{b:02x}");
            });
            writeln!(to)
        }
        Action::WakeAt { at, token } => {
            writeln!(to, "WAKE_AT Who=gateway-{who} DueAtNs={at} KeyBack={token}")
        }
    };
    written.expect("writing to a string");
}

/// What an instance is born with: its seed and settings.
pub fn parse_born(f: &Fields) -> Result<(u64, Settings), Malformed> {
    let seed = f.number("Nonce64")?;
    let text = f.text("ProfileData").ok_or_else(|| f.bad("ProfileData", "missing"))?;
    let settings = deployment::parse(text).map_err(|e| f.bad("ProfileData", e.to_string()))?.decisions;
    Ok((seed, settings))
}

#[cfg(test)]
mod tests;
