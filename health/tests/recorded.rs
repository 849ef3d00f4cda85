//! Compares the health messages of each protocol with recorded files, for all states, weights and causes, byte for byte.
#![allow(missing_docs)]

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::BTreeMap;

use prost::Message;
use recorded::{hex, Recording};
use tallypin_health::agent_check::AgentReply;
use tallypin_health::assessment::{Assessment, HealthCause, HealthState};
use tallypin_health::exit_code::{exit_code, ExitCodeStyle};
use tallypin_health::grpc_health::{self, HealthCheckResponse, HealthListResponse, ServingStatus};
use tallypin_health::http_check::{CheckRequest, Component, HttpCheckPolicy, StatusCodes};
use tallypin_health::load_report::{OrcaLoadReport, OrcaLoadReportRequest, ProtoDuration, ReportFormat};

const STATES: [HealthState; 5] = [
    HealthState::Up,
    HealthState::Degraded,
    HealthState::Draining,
    HealthState::Maintenance,
    HealthState::Down,
];
const WEIGHTS: [u8; 4] = [1, 30, 87, 100];
const CAUSES: [HealthCause; 18] = [
    HealthCause::Healthy,
    HealthCause::SlowStart,
    HealthCause::OperatorWeight,
    HealthCause::OperatorDrain,
    HealthCause::OperatorMaintenance,
    HealthCause::ShuttingDown,
    HealthCause::EventLoopLate,
    HealthCause::ClientSlotsExhausted,
    HealthCause::BodyBudgetExhausted,
    HealthCause::ReplicaConnectionsExhausted,
    HealthCause::ReplicasEjected,
    HealthCause::SheddingLoad,
    HealthCause::AtCapacity,
    HealthCause::ReplicasWarmingUp,
    HealthCause::EndpointListLate,
    HealthCause::NoReadyReplica,
    HealthCause::ReplicasUnresponsive,
    HealthCause::IsolatedFromReplicas,
];

fn recording(name: &str) -> Recording {
    Recording::new(env!("CARGO_MANIFEST_DIR"), "", name)
}

/// Returns every state with every weight and the first cause, and every state with every cause at one weight.
fn assessments() -> Vec<Assessment> {
    let weights = STATES
        .iter()
        .flat_map(|&state| WEIGHTS.map(|weight| Assessment { state, weight, cause: HealthCause::Healthy }));
    let causes = STATES.iter().flat_map(|&state| CAUSES.map(|cause| Assessment { state, weight: 42, cause }));
    weights.chain(causes).collect()
}

/// Returns the title of an assessment's case. The descriptions of states and causes are part of the recorded text.
fn title(assessment: &Assessment) -> String {
    format!("{} {}% {}", assessment.state, assessment.weight, assessment.cause.description())
}

#[test]
fn agent_check_lines_are_as_recorded() {
    let mut recording = recording("agent.txt");
    for assessment in assessments() {
        let lines = [None, Some(40)]
            .map(|maxconn| format!("{}\n", AgentReply::from_assessment(&assessment, maxconn)));
        recording.case(&title(&assessment), &lines.concat());
    }
    for service in ["letters", "", "a b", "x\nup ready 100%\u{e9}", &"long".repeat(40)] {
        recording
            .case(&format!("unknown {service:?}"), &format!("{}\n", AgentReply::unknown_service(service)));
    }
    recording.finish();
}

#[test]
fn http_answers_are_as_recorded() {
    let mut recording = recording("http.txt");
    let components = [
        Component { name: "nodes", healthy: false, note: "0 of 3 warm".into() },
        Component { name: "list", healthy: true, note: String::new() },
        Component { name: "thread", healthy: true, note: "\"0\" ms \\ late".into() },
    ];
    let statuses = StatusCodes { degraded: 207, drain: 404, maintenance: 503, down: 500 };
    let paths = vec!["/healthz".to_string(), "/up".to_string()];
    let policies = [
        ("usual", HttpCheckPolicy::default()),
        ("changed", HttpCheckPolicy { statuses, paths, envoy: true, ..HttpCheckPolicy::default() }),
    ];
    let json = Some("application/health+json");
    let requests = [
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
            let assessment = Assessment { state, weight: 87, cause: HealthCause::AtCapacity };
            for (method, target, accept) in requests {
                let answer = policy.answer(CheckRequest { method, target, accept }, &assessment, &components);
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
fn grpc_messages_are_as_recorded() {
    let mut recording = recording("grpc.txt");
    for status in [
        ServingStatus::Unknown,
        ServingStatus::Serving,
        ServingStatus::NotServing,
        ServingStatus::ServiceUnknown,
    ] {
        let framed = grpc_health::encode_frame(&HealthCheckResponse { status: status as i32 });
        recording.case(&format!("check response {}", status as i32), &format!("{}\n", hex(&framed)));
    }
    let services = ["platform".to_string(), "messages".to_string()];
    for state in STATES {
        let statuses = ["", "platform", "messages", "letters"].map(|service| {
            format!(
                "{service:?} {:?}\n",
                grpc_health::service_status(service, &services, state).map(|s| s as i32)
            )
        });
        recording.case(&format!("status of services, {state}"), &statuses.concat());
        let status = ServingStatus::from(state) as i32;
        let all = services.iter().cloned().chain([String::new()]);
        let statuses = all.map(|name| (name, HealthCheckResponse { status })).collect();
        let framed = grpc_health::encode_frame(&HealthListResponse { statuses });
        recording.case(&format!("list response, {state}"), &format!("{}\n", hex(&framed)));
    }
    recording.finish();
}

#[test]
fn load_reports_are_as_recorded() {
    let mut recording = recording("orca.txt");
    let complete = OrcaLoadReport {
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
    let non_finite = OrcaLoadReport {
        cpu_utilization: f64::NAN,
        eps: f64::INFINITY,
        rps_fractional: 1e300,
        ..complete.clone()
    };
    for (name, report) in [("empty", OrcaLoadReport::default()), ("whole", complete), ("odd", non_finite)] {
        for (form_name, form) in
            [("text", ReportFormat::Text), ("json", ReportFormat::Json), ("binary", ReportFormat::Binary)]
        {
            assert_eq!(ReportFormat::from_name(form_name), Some(form));
            recording.case(
                &format!("{name}, {form_name}"),
                &report.header_field(form).replace("\r\n", "\\r\\n\n"),
            );
        }
        recording
            .case(&format!("{name}, framed"), &format!("{}\n", hex(&grpc_health::encode_frame(&report))));
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
fn exit_codes_are_as_recorded() {
    let mut recording = recording("exit.txt");
    for state in STATES {
        for weight in [0, 1, 42, 100, 255] {
            let codes =
                [ExitCodeStyle::Plain, ExitCodeStyle::Weight].map(|style| exit_code(style, state, weight));
            recording
                .case(&format!("{state} {weight}"), &format!("plain {}, by weight {}\n", codes[0], codes[1]));
        }
    }
    recording.finish();
}
