//! Checks over HTTP: which status, fields and body answer a path, a method and a state. The words of
//! HAProxy's `http-check`, Envoy's health headers, the `livez`/`readyz` pages of Kubernetes components and
//! `application/health+json` (draft-inadarei-api-health-check-06).

use std::fmt::Write;

use serde_json::json;

use crate::state::{Assessment, State};

/// Statuses by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statuses {
    /// Degraded; it still serves.
    pub degraded: u16,
    /// Drain: 503, or 404 where the balancer takes that for a soft stop (`disable-on-404`).
    pub drain: u16,
    /// Maintenance.
    pub maint: u16,
    /// Down.
    pub down: u16,
}

impl Default for Statuses {
    fn default() -> Self {
        Statuses { degraded: 200, drain: 503, maint: 503, down: 503 }
    }
}

/// How checks are answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Paths that answer for the router.
    pub paths: Vec<String>,
    /// Methods that are answered.
    pub methods: Vec<String>,
    /// Statuses by state.
    pub statuses: Statuses,
    /// Envoy's fields are told.
    pub envoy: bool,
}

impl Default for Policy {
    fn default() -> Self {
        let words = |all: &[&str]| all.iter().map(|w| w.to_string()).collect();
        Policy {
            paths: words(&["/healthz"]),
            methods: words(&["GET", "HEAD", "OPTIONS"]),
            statuses: Statuses::default(),
            envoy: false,
        }
    }
}

/// An answer to a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Fields, each with its line end.
    pub fields: String,
    /// The body; left out for HEAD, its length is told all the same.
    pub body: String,
}

/// One named part of a verbose page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub name: &'static str,
    /// It is well.
    pub well: bool,
    /// What else there is to say, in a few words.
    pub note: String,
}

/// A request as far as a check goes by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The `Accept` field.
    pub accept: Option<&'a str>,
}

const TEXT: &str = "Content-Type: text/plain; charset=utf-8\r\n";
const JSON: &str = "Content-Type: application/health+json\r\n";
/// What is told of now is not true later.
const FRESH: &str = "Cache-Control: no-store\r\n";

/// Fields of Envoy that any answer may carry: by the first a proxy takes the router out at once, without
/// waiting for its next check; by the second it prefers others.
pub fn envoy_fields(state: State) -> &'static str {
    match state {
        State::Up => "",
        State::Degraded => "x-envoy-degraded: true\r\n",
        State::Drain | State::Maint | State::Down => "x-envoy-immediate-health-check-fail: true\r\n",
    }
}

impl Policy {
    /// The answer to a check; `None`: this is none of its paths.
    pub fn answer(&self, asked: Asked, now: &Assessment, parts: &[Part]) -> Option<Answer> {
        let (path, query) = asked.target.split_once('?').unwrap_or((asked.target, ""));
        let page = match path {
            "/livez" => Page::Live,
            "/readyz" => Page::Ready,
            path if self.paths.iter().any(|p| p == path) => Page::Health,
            _ => return None,
        };
        if !self.methods.iter().any(|m| m == asked.method) {
            let fields = format!("Allow: {}\r\n{TEXT}{FRESH}", self.methods.join(", "));
            return Some(Answer { status: 405, fields, body: "method not allowed\n".into() });
        }
        let status = match (page, now.state) {
            // A router that drains lives: to have it killed would cut off what it finishes.
            (Page::Live, _) | (_, State::Up) => 200,
            (_, State::Degraded) => self.statuses.degraded,
            (_, State::Drain) => self.statuses.drain,
            (_, State::Maint) => self.statuses.maint,
            (_, State::Down) => self.statuses.down,
        };
        let json = asked.accept.is_some_and(|a| a.contains("application/health+json"));
        let (kind, body) = match page {
            Page::Health if json => (JSON, health_json(now, parts)),
            Page::Health => (TEXT, format!("{} {}% {}\n", now.state, now.weight, now.cause.words())),
            Page::Live | Page::Ready => (TEXT, self.verbose(page, query, status, now, parts)),
        };
        let envoy = if self.envoy && page != Page::Live { envoy_fields(now.state) } else { "" };
        Some(Answer { status, fields: format!("{kind}{FRESH}{envoy}"), body })
    }

    /// The page of a component: a word, or a line for each part where `?verbose` asks for it.
    fn verbose(&self, page: Page, query: &str, status: u16, now: &Assessment, parts: &[Part]) -> String {
        let name = if page == Page::Live { "livez" } else { "readyz" };
        let well = (200..300).contains(&status);
        let asked = |word: &str| query.split('&').any(|p| p == word || p.starts_with(&format!("{word}=")));
        if !asked("verbose") && well {
            return "ok\n".into();
        }
        let mut text = String::from("[+]ping ok\n");
        for part in parts {
            let (mark, word) = if part.well { ('+', "ok") } else { ('-', "not well") };
            let note = if part.note.is_empty() { String::new() } else { format!(": {}", part.note) };
            let _ = writeln!(text, "[{mark}]{} {word}{note}", part.name);
        }
        let passed = if well { "passed" } else { "failed" };
        let _ = writeln!(text, "state {} {}%: {}", now.state, now.weight, now.cause.words());
        let _ = writeln!(text, "{name} check {passed}");
        text
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Page {
    Health,
    Live,
    Ready,
}

fn health_json(now: &Assessment, parts: &[Part]) -> String {
    let status = match now.state {
        State::Up => "pass",
        State::Degraded => "warn",
        _ => "fail",
    };
    let part = |p: &Part| {
        let status = if p.well { "pass" } else { "warn" };
        (p.name.to_string(), json!([{"status": status, "output": p.note}]))
    };
    let checks: serde_json::Map<_, _> = parts.iter().map(part).collect();
    let text = json!({
        "status": status, "version": "1", "output": now.cause.words(),
        "notes": [format!("state {}", now.state), format!("weight {}%", now.weight)],
        "checks": checks,
    });
    format!("{text}\n")
}

/// What a balancer says of itself with its checks (HAProxy's `http-check send-state`).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SentState {
    /// How it holds the server: `UP 2/3`, `DOWN`, `NOLB`, `MAINT`, ...
    pub state: String,
    /// The server's name there, backend first.
    pub name: Option<String>,
    /// The balancer's name.
    pub node: Option<String>,
    /// The weight in use and that of the whole backend.
    pub weight: Option<(u32, u32)>,
}

/// The longest state that is read.
const SENT: usize = 512;

/// Reads the field `X-Haproxy-Server-State`; what it does not say is left out, never an error.
pub fn sent_state(value: &str) -> Option<SentState> {
    let value = value.get(..value.len().min(SENT))?;
    let mut parts = value.split(';').map(str::trim);
    let state = parts.next().filter(|s| !s.is_empty())?.to_string();
    let mut sent = SentState { state, ..SentState::default() };
    for part in parts {
        match part.split_once('=') {
            Some(("name", name)) => sent.name = Some(name.into()),
            Some(("node", node)) => sent.node = Some(node.into()),
            Some(("weight", weight)) => {
                let pair = weight.split_once('/');
                sent.weight = pair.and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
            }
            _ => {}
        }
    }
    Some(sent)
}
