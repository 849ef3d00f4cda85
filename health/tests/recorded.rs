//! What a router says of its health in each protocol, for every state, weight and cause, recorded byte for byte.
#![allow(missing_docs)]

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::BTreeMap;

use prost::Message;
use recorded::{hex, Recording};
use tallypin_health::agent::Says;
use tallypin_health::exit::{code, Style};
use tallypin_health::grpc::{self, HealthCheckResponse, HealthListResponse, ServingStatus};
use tallypin_health::http::{Asked, Part, Policy, Statuses};
use tallypin_health::orca::{Form, OrcaLoadReport, OrcaLoadReportRequest, ProtoDuration};
use tallypin_health::state::{Assessment, Cause, State};

const STATES: [State; 5] = [State::Up, State::Degraded, State::Drain, State::Maint, State::Down];
const WEIGHTS: [u8; 4] = [1, 30, 87, 100];
const CAUSES: [Cause; 18] = [
    Cause::Well,
    Cause::Started,
    Cause::Ordered,
    Cause::Draining,
    Cause::Maintained,
    Cause::Ending,
    Cause::Late,
    Cause::Clients,
    Cause::Bodies,
    Cause::Links,
    Cause::Excluded,
    Cause::Refusing,
    Cause::Crowded,
    Cause::Cold,
    Cause::ListLate,
    Cause::NoNodes,
    Cause::Unanswered,
    Cause::Alone,
];

fn recording(name: &str) -> Recording {
    Recording::new(env!("CARGO_MANIFEST_DIR"), "", name)
}

/// Every state with every weight and the first cause, and with every cause at one weight.
fn assessments() -> Vec<Assessment> {
    let weights = STATES
        .iter()
        .flat_map(|&state| WEIGHTS.map(|weight| Assessment { state, weight, cause: Cause::Well }));
    let causes = STATES.iter().flat_map(|&state| CAUSES.map(|cause| Assessment { state, weight: 42, cause }));
    weights.chain(causes).collect()
}

/// The assessment in the program's own words, which are part of what is recorded.
fn title(of: &Assessment) -> String {
    format!("{} {}% {}", of.state, of.weight, of.cause.words())
}

#[test]
fn agent_lines_stay_as_they_were() {
    let mut recording = recording("agent.txt");
    for now in assessments() {
        let lines = [None, Some(40)].map(|maxconn| format!("{}\n", Says::of(&now, maxconn)));
        recording.case(&title(&now), &lines.concat());
    }
    for service in ["letters", "", "a b", "x\nup ready 100%\u{e9}", &"long".repeat(40)] {
        recording.case(&format!("unknown {service:?}"), &format!("{}\n", Says::unknown(service)));
    }
    recording.finish();
}

#[test]
fn http_answers_stay_as_they_were() {
    let mut recording = recording("http.txt");
    let parts = [
        Part { name: "nodes", well: false, note: "0 of 3 warm".into() },
        Part { name: "list", well: true, note: String::new() },
        Part { name: "thread", well: true, note: "\"0\" ms \\ late".into() },
    ];
    let statuses = Statuses { degraded: 207, drain: 404, maint: 503, down: 500 };
    let paths = vec!["/healthz".to_string(), "/up".to_string()];
    let policies = [
        ("usual", Policy::default()),
        ("changed", Policy { statuses, paths, envoy: true, ..Policy::default() }),
    ];
    let json = Some("application/health+json");
    let asked = [
        ("GET", "/healthz", None),
        ("GET", "/healthz", json),
        ("HEAD", "/healthz", None),
        ("OPTIONS", "/healthz?x=1", Some("text/plain, application/health+json;q=0.5")),
        ("POST", "/healthz", None),
        ("GET", "/up", None),
        ("GET", "/livez", None),
        ("GET", "/livez?verbose", None),
        ("GET", "/readyz", json),
        ("GET", "/readyz?verbose", None),
        ("GET", "/readyz?a&verbose=1", None),
        ("GET", "/none", None),
    ];
    for (policy_name, policy) in &policies {
        for state in STATES {
            let now = Assessment { state, weight: 87, cause: Cause::Crowded };
            for (method, target, accept) in asked {
                let answer = policy.answer(Asked { method, target, accept }, &now, &parts);
                let text = answer.map_or("none\n".into(), |a| {
                    format!("{}\n{}\\r\\n\n{}", a.status, a.fields.replace("\r\n", "\\r\\n\n"), a.body)
                });
                let accept = accept.unwrap_or("nothing");
                recording.case(&format!("{policy_name} {state}: {method} {target}, accepts {accept}"), &text);
            }
        }
    }
    recording.finish();
}

#[test]
fn grpc_messages_stay_as_they_were() {
    let mut recording = recording("grpc.txt");
    for status in [
        ServingStatus::Unknown,
        ServingStatus::Serving,
        ServingStatus::NotServing,
        ServingStatus::ServiceUnknown,
    ] {
        let framed = grpc::frame(&HealthCheckResponse { status: status as i32 });
        recording.case(&format!("check response {}", status as i32), &format!("{}\n", hex(&framed)));
    }
    let services = ["platform".to_string(), "messages".to_string()];
    for state in STATES {
        let statuses = ["", "platform", "messages", "letters"].map(|service| {
            format!("{service:?} {:?}\n", grpc::status(service, &services, state).map(|s| s as i32))
        });
        recording.case(&format!("status of services, {state}"), &statuses.concat());
        let status = ServingStatus::from(state) as i32;
        let all = services.iter().cloned().chain([String::new()]);
        let statuses = all.map(|name| (name, HealthCheckResponse { status })).collect();
        let framed = grpc::frame(&HealthListResponse { statuses });
        recording.case(&format!("list response, {state}"), &format!("{}\n", hex(&framed)));
    }
    recording.finish();
}

#[test]
fn load_reports_stay_as_they_were() {
    let mut recording = recording("orca.txt");
    let whole = OrcaLoadReport {
        cpu_utilization: 0.25,
        mem_utilization: 0.125,
        application_utilization: 1.5,
        rps_fractional: 33.5,
        eps: 0.001,
        utilization: BTreeMap::from([("clients".into(), 0.1), ("links".into(), 0.0)]),
        named_metrics: BTreeMap::from([
            ("late_ms".into(), 12.345),
            ("open".into(), 7.0),
            ("usable".into(), 1.0),
        ]),
    };
    let odd = OrcaLoadReport {
        cpu_utilization: f64::NAN,
        eps: f64::INFINITY,
        rps_fractional: 1e300,
        ..whole.clone()
    };
    for (name, report) in [("empty", OrcaLoadReport::default()), ("whole", whole), ("odd", odd)] {
        for (form_name, form) in [("text", Form::Text), ("json", Form::Json), ("binary", Form::Binary)] {
            assert_eq!(Form::named(form_name), Some(form));
            recording.case(&format!("{name}, {form_name}"), &report.field(form).replace("\r\n", "\\r\\n\n"));
        }
        recording.case(&format!("{name}, framed"), &format!("{}\n", hex(&grpc::frame(&report))));
    }
    for (seconds, nanos) in [(0, 0), (1, 500_000_000), (-1, 0), (0, -1), (600, 0)] {
        let request = OrcaLoadReportRequest {
            report_interval: Some(ProtoDuration { seconds, nanos }),
            request_cost_names: vec!["x".into()],
        };
        let interval =
            request.interval(std::time::Duration::from_millis(100), std::time::Duration::from_secs(10));
        let text = format!("{}\n{} ns\n", hex(&request.encode_to_vec()), interval.as_nanos());
        recording.case(&format!("request for every {seconds} s {nanos} ns"), &text);
    }
    recording.finish();
}

#[test]
fn exit_codes_stay_as_they_were() {
    let mut recording = recording("exit.txt");
    for state in STATES {
        for weight in [0, 1, 42, 100, 255] {
            let codes = [Style::Plain, Style::Weight].map(|style| code(style, state, weight));
            recording
                .case(&format!("{state} {weight}"), &format!("plain {}, by weight {}\n", codes[0], codes[1]));
        }
    }
    recording.finish();
}
