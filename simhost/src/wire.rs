//! Converts between the simulator's text protocol and the events and actions of the balancer.

use std::fmt::Write as _;

use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::{deployment, name_hash};

/// A line that cannot be parsed.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedLine {
    /// Name of the message.
    pub message: String,
    /// Name of the invalid field.
    pub field: String,
    /// Reason why the field is invalid.
    pub reason: String,
    /// Number of the router, if the line has a valid one.
    pub router: Option<u32>,
}

impl std::fmt::Display for MalformedLine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}: {}", self.message, self.field, self.reason)
    }
}

/// Fields of a line, looked up by name. A text field is the last one and may contain spaces.
pub struct Fields<'a> {
    message: &'a str,
    rest: &'a str,
}

impl<'a> Fields<'a> {
    /// Splits a line into the message name and the fields.
    pub fn new(line: &'a str) -> Self {
        let (message, rest) = line.split_once(' ').unwrap_or((line, ""));
        Fields { message, rest }
    }

    /// Returns the name of the message.
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

    fn error(&self, field: &str, reason: impl Into<String>) -> MalformedLine {
        let (message, field, router) = (self.message.into(), field.into(), self.router().ok());
        MalformedLine { message, field, reason: reason.into(), router }
    }

    fn required(&self, name: &str) -> Result<&'a str, MalformedLine> {
        self.get(name).ok_or_else(|| self.error(name, "missing"))
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, MalformedLine> {
        self.required(name)?.parse().map_err(|_| self.error(name, "not a number in range"))
    }

    fn number_or<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, MalformedLine> {
        match self.get(name) {
            None => Ok(default),
            Some(value) => value.parse().map_err(|_| self.error(name, "not a number in range")),
        }
    }

    fn token_count(&self, name: &str) -> Result<u32, MalformedLine> {
        let count: f64 = self.number_or(name, 0.0)?;
        if !count.is_finite() || count < 0.0 {
            return Err(self.error(name, "not a number in range"));
        }
        Ok(count as u32)
    }

    fn flag(&self, name: &str) -> Result<bool, MalformedLine> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.error(name, "neither 0 nor 1")),
        }
    }

    fn numbers(&self, name: &str) -> Result<Vec<f64>, MalformedLine> {
        let Some(list) = self.get(name) else { return Ok(Vec::new()) };
        if list.is_empty() || list == "-" {
            return Ok(Vec::new());
        }
        // An empty value or `-` stands for an unknown value, which the balancer skips.
        let number =
            |value: &str| if value.is_empty() || value == "-" { Ok(f64::NAN) } else { value.parse::<f64>() };
        list.split(',')
            .map(|value| number(value).map_err(|_| self.error(name, "not a comma-separated list of numbers")))
            .collect()
    }

    /// Parses the number of the router in the field `Who`.
    pub fn router(&self) -> Result<u32, MalformedLine> {
        let message = || self.message.to_string();
        let error = |reason: &str| MalformedLine {
            message: message(),
            field: "Who".into(),
            reason: reason.into(),
            router: None,
        };
        let name = self.get("Who").ok_or_else(|| error("missing"))?;
        let number = name.strip_prefix("gateway-").and_then(|n| n.parse().ok());
        number.ok_or_else(|| error("not of the form gateway-NUMBER"))
    }

    fn outcome(&self) -> Result<Outcome, MalformedLine> {
        Ok(match self.required("How")? {
            "done" => Outcome::Completed,
            "err" => Outcome::ReplicaError,
            "busy" => Outcome::Rejected,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectionRefused,
            "econnreset" => Outcome::ConnectionReset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::NotSent,
            _ => return Err(self.error("How", "unknown outcome")),
        })
    }
}

/// Names of replicas by id, as one router received them.
#[derive(Default)]
pub struct ReplicaNames {
    by_id: FxHashMap<ReplicaId, String>,
}

impl ReplicaNames {
    fn id(&mut self, name: &str) -> ReplicaId {
        let id = name_hash::replica_id(name);
        self.by_id.entry(id).or_insert_with(|| name.to_string());
        id
    }

    fn name(&self, id: ReplicaId) -> &str {
        self.by_id.get(&id).map_or("?", String::as_str)
    }
}

/// Parses the time of a batch, in ns.
pub fn parse_batch_time(fields: &Fields) -> Result<Nanos, MalformedLine> {
    fields.number("WallNs")
}

/// Parses a row of a list event.
pub fn parse_row(line: &str, names: &mut ReplicaNames) -> Result<EndpointEntry, MalformedLine> {
    let fields = Fields::new(line);
    let state = match fields.required("Status")? {
        "0" => EndpointState::Gone,
        "1" => EndpointState::Ready,
        "2" => EndpointState::Draining,
        _ => return Err(fields.error("Status", "not one of 0, 1, 2")),
    };
    Ok(EndpointEntry {
        replica: names.id(fields.required("Replica")?),
        state,
        started_at: fields.number_or("LastStartNs", 0)?,
        zone: ZoneId(fields.number_or("FailureDomain", 0)?),
        cell: fields.number_or("Stripe", 0)?,
        kind: fields.number_or("ClassOfHost", 0)?,
    })
}

/// Parses the head of a list event: its kind and the number of rows that follow.
pub fn parse_list(fields: &Fields) -> Result<(ListUpdate, usize), MalformedLine> {
    let kind = match fields.required("Form")? {
        "0" => ListUpdate::Delta,
        "1" => ListUpdate::Full,
        "2" => ListUpdate::Cached,
        "3" => ListUpdate::Failed,
        _ => return Err(fields.error("Form", "not one of 0, 1, 2, 3")),
    };
    Ok((kind, fields.number_or("RowsIn", 0)?))
}

/// Parses a line with an event other than a list event. Returns `None` for an unknown message or timer.
pub fn parse_event(fields: &Fields, names: &mut ReplicaNames) -> Result<Option<Event>, MalformedLine> {
    Ok(Some(match fields.message() {
        "DEMAND" => Event::Request(Request {
            id: RequestId(fields.number("Ref")?),
            class: ClassId(fields.number("Kind")?),
            tenant: TenantId(fields.number_or("UserGroup", 0)?),
            time_left: fields.number("LeftNs")?,
            prompt_tokens: fields.token_count("NPrompt")?,
            prefix_tokens: fields.token_count("NPrefix")?,
            session: fields.get("Resource").map(|value| name_hash::session_key(value.as_bytes())),
            prefix: fields.get("PrefixId").map(|value| name_hash::prefix_key(value.as_bytes())),
            resumes_stream: fields.flag("Returned")?,
            is_client_retry: fields.flag("AgainByClient")?,
        }),
        "STREAMING" => Event::FirstToken {
            request: RequestId(fields.number("Ref")?),
            attempt: fields.number("N")?,
            elapsed: fields.number("DurationNs")?,
        },
        "FINISHED" => Event::AttemptEnded(AttemptEnded {
            request: RequestId(fields.number("Ref")?),
            attempt: fields.number("N")?,
            outcome: fields.outcome()?,
            elapsed: fields.number_or("DurationNs", 0)?,
            request_over: fields.flag("DoneFlag")?,
            // The simulator omits a zero, so a completed attempt without `Note` had no cached tokens.
            cached_tokens: Some(fields.token_count("Note")?).filter(|_| fields.get("How") == Some("done")),
            load: fields.numbers("Telemetry")?,
        }),
        "VANISHED" => Event::ClientLeft(RequestId(fields.number("Ref")?)),
        "WAKEUP" => match fields.required("KeyBack")?.parse() {
            Ok(token) => Event::Timer(token),
            Err(_) => return Ok(None), // The timer was not set by the balancer.
        },
        "PROBE_DONE" => Event::ProbeEnded {
            replica: names.id(fields.required("Replica")?),
            outcome: fields.outcome()?,
            load: fields.numbers("Telemetry")?,
        },
        "PEER" => Event::PeerMessage { from: PeerId(fields.number("From")?), bytes: parse_hex(fields)? },
        _ => return Ok(None),
    }))
}

fn parse_hex(fields: &Fields) -> Result<Vec<u8>, MalformedLine> {
    let digits = fields.required("Content")?.as_bytes();
    if digits == b"-" {
        return Ok(Vec::new());
    }
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    let byte = |pair: &[u8]| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?);
    digits
        .chunks(2)
        .map(|pair| byte(pair).ok_or_else(|| fields.error("Content", "not pairs of hex digits")))
        .collect()
}

/// Appends one action as a line.
pub fn write_action(router: u32, action: &Action, names: &ReplicaNames, output: &mut String) {
    let name = |replica: &ReplicaId| names.name(*replica);
    let result = match action {
        Action::Send { request, replica, timeout } => {
            let replica = name(replica);
            writeln!(
                output,
                "ISSUE Who=gateway-{router} Ref={} Replica={replica} LimitNs={timeout}",
                request.0
            )
        }
        Action::Reject { request, retry_after: 0, .. } => {
            writeln!(output, "REJECT Who=gateway-{router} Ref={}", request.0)
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(output, "REJECT Who=gateway-{router} Ref={} ComeBackNs={retry_after}", request.0)
        }
        Action::Fail(request) => writeln!(output, "LOSE Who=gateway-{router} Ref={}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(output, "REVOKE Who=gateway-{router} Ref={} N={attempt}", request.0)
        }
        Action::Probe(replica) => writeln!(output, "PROBE Who=gateway-{router} Replica={}", name(replica)),
        Action::WatchEndpoints => writeln!(output, "KEEP_INFORMED Who=gateway-{router} Active=1"),
        Action::Gossip(bytes) => write_peer_message(router, "*", bytes, output),
        Action::SendToPeer { peer, bytes } => write_peer_message(router, &peer.0.to_string(), bytes, output),
        Action::WakeAt { at, token } => {
            writeln!(output, "WAKE_AT Who=gateway-{router} DueAtNs={at} KeyBack={token}")
        }
    };
    result.expect("writing to a string");
}

/// Appends the report of an error in the name of a router as a line. The text has no line breaks.
pub fn write_broken(router: u32, text: &str, output: &mut String) {
    writeln!(output, "BROKEN Who=gateway-{router} NoteText={text}").expect("writing to a string");
}

fn write_peer_message(router: u32, receiver: &str, bytes: &[u8], output: &mut String) -> std::fmt::Result {
    write!(output, "TELL Who=gateway-{router} To={receiver} Content=")?;
    if bytes.is_empty() {
        output.push('-');
    }
    for byte in bytes {
        write!(output, "{byte:02x}")?;
    }
    writeln!(output)
}

/// Parses the seed and the settings of a new router.
pub fn parse_born(fields: &Fields) -> Result<(u64, Settings), MalformedLine> {
    let seed = fields.number("Nonce64")?;
    let text = fields.text("ProfileData").ok_or_else(|| fields.error("ProfileData", "missing"))?;
    let settings =
        deployment::parse(text).map_err(|e| fields.error("ProfileData", e.to_string()))?.decision_settings;
    Ok((seed, settings))
}

#[cfg(test)]
mod tests;
