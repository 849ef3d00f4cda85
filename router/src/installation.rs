//! The settings file of an installation, `--settings FILE`: its schema and the types that it is converted to. It has the
//! settings that the platform's configuration does not cover; `tallypin_settings_schema` parses it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tallypin::api::{ClassId, TenantId};
use tallypin::deployment::Deployment;
use tallypin_health::http_check::{HttpCheckPolicy, StatusCodes};
use tallypin_health::load_report::ReportFormat;
use tallypin_health::proxy_protocol::TrustedSenders;
use tallypin_health::{assessment, checkers, drain_sequence};
use tallypin_settings_schema::{
    check, closest_match, load, Checked, Directive, Entry, Kind, LoadLimits, Problem, Problems, Section,
};

use crate::balancer_interface::ProxyProtocolPolicy;
use crate::dialect::Dialect;
use crate::fleet::{self, settings::FleetSettings};
use crate::front::MessagesFront;
use crate::limits::Limits;
use crate::log::{self, LogSettings};

const HOUR_MS: u64 = 3_600_000;
const TIME: &[Kind] = &[Kind::Duration(1, HOUR_MS)];
const TIME_OR_0: &[Kind] = &[Kind::Duration(0, HOUR_MS)];
const SHARE: &[Kind] = &[Kind::Percent(0.0, 100.0)];
const STATUS: &[Kind] = &[Kind::Count(200, 599)];
const SWITCH: &[Kind] = &[Kind::Switch];

const LOG: Section = Section {
    name: "log",
    always_present: true,
    about: "what is logged, and how",
    directives: &[
        Directive::with("level", &[Kind::OneOf(&log::LEVELS)], &["info"], "of what no target names").live(),
        Directive::optional(
            "target",
            &[Kind::OneOf(&log::TARGETS), Kind::OneOf(&log::LEVELS)],
            "a part's level",
        )
        .many()
        .live(),
        Directive::with("form", &[Kind::OneOf(&["text", "json"])], &["text"], "the form of a line"),
        Directive::with(
            "queue",
            &[Kind::Count(16, 65_536)],
            &["1024"],
            "lines that may wait; more are dropped",
        ),
    ],
    sections: &[],
};

const MESSAGES: Section = Section {
    name: "messages",
    always_present: false,
    about: "the messages API",
    directives: &[
        Directive::required("listen", &[Kind::Address], "where it listens"),
        Directive::required("nodes", &[Kind::OneOf(&["chat", "messages"])], "the dialect of the model nodes"),
        Directive::optional("model", &[Kind::Text, Kind::Text], "a model, and its class").many(),
        Directive::required("partner-header", &[Kind::Field], "the field that names the partner"),
        Directive::optional("partner", &[Kind::Text, Kind::Text], "a value of it, and the partner").many(),
        Directive::optional("partner-otherwise", &[Kind::Text], "the partner of a request without it"),
        Directive::with("deadline-header", &[Kind::Field], &["x-deadline-ms"], "how long a client waits, ms"),
    ],
    sections: &[],
};

const AGENT: Section = Section {
    name: "agent",
    always_present: false,
    about: "agent checks: one line to each connection",
    directives: &[
        Directive::required("listen", &[Kind::Address], "where").live(),
        Directive::with("send-wait", TIME_OR_0, &["20ms"], "wait so long for a line that picks the service")
            .live(),
        Directive::with("maxconn", SWITCH, &["off"], "also tell how many connections are wanted").live(),
    ],
    sections: &[],
};

const HTTP: Section = Section {
    name: "http",
    always_present: false,
    about: "checks over HTTP",
    directives: &[
        Directive::required("listen", &[Kind::Address], "where").live(),
        Directive::with("paths", &[Kind::Text], &["/healthz"], "paths that answer, besides livez and readyz")
            .rest()
            .live(),
        Directive::with("methods", &[Kind::Text], &["GET", "HEAD", "OPTIONS"], "methods that are answered")
            .rest()
            .live(),
        Directive::with("degraded", STATUS, &["200"], "the status when degraded").live(),
        Directive::with(
            "drain",
            STATUS,
            &["503"],
            "in a drain; 404 for a balancer that takes it as soft stop",
        )
        .live(),
        Directive::with("maint", STATUS, &["503"], "in maintenance").live(),
        Directive::with("down", STATUS, &["503"], "when down").live(),
    ],
    sections: &[],
};

const GRPC: Section = Section {
    name: "grpc",
    always_present: false,
    about: "gRPC health checking, and load reports out of band",
    directives: &[
        Directive::required("listen", &[Kind::Address], "where").live(),
        Directive::with("watches", &[Kind::Count(1, 1024)], &["32"], "watches and report streams at once")
            .live(),
        Directive::with("reports", SWITCH, &["off"], "serve ORCA reports out of band").live(),
        Directive::with("report-least", TIME, &["100ms"], "the shortest interval of a report stream").live(),
        Directive::with("report-most", TIME, &["10s"], "the longest, and the usual one").live(),
    ],
    sections: &[],
};

const CHECKS: Section = Section {
    name: "checks",
    always_present: false,
    about: "what balancers in front may ask",
    directives: &[
        Directive::with("connections", &[Kind::Count(4, 4096)], &["32"], "check connections at once"),
        Directive::with("budget", TIME, &["500ms"], "a check must be whole, and answered, within this")
            .live(),
        Directive::with("idle", TIME, &["60s"], "a kept check connection may rest so long").live(),
        Directive::with("envoy", SWITCH, &["off"], "Envoy's health fields, on ordinary answers too").live(),
        Directive::with(
            "report",
            &[Kind::OneOf(&["off", "text", "json", "binary"])],
            &["off"],
            "an ORCA report on ordinary answers",
        )
        .live(),
    ],
    sections: &[AGENT, HTTP, GRPC],
};

const HEALTH: Section = Section {
    name: "health",
    always_present: true,
    about: "how state and weight are found",
    directives: &[
        Directive::with("every", TIME, &["100ms"], "measured so often"),
        Directive::with("floor", SHARE, &["1%"], "the least weight of a router that serves").live(),
        Directive::with("slow-start", TIME_OR_0, &["10s"], "from the floor to its weight after a start")
            .live(),
        Directive::with("step", SHARE, &["25%"], "the largest change of the weight a second").live(),
        Directive::with("band", &[Kind::Percent(0.0, 20.0)], &["4%"], "a smaller difference changes nothing")
            .live(),
        Directive::with("smooth", TIME_OR_0, &["1s"], "what is measured is smoothed over so long").live(),
        Directive::with("degraded-below", SHARE, &["50%"], "degraded below this weight").live(),
        Directive::with("dwell", TIME_OR_0, &["2s"], "a state is kept for so long at least").live(),
        Directive::with("tight", SHARE, &["25%"], "free shares above this are ample").live(),
        Directive::with("late", TIME, &["20ms"], "the thread may be so late without harm").live(),
        Directive::with("list-late", TIME, &["10s"], "the node list may be silent for so long").live(),
        Directive::with(
            "failures",
            &[Kind::Count(1, 100_000)],
            &["20"],
            "attempts without answer that are no chance",
        )
        .live(),
        Directive::with(
            "witness-after",
            TIME,
            &["6s"],
            "a witness has served so long after the own last answer",
        )
        .live(),
        Directive::with("witness-fresh", TIME, &["3s"], "and was heard within this").live(),
        Directive::with("retry", TIME, &["10s"], "a router that is down tries again after this").live(),
        Directive::with(
            "node-room",
            &[Kind::Count(1, 100_000)],
            &["16"],
            "open requests a warm node is worth",
        )
        .live(),
    ],
    sections: &[],
};

const DRAIN: Section = Section {
    name: "drain",
    always_present: true,
    about: "how a drain goes where balancers check",
    directives: &[
        Directive::with("least", TIME_OR_0, &["500ms"], "balancers are told for so long at least").live(),
        Directive::with("most", TIME, &["15s"], "and at the most").live(),
        Directive::with("settle", TIME_OR_0, &["200ms"], "from the last telling to the parting").live(),
        Directive::with("parting", TIME_OR_0, &["1s"], "answers say Connection: close for so long").live(),
        Directive::with(
            "times",
            &[Kind::Count(1, 20)],
            &["1"],
            "checks over HTTP or gRPC that must have seen it",
        )
        .live(),
        Directive::with(
            "intervals",
            &[Kind::Count(1, 20)],
            &["3"],
            "silent for so many: it has stopped asking",
        )
        .live(),
        Directive::with("unknown-interval", TIME, &["2s"], "of a balancer that asked only once").live(),
        Directive::with("longest-interval", TIME, &["30s"], "no interval is taken for longer").live(),
        Directive::with("askers", &[Kind::Count(1, 1024)], &["64"], "balancers that are known at once")
            .live(),
    ],
    sections: &[],
};

const CONTROL: Section = Section {
    name: "control",
    always_present: false,
    about: "the operator's orders, over a Unix socket",
    directives: &[
        Directive::required("socket", &[Kind::Path], "its path"),
        Directive::with("mode", &[Kind::Mode], &["0600"], "its permissions, which are its guard"),
    ],
    sections: &[],
};

const PROXY: Section = Section {
    name: "proxy-protocol",
    always_present: false,
    about: "connections that begin with a PROXY preface",
    directives: &[
        Directive::optional("from", &[Kind::Network], "networks of balancers that send it").many().live(),
        Directive::with("platform", SWITCH, &["off"], "on the platform's front").live(),
        Directive::with("messages", SWITCH, &["off"], "on the messages API").live(),
        Directive::with("checks", SWITCH, &["off"], "on the check listeners").live(),
        Directive::with("within", TIME, &["500ms"], "it must be whole within this").live(),
    ],
    sections: &[],
};

/// The schema of the settings file.
pub static SCHEMA: Section = Section {
    name: "",
    always_present: true,
    about: "",
    directives: &[],
    sections: &[LOG, MESSAGES, CHECKS, HEALTH, DRAIN, CONTROL, PROXY, fleet::settings::SECTION],
};

/// How health checks of balancers are served.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckSettings {
    /// Maximum number of open check connections.
    pub max_connections: usize,
    /// Time limit for receiving and answering a check.
    pub time_limit: Duration,
    /// Idle timeout of a check connection that is kept open.
    pub idle_timeout: Duration,
    /// Agent checks, if they are enabled.
    pub agent: Option<AgentSettings>,
    /// The address for checks over HTTP, if they are enabled.
    pub http: Option<SocketAddr>,
    /// How checks over HTTP are answered.
    pub http_policy: HttpCheckPolicy,
    /// The format of the load report on ordinary responses, if it is enabled.
    pub report_format: Option<ReportFormat>,
    /// gRPC health checking, if it is enabled.
    pub grpc: Option<GrpcSettings>,
}

/// How agent checks are served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgentSettings {
    /// The address for agent checks.
    pub listen: SocketAddr,
    /// How long to wait for a line that names the service.
    pub request_wait: Duration,
    /// Whether answers carry the maximum number of connections.
    pub maxconn: bool,
}

/// How gRPC health checking is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrpcSettings {
    /// The address for gRPC health checking.
    pub listen: SocketAddr,
    /// Maximum number of open watches and report streams.
    pub max_streams: usize,
    /// Minimum and maximum interval of out-of-band load reports, if they are enabled.
    pub report_intervals: Option<(Duration, Duration)>,
}

/// How health state and weight are determined.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Interval between assessments.
    pub interval: Duration,
    /// Limits that the assessment uses.
    pub assessment_limits: assessment::AssessmentLimits,
    /// Open requests that one warm replica has capacity for.
    pub requests_per_replica: usize,
    /// The timing of a drain.
    pub drain: drain_sequence::DrainTiming,
    /// Limits on the balancers that are tracked.
    pub checker_limits: checkers::CheckerLimits,
}

/// The operator's Unix socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Path of the socket.
    pub socket: PathBuf,
    /// File mode of the socket.
    pub mode: u32,
}

/// The settings of an installation.
#[derive(Debug, Clone)]
pub struct Installation {
    /// Logging.
    pub log: LogSettings,
    /// The messages API, if it is enabled.
    pub messages: Option<MessagesFront>,
    /// Health checks of balancers, if they are enabled.
    pub checks: Option<CheckSettings>,
    /// Health state, weight and drains.
    pub health: HealthSettings,
    /// The operator's socket, if it is enabled.
    pub control: Option<ControlSettings>,
    /// The fleet that the router belongs to, if there is one.
    pub fleet: Option<FleetSettings>,
    /// Which listeners require a PROXY header, and from which senders.
    pub proxy_policy: ProxyProtocolPolicy,
    /// The checked file, for printing and for comparison on reload.
    pub checked: Checked,
}

impl Installation {
    /// Reads the settings file. The classes and tenants that it names must exist in the deployment. Reports all problems.
    pub fn read(path: &Path, deployment: &Deployment) -> Result<Installation, Problems> {
        Installation::read_with(path, deployment, &|path| std::fs::read_to_string(path))
    }

    /// Like [`Installation::read`], with `read` as the file system.
    pub fn read_with(
        path: &Path,
        deployment: &Deployment,
        read: &dyn Fn(&Path) -> io::Result<String>,
    ) -> Result<Installation, Problems> {
        let (tree, sources, mut problems) = load(path, LoadLimits::default(), read);
        let checked = check(&tree, &SCHEMA, &mut problems);
        let installation = Installation::from_checked(checked, deployment, &mut problems);
        match problems.is_empty() {
            true => Ok(installation),
            false => Err(Problems::new(sources, problems)),
        }
    }

    fn from_checked(checked: Checked, deployment: &Deployment, problems: &mut Vec<Problem>) -> Installation {
        let section = |name: &str| checked.subsection(name);
        let health = health_settings(section("health"), section("drain"));
        let messages = section("messages").map(|s| messages_front(s, deployment, problems));
        let proxy_policy = section("proxy-protocol").map(|s| proxy_policy(s, problems)).unwrap_or_default();
        let checks = section("checks").map(|s| read_check_settings(s, problems));
        let control = section("control").map(|s| ControlSettings {
            socket: s.path("socket").map(PathBuf::from).unwrap_or_default(),
            mode: s.number("mode") as u32,
        });
        let fleet = section("fleet").map(|s| FleetSettings::from_section(s, problems));
        if let Some(span) = section("fleet").map(|s| s.span).filter(|_| control.is_none()) {
            problems.push(Problem::new(span, "section `fleet` requires section `control` for its orders"));
        }
        let log = section("log").map(log_settings).unwrap_or_default();
        Installation { log, messages, checks, health, control, fleet, proxy_policy, checked }
    }

    /// Reserves descriptors for checks, operator orders and the fleet; an error if fewer than two remain for clients.
    pub fn reserve(&self, limits: &mut Limits) -> Result<(), String> {
        let checks = self.checks.as_ref().map_or(0, |c| {
            let listeners = usize::from(c.agent.is_some()) + usize::from(c.http.is_some());
            c.max_connections + listeners + usize::from(c.grpc.is_some())
        });
        let fleet = self.fleet.as_ref().map_or(0, FleetSettings::descriptor_count);
        // The control socket needs a listener and four connections.
        let needed = checks + fleet + if self.control.is_some() { 5 } else { 0 };
        match limits.max_clients.checked_sub(needed).filter(|left| *left >= 2) {
            Some(left) => limits.max_clients = left,
            None => {
                return Err(format!(
                "too few file descriptors: {needed} for checks, orders and the fleet leave none for clients"
            ))
            }
        }
        Ok(())
    }
}

fn log_settings(s: &Checked) -> LogSettings {
    let level = |name: &str| log::parse_level(name).unwrap_or(tracing::level_filters::LevelFilter::INFO);
    LogSettings {
        level: level(s.text("level")),
        targets: s.entries_of("target").map(|e| (e.text(0).to_string(), level(e.text(1)))).collect(),
        json: s.text("form") == "json",
        queue: s.number("queue") as usize,
    }
}

/// The index of an argument in a list of names of the deployment; reports a name that the list does not have.
fn index_of(entry: &Entry, argument: usize, kind: &str, names: &[&str], problems: &mut Vec<Problem>) -> u32 {
    let name = entry.text(argument);
    names.iter().position(|n| *n == name).map_or_else(
        || {
            let mut problem =
                Problem::new(entry.span_of(argument + 1), format!("the deployment has no {kind} `{name}`"));
            problem.help = Some(match closest_match(name, names.iter().copied()) {
                Some(closest) => format!("did you mean `{closest}`?"),
                None => format!("known names: {}", names.join(", ")),
            });
            problems.push(problem);
            0
        },
        |index| index as u32,
    )
}

fn messages_front(s: &Checked, deployment: &Deployment, problems: &mut Vec<Problem>) -> MessagesFront {
    let classes: Vec<&str> = deployment.classes.iter().map(|c| c.name.as_str()).collect();
    let tenant_names: Vec<&str> = deployment.tenant_names.iter().map(String::as_str).collect();
    let mut models = BTreeMap::new();
    for e in s.entries_of("model") {
        models.insert(e.text(0).to_string(), ClassId(index_of(e, 1, "class", &classes, problems)));
    }
    if models.is_empty() {
        problems.push(Problem::new(s.span, "section `messages` has no `model`: it could serve no request"));
    }
    let mut tenants = BTreeMap::new();
    for e in s.entries_of("partner") {
        tenants.insert(e.text(0).to_string(), TenantId(index_of(e, 1, "partner", &tenant_names, problems)));
    }
    let default_tenant = s.entry("partner-otherwise");
    MessagesFront {
        listen: s.address("listen").unwrap_or(([127, 0, 0, 1], 0).into()),
        replica_dialect: if s.text("nodes") == "messages" { Dialect::Messages } else { Dialect::Chat },
        models,
        tenant_header: s.text("partner-header").to_string(),
        tenants,
        default_tenant: default_tenant.map(|e| TenantId(index_of(e, 0, "partner", &tenant_names, problems))),
        deadline_header: s.text("deadline-header").to_string(),
    }
}

/// The arguments of all entries of a directive, as text.
fn arguments(s: &Checked, name: &str) -> Vec<String> {
    s.entries_of(name).flat_map(|e| &e.values).map(ToString::to_string).collect()
}

fn read_check_settings(s: &Checked, problems: &mut Vec<Problem>) -> CheckSettings {
    let (agent, http, grpc) = (s.subsection("agent"), s.subsection("http"), s.subsection("grpc"));
    if agent.is_none() && http.is_none() && grpc.is_none() {
        problems.push(Problem::new(s.span, "section `checks` requires `agent`, `http` or `grpc`"));
    }
    let mut http_policy = HttpCheckPolicy { envoy: s.is_on("envoy"), ..HttpCheckPolicy::default() };
    if let Some(http) = http {
        let status = |name: &str| http.number(name) as u16;
        (http_policy.paths, http_policy.methods) = (arguments(http, "paths"), arguments(http, "methods"));
        http_policy.statuses = StatusCodes {
            degraded: status("degraded"),
            drain: status("drain"),
            maintenance: status("maint"),
            down: status("down"),
        };
        for e in http.entries_of("paths") {
            for (i, path) in e.values.iter().enumerate().filter(|(_, p)| !p.to_string().starts_with('/')) {
                problems
                    .push(Problem::new(e.span_of(i + 1), format!("path `{path}` must begin with a slash")));
            }
        }
        for name in ["drain", "maint", "down"] {
            if (200..400).contains(&status(name)) {
                let span = http.entry(name).map_or(s.span, |e| e.span_of(1));
                let text = format!("`{name}` must not be a 2xx or 3xx status: balancers read it as healthy");
                problems.push(Problem::new(span, text));
            }
        }
    }
    CheckSettings {
        max_connections: s.number("connections") as usize,
        time_limit: s.duration("budget"),
        idle_timeout: s.duration("idle"),
        agent: agent.and_then(|a| {
            let (request_wait, maxconn) = (a.duration("send-wait"), a.is_on("maxconn"));
            a.address("listen").map(|listen| AgentSettings { listen, request_wait, maxconn })
        }),
        http: http.and_then(|h| h.address("listen")),
        http_policy,
        report_format: ReportFormat::from_name(s.text("report")),
        grpc: grpc.and_then(|g| {
            let bounds = (g.duration("report-least"), g.duration("report-most"));
            let (max_streams, reports) = (g.number("watches") as usize, g.is_on("reports").then_some(bounds));
            g.address("listen").map(|listen| GrpcSettings { listen, max_streams, report_intervals: reports })
        }),
    }
}

fn health_settings(health: Option<&Checked>, drain: Option<&Checked>) -> HealthSettings {
    let mut settings = HealthSettings {
        interval: Duration::from_millis(100),
        assessment_limits: assessment::AssessmentLimits::default(),
        requests_per_replica: 16,
        drain: drain_sequence::DrainTiming::default(),
        checker_limits: checkers::CheckerLimits::default(),
    };
    if let Some(s) = health {
        settings.interval = s.duration("every");
        settings.requests_per_replica = s.number("node-room") as usize;
        settings.assessment_limits = assessment::AssessmentLimits {
            min_weight: s.share("floor"),
            slow_start: s.duration("slow-start"),
            max_change_per_s: s.share("step"),
            dead_band: s.share("band"),
            smoothing: s.duration("smooth"),
            degraded_below: s.share("degraded-below"),
            min_dwell: s.duration("dwell"),
            ample_free_share: s.share("tight"),
            max_event_loop_delay: s.duration("late"),
            max_list_silence: s.duration("list-late"),
            max_unanswered: s.number("failures"),
            peer_serving_after: s.duration("witness-after"),
            peer_report_max_age: s.duration("witness-fresh"),
            down_retry_after: s.duration("retry"),
        };
    }
    if let Some(s) = drain {
        settings.drain = drain_sequence::DrainTiming {
            min_notify: s.duration("least"),
            max_notify: s.duration("most"),
            settle: s.duration("settle"),
            close_connections: s.duration("parting"),
        };
        settings.checker_limits = checkers::CheckerLimits {
            max_checkers: s.number("askers") as usize,
            silent_intervals: s.number("intervals") as u32,
            default_interval: s.duration("unknown-interval"),
            max_interval: s.duration("longest-interval"),
            notifications: s.number("times") as u32,
        };
    }
    settings
}

fn proxy_policy(s: &Checked, problems: &mut Vec<Problem>) -> ProxyProtocolPolicy {
    let networks = s.networks("from");
    let proxy_policy = ProxyProtocolPolicy {
        platform: s.is_on("platform"),
        messages: s.is_on("messages"),
        checks: s.is_on("checks"),
        header_timeout: s.duration("within"),
        trusted_senders: TrustedSenders::new(networks.clone()),
    };
    if networks.is_empty() && (proxy_policy.platform || proxy_policy.messages || proxy_policy.checks) {
        problems.push(Problem::new(s.span, "section `proxy-protocol` is enabled but has no `from`"));
    }
    proxy_policy
}
