//! Messages of each health protocol: tables of cases, and property tests of the parsers with arbitrary bytes.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BytesMut;
use proptest::prelude::*;
use prost::Message;
use tallypin_health::agent_check::{
    parse_request, AdminState, AgentReply, AgentReplyError, AgentRequest, OperationalState,
};
use tallypin_health::assessment::{Assessment, HealthCause, HealthState};
use tallypin_health::exit_code::{exit_code, ExitCodeStyle};
use tallypin_health::grpc_health::{
    self, HealthCheckRequest, HealthCheckResponse, ServingStatus, WatchState,
};
use tallypin_health::http_check::{
    self, envoy_fields, parse_server_state, Component, HttpCheckPolicy, StatusCodes,
};
use tallypin_health::load_report::{OrcaLoadReport, OrcaLoadReportRequest, ProtoDuration, ReportFormat};
use tallypin_health::proxy_protocol::{self, ProxyHeader, TrustedSenders};

const STATES: [HealthState; 5] = [
    HealthState::Up,
    HealthState::Degraded,
    HealthState::Draining,
    HealthState::Maintenance,
    HealthState::Down,
];

fn assessment(state: HealthState) -> Assessment {
    Assessment { state, weight: 87, cause: HealthCause::Healthy }
}

#[test]
fn parses_agent_check_lines_as_specified() {
    let reply = |percent, maxconn, admin, operation, reason: Option<&str>| AgentReply {
        percent,
        maxconn,
        admin,
        operation,
        reason: reason.map(String::from),
    };
    for (line, expected) in [
        ("75%\n", reply(Some(75), None, None, None, None)),
        ("up ready 0%\r\n", reply(Some(0), None, Some(AdminState::Ready), Some(OperationalState::Up), None)),
        (
            "UP,READY\t300%\n",
            reply(Some(300), None, Some(AdminState::Ready), Some(OperationalState::Up), None),
        ),
        ("maxconn:30 drain\n", reply(None, Some(30), Some(AdminState::Drain), None, None)),
        ("maint\nup\n", reply(None, None, Some(AdminState::Maintenance), None, None)),
        (
            "down #no disk, no hope\n",
            reply(None, None, None, Some(OperationalState::Down), Some("no disk, no hope")),
        ),
        ("failed#x\n", reply(None, None, None, Some(OperationalState::Failed), Some("x"))),
        ("stopped\n", reply(None, None, None, Some(OperationalState::Stopped), None)),
        ("up #for nothing\n", reply(None, None, None, Some(OperationalState::Up), None)),
    ] {
        assert_eq!(AgentReply::parse(line.as_bytes(), false), Ok(expected), "{line:?}");
    }
    for (line, closed, expected) in [
        ("up", false, AgentReplyError::Incomplete),
        ("", true, AgentReplyError::Empty),
        (" ,\t\n", false, AgentReplyError::Empty),
        ("# only a reason\n", false, AgentReplyError::Empty),
        ("HTTP/1.1 200 OK\r\n", false, AgentReplyError::UnknownWord("HTTP/1.1".into())),
        ("-5%\n", false, AgentReplyError::UnknownWord("-5%".into())),
        ("99999%\n", false, AgentReplyError::UnknownWord("99999%".into())),
        ("maxconn: 3\n", false, AgentReplyError::UnknownWord("maxconn:".into())),
        ("maxconn:99999999999\n", false, AgentReplyError::UnknownWord("maxconn:99999999999".into())),
    ] {
        assert_eq!(AgentReply::parse(line.as_bytes(), closed), Err(expected), "{line:?}");
    }
    assert_eq!(AgentReply::parse("up".as_bytes(), true).map(|s| s.operation), Ok(Some(OperationalState::Up)));
    assert_eq!(AgentReply::parse(&[b'u'; 300], false), Err(AgentReplyError::TooLong));
}

#[test]
fn the_line_of_each_state_overrides_the_previous_one() {
    let lines = STATES.map(|s| AgentReply::from_assessment(&assessment(s), Some(40)).to_string());
    assert_eq!(
        lines,
        [
            "up ready 87% maxconn:40",
            "up ready 87% maxconn:40",
            "up drain",
            "stopped maint #well",
            "down ready #well"
        ]
    );
    assert_eq!(AgentReply::from_assessment(&assessment(HealthState::Up), None).to_string(), "up ready 87%");
    let injected = AgentReply::unknown_service("x\nup ready 100%\u{e9}").to_string();
    assert_eq!(
        injected, "failed #no service xup ready 100%",
        "a service name from outside must not end the line"
    );
}

#[test]
fn the_request_line_of_an_agent_check_selects_the_service() {
    for (bytes, expected) in [
        (&b""[..], AgentRequest::Incomplete),
        (b"messages", AgentRequest::Incomplete),
        (b"messages\n", AgentRequest::Service("messages".into())),
        (b" messages \r\nrest", AgentRequest::Service("messages".into())),
        (b"\n", AgentRequest::Service(String::new())),
        (b"GET / HTTP/1.1\r\n", AgentRequest::Invalid),
        (b"\x16\x03\x01\n", AgentRequest::Invalid),
        (&[b'x'; 300], AgentRequest::Invalid),
    ] {
        assert_eq!(parse_request(bytes), expected, "{bytes:?}");
    }
}

#[test]
fn http_checks_answer_by_path_method_and_state() {
    let statuses = StatusCodes { degraded: 200, drain: 404, maintenance: 503, down: 503 };
    let policy = HttpCheckPolicy { statuses, envoy: true, ..HttpCheckPolicy::default() };
    let components = [Component { name: "nodes", healthy: false, note: "0 of 3 warm".into() }];
    let answer = |method, target, accept, state| {
        policy.answer(http_check::CheckRequest { method, target, accept }, &assessment(state), &components)
    };
    let status = |target, state| answer("GET", target, None, state).map(|a| a.status);
    assert_eq!(STATES.map(|s| status("/healthz", s)), [200, 200, 404, 503, 503].map(Some));
    assert_eq!(STATES.map(|s| status("/readyz", s)), [200, 200, 404, 503, 503].map(Some));
    assert_eq!(STATES.map(|s| status("/livez", s)), [200; 5].map(Some), "a draining router is alive");
    assert_eq!(status("/health", HealthState::Up), None);
    assert_eq!(status("/healthz/x", HealthState::Up), None);
    let post = answer("POST", "/healthz", None, HealthState::Up).unwrap();
    assert!(post.status == 405 && post.fields.starts_with("Allow: GET, HEAD, OPTIONS\r\n"));
    let fields = |state| answer("GET", "/healthz?x", None, state).unwrap().fields;
    assert!(fields(HealthState::Draining).contains("x-envoy-immediate-health-check-fail: true\r\n"));
    assert!(fields(HealthState::Degraded).contains("x-envoy-degraded: true\r\n"));
    assert!(!fields(HealthState::Up).contains("envoy"));
    assert_eq!(answer("GET", "/readyz", None, HealthState::Up).unwrap().body, "ok\n");
    assert_eq!(
        answer("GET", "/readyz?verbose", None, HealthState::Down).unwrap().body,
        "[+]ping ok\n[-]nodes not well: 0 of 3 warm\nstate down 87%: well\nreadyz check failed\n"
    );
    let json = answer("GET", "/healthz", Some("application/health+json"), HealthState::Degraded).unwrap();
    let body: serde_json::Value = serde_json::from_str(&json.body).unwrap();
    assert_eq!((&body["status"], &body["checks"]["nodes"][0]["status"]), (&"warn".into(), &"warn".into()));
    assert_eq!(STATES.map(|s| envoy_fields(s).is_empty()), [true, false, false, false, false]);
}

#[test]
fn parses_the_server_state_of_a_balancer() {
    let value = "UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0";
    let server = parse_server_state(value).unwrap();
    assert_eq!((server.state.as_str(), server.weight), ("UP 2/3", Some((1, 2))));
    assert_eq!((server.name.as_deref(), server.node.as_deref()), (Some("bck/srv2"), Some("lb1")));
    assert_eq!(parse_server_state("NOLB; weight=x/y").map(|s| s.weight), Some(None));
    assert_eq!(parse_server_state(" ; name=x"), None);
}

#[test]
fn grpc_messages_are_encoded_as_specified() {
    // Encoded by hand by the rules of protocol buffers: field 1 with length 2 and `ab`, and field 1 with varint 1.
    let request = HealthCheckRequest { service: "ab".into() };
    assert_eq!(&grpc_health::encode_frame(&request)[..], b"\0\0\0\0\x04\x0a\x02ab");
    assert_eq!(&grpc_health::encode_frame(&HealthCheckResponse { status: 1 })[..], b"\0\0\0\0\x02\x08\x01");
    let mut buf = BytesMut::from(&b"\0\0\0\0\x04\x0a\x02a"[..]);
    assert_eq!(grpc_health::decode_frame::<HealthCheckRequest>(&mut buf), Ok(None));
    buf.extend_from_slice(b"b\0\0");
    assert_eq!(grpc_health::decode_frame(&mut buf), Ok(Some(request)));
    assert_eq!(&buf[..], b"\0\0");
    for (bytes, expected) in [
        (&b"\x01\0\0\0\0"[..], grpc_health::DecodeError::CompressedFrame),
        (b"\0\xff\xff\xff\xff", grpc_health::DecodeError::FrameTooLarge),
        (b"\0\0\0\0\x01\x0a", grpc_health::DecodeError::InvalidMessage),
    ] {
        assert_eq!(
            grpc_health::decode_frame::<HealthCheckRequest>(&mut BytesMut::from(bytes)),
            Err(expected)
        );
    }
    let services = ["messages".to_string()];
    let status = |service, state| grpc_health::service_status(service, &services, state);
    assert_eq!(status("", HealthState::Degraded), Some(ServingStatus::Serving));
    assert_eq!(status("messages", HealthState::Draining), Some(ServingStatus::NotServing));
    assert_eq!(status("letters", HealthState::Up), None);
}

#[test]
fn a_watch_sends_each_change_once_and_only_the_latest_status_to_a_slow_watcher() {
    let mut watch = WatchState::default();
    use ServingStatus::*;
    let responses: Vec<_> =
        [Serving, Serving, NotServing, NotServing, Serving].map(|s| watch.notify(s)).into();
    let statuses: Vec<_> = responses.into_iter().flatten().map(|r| r.status).collect();
    assert_eq!(statuses, [1, 2, 1]);
    // A change that was reversed before the watcher read it is not sent.
    assert_eq!(watch.notify(Serving), None);
}

#[test]
fn load_reports_are_formatted_as_specified() {
    let report = OrcaLoadReport {
        cpu_utilization: 0.25,
        application_utilization: 0.5,
        rps_fractional: 33.5,
        utilization: BTreeMap::from([("bodies".into(), 0.125)]),
        named_metrics: BTreeMap::from([("weight".into(), 0.75)]),
        ..OrcaLoadReport::default()
    };
    assert_eq!(
        report.header_field(ReportFormat::Text),
        "endpoint-load-metrics: TEXT cpu_utilization=0.25, application_utilization=0.5, \
         rps_fractional=33.5, utilization.bodies=0.125, named_metrics.weight=0.75\r\n"
    );
    assert!(report
        .header_field(ReportFormat::Json)
        .starts_with("endpoint-load-metrics: JSON {\"application_utilization\":0.5"));
    // Field 1 with 64 bits: 0.25.
    let cpu = OrcaLoadReport { cpu_utilization: 0.25, ..OrcaLoadReport::default() };
    assert_eq!(cpu.encode_to_vec(), [0x09, 0, 0, 0, 0, 0, 0, 0xd0, 0x3f]);
    assert_eq!(cpu.header_field(ReportFormat::Binary), "endpoint-load-metrics-bin: CQAAAAAAANA/\r\n");
    let request_every = |seconds, nanos| OrcaLoadReportRequest {
        report_interval: Some(ProtoDuration { seconds, nanos }),
        request_cost_names: Vec::new(),
    };
    let ms = Duration::from_millis;
    for (request, expected) in [
        (request_every(1, 500_000_000), ms(1500)),
        (request_every(0, 1_000_000), ms(100)),
        (request_every(0, 0), ms(10_000)),
        (request_every(-5, 0), ms(10_000)),
        (request_every(0, -1), ms(10_000)),
        (request_every(i64::MAX, 0), ms(10_000)),
        (OrcaLoadReportRequest::default(), ms(10_000)),
    ] {
        assert_eq!(request.interval(ms(100), ms(10_000)), expected, "{request:?}");
    }
}

#[test]
fn parses_proxy_headers_of_both_versions() {
    let v2 = |command: u8, family: u8, body: &[u8]| {
        let mut bytes = b"\r\n\r\n\0\r\nQUIT\n".to_vec();
        bytes.extend([0x20 | command, family]);
        bytes.extend((body.len() as u16).to_be_bytes());
        bytes.extend(body);
        bytes
    };
    let v4 = [192, 0, 2, 7, 127, 0, 0, 1, 0x1f, 0x90, 0, 80];
    let client = "192.0.2.7:8080".parse().unwrap();
    let line = b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n";
    let six = b"PROXY TCP6 2001:db8::7 ::1 8080 80\r\n";
    let from = |bytes: &[u8], addr| ProxyHeader::Proxied(bytes.len(), addr);
    for (bytes, expected) in [
        (line.to_vec(), from(line, client)),
        ([&line[..], b"GET / HTTP/1.1\r\n"].concat(), from(line, client)),
        ([&line[..], &[0xff, 0xfe]].concat(), from(line, client)),
        (six.to_vec(), from(six, "[2001:db8::7]:8080".parse().unwrap())),
        (b"PROXY UNKNOWN\r\n".to_vec(), ProxyHeader::Local(15)),
        (b"PROXY UNKNOWN ffff:f ::1 1 2\r\n".to_vec(), ProxyHeader::Local(30)),
        (b"PRO".to_vec(), ProxyHeader::Incomplete),
        (b"PROXY TCP4 192.0.2.7".to_vec(), ProxyHeader::Incomplete),
        (v2(1, 0x11, &v4), from(&v2(1, 0x11, &v4), client)),
        (v2(1, 0x11, &[&v4[..], &[4, 0, 1, 9]].concat()), ProxyHeader::Proxied(32, client)),
        (v2(0, 0x11, &v4), ProxyHeader::Local(28)),
        (v2(0, 0, &[]), ProxyHeader::Local(16)),
        (v2(1, 0, &[]), ProxyHeader::Local(16)),
        (v2(1, 0x11, &v4)[..20].to_vec(), ProxyHeader::Incomplete),
        (b"\r\n\r\n".to_vec(), ProxyHeader::Incomplete),
        (Vec::new(), ProxyHeader::Incomplete),
    ] {
        assert_eq!(proxy_protocol::parse(&bytes), expected, "{bytes:?}");
    }
    for bytes in [
        b"GET / HTTP/1.1\r\n".to_vec(),
        b"PROXY TCP4 192.0.2.700 127.0.0.1 8080 80\r\n".to_vec(),
        b"PROXY TCP4 192.0.2.7 127.0.0.1 80800 80\r\n".to_vec(),
        [b"PROXY ".to_vec(), vec![b'x'; 200]].concat(),
        v2(1, 0x11, &v4[..6]),
        v2(5, 0x11, &v4),
        b"\r\n\r\n\0\r\nQUIT\n\x21\x11\xff\xff".to_vec(),
    ] {
        assert!(matches!(proxy_protocol::parse(&bytes), ProxyHeader::Invalid(_)), "{bytes:?}");
    }
    let senders = TrustedSenders::new(vec!["127.0.0.0/8".parse().unwrap()]);
    for (ip, trust) in [("127.3.2.1", true), ("::ffff:127.0.0.1", true), ("10.0.0.1", false), ("::1", false)]
    {
        assert_eq!(senders.contains(ip.parse().unwrap()), trust, "{ip}");
    }
    assert!(!TrustedSenders::default().contains("127.0.0.1".parse().unwrap()), "trusts no sender by default");
}

#[test]
fn exit_codes_follow_the_chosen_style() {
    let codes = |style| STATES.map(|s| exit_code(style, s, 87));
    assert_eq!(codes(ExitCodeStyle::Plain), [0, 0, 1, 1, 1]);
    assert_eq!(codes(ExitCodeStyle::Weight), [89, 89, 2, 1, 1]);
    assert_eq!(
        (
            exit_code(ExitCodeStyle::Weight, HealthState::Up, 255),
            exit_code(ExitCodeStyle::Weight, HealthState::Up, 0)
        ),
        (102, 3)
    );
}

proptest! {
    /// A formatted agent check line parses to the same reply.
    #[test]
    fn agent_check_lines_round_trip(
        percent in proptest::option::of(0u16..=300),
        maxconn in proptest::option::of(0u32..),
        admin in proptest::sample::select(vec![
            None, Some(AdminState::Ready), Some(AdminState::Drain), Some(AdminState::Maintenance),
        ]),
        failing in any::<bool>(),
        reason in "[!-\"$-~]{1,20}",
    ) {
        let operation = Some(if failing { OperationalState::Down } else { OperationalState::Up });
        let reply = AgentReply { percent, maxconn, admin, operation, reason: failing.then_some(reason) };
        prop_assert_eq!(AgentReply::parse(format!("{reply}\n").as_bytes(), false), Ok(reply));
    }

    /// The parsers accept or reject any bytes without a panic, and a truncated PROXY header is incomplete.
    #[test]
    fn parsers_do_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..28) {
        let _ = (AgentReply::parse(&bytes, false), parse_request(&bytes), proxy_protocol::parse(&bytes));
        let with_signature = [&b"\r\n\r\n\0\r\nQUIT\n"[..], &bytes].concat();
        let line = [&b"PROXY "[..], &bytes].concat();
        let _ = (proxy_protocol::parse(&with_signature), proxy_protocol::parse(&line));
        let _ = parse_server_state(&String::from_utf8_lossy(&bytes));
        let _ = grpc_health::decode_frame::<HealthCheckRequest>(&mut BytesMut::from(&bytes[..]));
        let header = b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n";
        prop_assert_eq!(proxy_protocol::parse(&header[..cut]), ProxyHeader::Incomplete);
    }
}
