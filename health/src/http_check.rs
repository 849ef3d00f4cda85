//! Checks over HTTP: which status, fields and body answer a path, a method and a state. The words of
//! HAProxy's `http-check`, Envoy's health headers, the `livez`/`readyz` pages of Kubernetes components and
//! `application/health+json` (draft-inadarei-api-health-check-06).

use std::fmt::Write;

use serde_json::json;

use crate::assessment::{Assessment, HealthState};

/// StatusCodes by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusCodes {
    /// Degraded; it still serves.
    pub degraded: u16,
    /// Drain: 503, or 404 where the balancer takes that for a soft stop (`disable-on-404`).
    pub drain: u16,
    /// Maintenance.
    pub maintenance: u16,
    /// Down.
    pub down: u16,
}

impl Default for StatusCodes {
    fn default() -> Self {
        StatusCodes { degraded: 200, drain: 503, maintenance: 503, down: 503 }
    }
}

/// How checks are answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpCheckPolicy {
    /// Paths that answer for the router.
    pub paths: Vec<String>,
    /// Methods that are answered.
    pub methods: Vec<String>,
    /// StatusCodes by state.
    pub statuses: StatusCodes,
    /// Envoy's fields are told.
    pub envoy: bool,
}

impl Default for HttpCheckPolicy {
    fn default() -> Self {
        let words = |all: &[&str]| all.iter().map(|w| w.to_string()).collect();
        HttpCheckPolicy {
            paths: words(&["/healthz"]),
            methods: words(&["GET", "HEAD", "OPTIONS"]),
            statuses: StatusCodes::default(),
            envoy: false,
        }
    }
}

/// An answer to a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckResponse {
    /// The status.
    pub status: u16,
    /// Fields, each with its line end.
    pub fields: String,
    /// The body; left out for HEAD, its length is told all the same.
    pub body: String,
}

/// One named part of a verbose page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Component {
    /// Its name.
    pub name: &'static str,
    /// It is well.
    pub healthy: bool,
    /// What else there is to say, in a few words.
    pub note: String,
}

/// A request as far as a check goes by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckRequest<'a> {
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
pub fn envoy_fields(state: HealthState) -> &'static str {
    match state {
        HealthState::Up => "",
        HealthState::Degraded => "x-envoy-degraded: true\r\n",
        HealthState::Draining | HealthState::Maintenance | HealthState::Down => {
            "x-envoy-immediate-health-check-fail: true\r\n"
        }
    }
}

impl HttpCheckPolicy {
    /// The answer to a check; `None`: this is none of its paths.
    pub fn answer(
        &self,
        asked: CheckRequest,
        now: &Assessment,
        parts: &[Component],
    ) -> Option<CheckResponse> {
        let (path, query) = asked.target.split_once('?').unwrap_or((asked.target, ""));
        let page = match path {
            "/livez" => CheckPage::Live,
            "/readyz" => CheckPage::Ready,
            path if self.paths.iter().any(|p| p == path) => CheckPage::Health,
            _ => return None,
        };
        if !self.methods.iter().any(|m| m == asked.method) {
            let fields = format!("Allow: {}\r\n{TEXT}{FRESH}", self.methods.join(", "));
            return Some(CheckResponse { status: 405, fields, body: "method not allowed\n".into() });
        }
        let status = match (page, now.state) {
            // A router that drains lives: to have it killed would cut off what it finishes.
            (CheckPage::Live, _) | (_, HealthState::Up) => 200,
            (_, HealthState::Degraded) => self.statuses.degraded,
            (_, HealthState::Draining) => self.statuses.drain,
            (_, HealthState::Maintenance) => self.statuses.maintenance,
            (_, HealthState::Down) => self.statuses.down,
        };
        let json = asked.accept.is_some_and(|a| a.contains("application/health+json"));
        let (kind, body) = match page {
            CheckPage::Health if json => (JSON, health_json(now, parts)),
            CheckPage::Health => {
                (TEXT, format!("{} {}% {}\n", now.state, now.weight, now.cause.description()))
            }
            CheckPage::Live | CheckPage::Ready => (TEXT, self.verbose(page, query, status, now, parts)),
        };
        let envoy = if self.envoy && page != CheckPage::Live { envoy_fields(now.state) } else { "" };
        Some(CheckResponse { status, fields: format!("{kind}{FRESH}{envoy}"), body })
    }

    /// The page of a component: a word, or a line for each part where `?verbose` asks for it.
    fn verbose(
        &self,
        page: CheckPage,
        query: &str,
        status: u16,
        now: &Assessment,
        parts: &[Component],
    ) -> String {
        let name = if page == CheckPage::Live { "livez" } else { "readyz" };
        let well = (200..300).contains(&status);
        let asked = |word: &str| query.split('&').any(|p| p == word || p.starts_with(&format!("{word}=")));
        if !asked("verbose") && well {
            return "ok\n".into();
        }
        let mut text = String::from("[+]ping ok\n");
        for part in parts {
            let (mark, word) = if part.healthy { ('+', "ok") } else { ('-', "not well") };
            let note = if part.note.is_empty() { String::new() } else { format!(": {}", part.note) };
            let _ = writeln!(text, "[{mark}]{} {word}{note}", part.name);
        }
        let passed = if well { "passed" } else { "failed" };
        let _ = writeln!(text, "state {} {}%: {}", now.state, now.weight, now.cause.description());
        let _ = writeln!(text, "{name} check {passed}");
        text
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckPage {
    Health,
    Live,
    Ready,
}

fn health_json(now: &Assessment, parts: &[Component]) -> String {
    let status = match now.state {
        HealthState::Up => "pass",
        HealthState::Degraded => "warn",
        _ => "fail",
    };
    let part = |p: &Component| {
        let status = if p.healthy { "pass" } else { "warn" };
        (p.name.to_string(), json!([{"status": status, "output": p.note}]))
    };
    let checks: serde_json::Map<_, _> = parts.iter().map(part).collect();
    let text = json!({
        "status": status, "version": "1", "output": now.cause.description(),
        "notes": [format!("state {}", now.state), format!("weight {}%", now.weight)],
        "checks": checks,
    });
    format!("{text}\n")
}

/// What a balancer says of itself with its checks (HAProxy's `http-check send-state`).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerState {
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
const MAX_SERVER_STATE_BYTES: usize = 512;

/// Reads the field `X-Haproxy-Server-State`; what it does not say is left out, never an error.
pub fn parse_server_state(value: &str) -> Option<ServerState> {
    let value = value.get(..value.len().min(MAX_SERVER_STATE_BYTES))?;
    let mut parts = value.split(';').map(str::trim);
    let state = parts.next().filter(|s| !s.is_empty())?.to_string();
    let mut sent = ServerState { state, ..ServerState::default() };
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
