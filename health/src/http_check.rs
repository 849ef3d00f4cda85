//! Checks over HTTP: the status, header fields and body for a path, a method and a health state. Supports HAProxy's
//! `http-check`, Envoy's health headers, the `livez` and `readyz` pages of Kubernetes components, and
//! `application/health+json` (draft-inadarei-api-health-check-06).

use std::fmt::Write;

use serde_json::json;

use crate::assessment::{Assessment, HealthState};

/// The HTTP status codes by health state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusCodes {
    /// Status of a degraded router, which still serves.
    pub degraded: u16,
    /// Status of a draining router: 503, or 404 if the balancer treats that as a soft stop (`disable-on-404`).
    pub drain: u16,
    /// Status of a router in maintenance.
    pub maintenance: u16,
    /// Status of a router that is down.
    pub down: u16,
}

impl Default for StatusCodes {
    fn default() -> Self {
        StatusCodes { degraded: 200, drain: 503, maintenance: 503, down: 503 }
    }
}

/// The configuration of the responses to checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpCheckPolicy {
    /// Paths of the health page.
    pub paths: Vec<String>,
    /// Accepted methods.
    pub methods: Vec<String>,
    /// The HTTP status codes by health state.
    pub statuses: StatusCodes,
    /// Whether responses carry Envoy's health headers.
    pub envoy: bool,
}

impl Default for HttpCheckPolicy {
    fn default() -> Self {
        let strings = |list: &[&str]| list.iter().map(|s| s.to_string()).collect();
        HttpCheckPolicy {
            paths: strings(&["/healthz"]),
            methods: strings(&["GET", "HEAD", "OPTIONS"]),
            statuses: StatusCodes::default(),
            envoy: false,
        }
    }
}

/// The response to a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Header fields, each with its line end.
    pub fields: String,
    /// The body. For HEAD only its length is sent.
    pub body: String,
}

/// A component of the router that verbose pages list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Component {
    /// Name of the component.
    pub name: &'static str,
    /// Whether the component is healthy.
    pub healthy: bool,
    /// Short description of its state; may be empty.
    pub note: String,
}

/// The parts of an HTTP request that a check uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target: path and query.
    pub target: &'a str,
    /// The `Accept` header field.
    pub accept: Option<&'a str>,
}

const TEXT: &str = "Content-Type: text/plain; charset=utf-8\r\n";
const JSON: &str = "Content-Type: application/health+json\r\n";
/// The health changes at any time, so responses must not be cached.
const NO_STORE: &str = "Cache-Control: no-store\r\n";

/// Returns Envoy's health header field for any response, with its line end; empty if the router is up.
///
/// With `x-envoy-immediate-health-check-fail` a proxy takes the router out of service without waiting for its next check. With
/// `x-envoy-degraded` it prefers other routers.
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
    /// Returns the response to a check; `None` if the path is not a health page.
    pub fn answer(
        &self,
        request: CheckRequest,
        assessment: &Assessment,
        components: &[Component],
    ) -> Option<CheckResponse> {
        let (path, query) = request.target.split_once('?').unwrap_or((request.target, ""));
        let page = match path {
            "/livez" => CheckPage::Live,
            "/readyz" => CheckPage::Ready,
            path if self.paths.iter().any(|p| p == path) => CheckPage::Health,
            _ => return None,
        };
        if !self.methods.iter().any(|m| m == request.method) {
            let fields = format!("Allow: {}\r\n{TEXT}{NO_STORE}", self.methods.join(", "));
            return Some(CheckResponse { status: 405, fields, body: "method not allowed\n".into() });
        }
        let status = match (page, assessment.state) {
            // A draining router is alive: a restart by its supervisor would cut off requests in flight.
            (CheckPage::Live, _) | (_, HealthState::Up) => 200,
            (_, HealthState::Degraded) => self.statuses.degraded,
            (_, HealthState::Draining) => self.statuses.drain,
            (_, HealthState::Maintenance) => self.statuses.maintenance,
            (_, HealthState::Down) => self.statuses.down,
        };
        let json = request.accept.is_some_and(|a| a.contains("application/health+json"));
        let (content_type, body) = match page {
            CheckPage::Health if json => (JSON, health_json(assessment, components)),
            CheckPage::Health => (
                TEXT,
                format!("{} {}% {}\n", assessment.state, assessment.weight, assessment.cause.description()),
            ),
            CheckPage::Live | CheckPage::Ready => {
                (TEXT, self.kubernetes_page(page, query, status, assessment, components))
            }
        };
        let envoy = if self.envoy && page != CheckPage::Live { envoy_fields(assessment.state) } else { "" };
        Some(CheckResponse { status, fields: format!("{content_type}{NO_STORE}{envoy}"), body })
    }

    /// Returns the body of `/livez` or `/readyz`: `ok`, or a line per component on failure or with `?verbose`.
    fn kubernetes_page(
        &self,
        page: CheckPage,
        query: &str,
        status: u16,
        assessment: &Assessment,
        components: &[Component],
    ) -> String {
        let name = if page == CheckPage::Live { "livez" } else { "readyz" };
        let is_success = (200..300).contains(&status);
        let has_parameter =
            |name: &str| query.split('&').any(|p| p == name || p.starts_with(&format!("{name}=")));
        if !has_parameter("verbose") && is_success {
            return "ok\n".into();
        }
        let mut text = String::from("[+]ping ok\n");
        for component in components {
            let (mark, word) = if component.healthy { ('+', "ok") } else { ('-', "not well") };
            let note =
                if component.note.is_empty() { String::new() } else { format!(": {}", component.note) };
            let _ = writeln!(text, "[{mark}]{} {word}{note}", component.name);
        }
        let result = if is_success { "passed" } else { "failed" };
        let _ = writeln!(
            text,
            "state {} {}%: {}",
            assessment.state,
            assessment.weight,
            assessment.cause.description()
        );
        let _ = writeln!(text, "{name} check {result}");
        text
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckPage {
    Health,
    Live,
    Ready,
}

fn health_json(assessment: &Assessment, components: &[Component]) -> String {
    let status = match assessment.state {
        HealthState::Up => "pass",
        HealthState::Degraded => "warn",
        _ => "fail",
    };
    let entry = |c: &Component| {
        let status = if c.healthy { "pass" } else { "warn" };
        (c.name.to_string(), json!([{"status": status, "output": c.note}]))
    };
    let checks: serde_json::Map<_, _> = components.iter().map(entry).collect();
    let text = json!({
        "status": status, "version": "1", "output": assessment.cause.description(),
        "notes": [format!("state {}", assessment.state), format!("weight {}%", assessment.weight)],
        "checks": checks,
    });
    format!("{text}\n")
}

/// The server state that a balancer sends with its checks (HAProxy's `http-check send-state`).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerState {
    /// The server's state at the balancer: `UP 2/3`, `DOWN`, `NOLB`, `MAINT`, ...
    pub state: String,
    /// The server's name at the balancer, prefixed by the name of the backend.
    pub name: Option<String>,
    /// The balancer's name.
    pub node: Option<String>,
    /// The server's weight, and the total weight of the backend.
    pub weight: Option<(u32, u32)>,
}

/// Maximum length of the parsed header value, in bytes; the rest is ignored.
const MAX_SERVER_STATE_BYTES: usize = 512;

/// Parses the value of `X-Haproxy-Server-State`. Missing or malformed parameters are `None`, not an error.
pub fn parse_server_state(value: &str) -> Option<ServerState> {
    let value = value.get(..value.len().min(MAX_SERVER_STATE_BYTES))?;
    let mut parts = value.split(';').map(str::trim);
    let state = parts.next().filter(|s| !s.is_empty())?.to_string();
    let mut server = ServerState { state, ..ServerState::default() };
    for part in parts {
        match part.split_once('=') {
            Some(("name", name)) => server.name = Some(name.into()),
            Some(("node", node)) => server.node = Some(node.into()),
            Some(("weight", weight)) => {
                let pair = weight.split_once('/');
                server.weight = pair.and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
            }
            _ => {}
        }
    }
    Some(server)
}
