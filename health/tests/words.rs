//! The words of each protocol: tables of cases, and parsers under arbitrary bytes.
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

fn now(state: HealthState) -> Assessment {
    Assessment { state, weight: 87, cause: HealthCause::Healthy }
}

#[test]
fn agent_lines_are_read_as_the_manual_has_them() {
    let says = |percent, maxconn, admin, operation, reason: Option<&str>| AgentReply {
        percent,
        maxconn,
        admin,
        operation,
        reason: reason.map(String::from),
    };
    for (line, want) in [
        ("75%\n", says(Some(75), None, None, None, None)),
        ("up ready 0%\r\n", says(Some(0), None, Some(AdminState::Ready), Some(OperationalState::Up), None)),
        (
            "UP,READY\t300%\n",
            says(Some(300), None, Some(AdminState::Ready), Some(OperationalState::Up), None),
        ),
        ("maxconn:30 drain\n", says(None, Some(30), Some(AdminState::Drain), None, None)),
        ("maint\nup\n", says(None, None, Some(AdminState::Maintenance), None, None)),
        (
            "down #no disk, no hope\n",
            says(None, None, None, Some(OperationalState::Down), Some("no disk, no hope")),
        ),
        ("failed#x\n", says(None, None, None, Some(OperationalState::Failed), Some("x"))),
        ("stopped\n", says(None, None, None, Some(OperationalState::Stopped), None)),
        ("up #for nothing\n", says(None, None, None, Some(OperationalState::Up), None)),
    ] {
        assert_eq!(AgentReply::parse(line.as_bytes(), false), Ok(want), "{line:?}");
    }
    for (line, closed, want) in [
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
        assert_eq!(AgentReply::parse(line.as_bytes(), closed), Err(want), "{line:?}");
    }
    assert_eq!(AgentReply::parse("up".as_bytes(), true).map(|s| s.operation), Ok(Some(OperationalState::Up)));
    assert_eq!(AgentReply::parse(&[b'u'; 300], false), Err(AgentReplyError::TooLong));
}

#[test]
fn each_state_takes_back_what_the_ones_before_it_said() {
    let lines = STATES.map(|s| AgentReply::from_assessment(&now(s), Some(40)).to_string());
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
    assert_eq!(AgentReply::from_assessment(&now(HealthState::Up), None).to_string(), "up ready 87%");
    let sly = AgentReply::unknown_service("x\nup ready 100%\u{e9}").to_string();
    assert_eq!(sly, "failed #no service xup ready 100%", "what comes from outside ends no line");
}

#[test]
fn what_a_balancer_sends_first_picks_the_service() {
    for (bytes, want) in [
        (&b""[..], AgentRequest::Incomplete),
        (b"messages", AgentRequest::Incomplete),
        (b"messages\n", AgentRequest::Service("messages".into())),
        (b" messages \r\nrest", AgentRequest::Service("messages".into())),
        (b"\n", AgentRequest::Service(String::new())),
        (b"GET / HTTP/1.1\r\n", AgentRequest::Invalid),
        (b"\x16\x03\x01\n", AgentRequest::Invalid),
        (&[b'x'; 300], AgentRequest::Invalid),
    ] {
        assert_eq!(parse_request(bytes), want, "{bytes:?}");
    }
}

#[test]
fn http_checks_answer_by_path_method_and_state() {
    let statuses = StatusCodes { degraded: 200, drain: 404, maintenance: 503, down: 503 };
    let policy = HttpCheckPolicy { statuses, envoy: true, ..HttpCheckPolicy::default() };
    let parts = [Component { name: "nodes", healthy: false, note: "0 of 3 warm".into() }];
    let ask = |method, target, accept, state| {
        policy.answer(http_check::CheckRequest { method, target, accept }, &now(state), &parts)
    };
    let status = |target, state| ask("GET", target, None, state).map(|a| a.status);
    assert_eq!(STATES.map(|s| status("/healthz", s)), [200, 200, 404, 503, 503].map(Some));
    assert_eq!(STATES.map(|s| status("/readyz", s)), [200, 200, 404, 503, 503].map(Some));
    assert_eq!(STATES.map(|s| status("/livez", s)), [200; 5].map(Some), "to drain is to live");
    assert_eq!(status("/health", HealthState::Up), None);
    assert_eq!(status("/healthz/x", HealthState::Up), None);
    let post = ask("POST", "/healthz", None, HealthState::Up).unwrap();
    assert!(post.status == 405 && post.fields.starts_with("Allow: GET, HEAD, OPTIONS\r\n"));
    let fields = |state| ask("GET", "/healthz?x", None, state).unwrap().fields;
    assert!(fields(HealthState::Draining).contains("x-envoy-immediate-health-check-fail: true\r\n"));
    assert!(fields(HealthState::Degraded).contains("x-envoy-degraded: true\r\n"));
    assert!(!fields(HealthState::Up).contains("envoy"));
    assert_eq!(ask("GET", "/readyz", None, HealthState::Up).unwrap().body, "ok\n");
    assert_eq!(
        ask("GET", "/readyz?verbose", None, HealthState::Down).unwrap().body,
        "[+]ping ok\n[-]nodes not well: 0 of 3 warm\nstate down 87%: well\nreadyz check failed\n"
    );
    let json = ask("GET", "/healthz", Some("application/health+json"), HealthState::Degraded).unwrap();
    let body: serde_json::Value = serde_json::from_str(&json.body).unwrap();
    assert_eq!((&body["status"], &body["checks"]["nodes"][0]["status"]), (&"warn".into(), &"warn".into()));
    assert_eq!(STATES.map(|s| envoy_fields(s).is_empty()), [true, false, false, false, false]);
}

#[test]
fn the_state_that_a_balancer_sends_is_read() {
    let value = "UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0";
    let sent = parse_server_state(value).unwrap();
    assert_eq!((sent.state.as_str(), sent.weight), ("UP 2/3", Some((1, 2))));
    assert_eq!((sent.name.as_deref(), sent.node.as_deref()), (Some("bck/srv2"), Some("lb1")));
    assert_eq!(parse_server_state("NOLB; weight=x/y").map(|s| s.weight), Some(None));
    assert_eq!(parse_server_state(" ; name=x"), None);
}

#[test]
fn grpc_messages_have_the_bytes_of_the_specification() {
    // From the encoding rules of protocol buffers by hand: field 1, length 2, `ab`; and field 1, varint 1.
    let request = HealthCheckRequest { service: "ab".into() };
    assert_eq!(&grpc_health::encode_frame(&request)[..], b"\0\0\0\0\x04\x0a\x02ab");
    assert_eq!(&grpc_health::encode_frame(&HealthCheckResponse { status: 1 })[..], b"\0\0\0\0\x02\x08\x01");
    let mut buf = BytesMut::from(&b"\0\0\0\0\x04\x0a\x02a"[..]);
    assert_eq!(grpc_health::decode_frame::<HealthCheckRequest>(&mut buf), Ok(None));
    buf.extend_from_slice(b"b\0\0");
    assert_eq!(grpc_health::decode_frame(&mut buf), Ok(Some(request)));
    assert_eq!(&buf[..], b"\0\0");
    for (bytes, want) in [
        (&b"\x01\0\0\0\0"[..], grpc_health::DecodeError::CompressedFrame),
        (b"\0\xff\xff\xff\xff", grpc_health::DecodeError::FrameTooLarge),
        (b"\0\0\0\0\x01\x0a", grpc_health::DecodeError::InvalidMessage),
    ] {
        assert_eq!(grpc_health::decode_frame::<HealthCheckRequest>(&mut BytesMut::from(bytes)), Err(want));
    }
    let services = ["messages".to_string()];
    let status = |service, state| grpc_health::service_status(service, &services, state);
    assert_eq!(status("", HealthState::Degraded), Some(ServingStatus::Serving));
    assert_eq!(status("messages", HealthState::Draining), Some(ServingStatus::NotServing));
    assert_eq!(status("letters", HealthState::Up), None);
}

#[test]
fn a_watch_tells_each_change_once_and_a_slow_one_the_newest() {
    let mut watch = WatchState::default();
    use ServingStatus::*;
    let told: Vec<_> = [Serving, Serving, NotServing, NotServing, Serving].map(|s| watch.notify(s)).into();
    let statuses: Vec<_> = told.into_iter().flatten().map(|r| r.status).collect();
    assert_eq!(statuses, [1, 2, 1]);
    // Away while it changed there and back: nothing has changed for this watcher.
    assert_eq!(watch.notify(Serving), None);
}

#[test]
fn load_reports_have_the_form_of_the_specification() {
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
    // Field 1, 64 bits: 0.25.
    let cpu = OrcaLoadReport { cpu_utilization: 0.25, ..OrcaLoadReport::default() };
    assert_eq!(cpu.encode_to_vec(), [0x09, 0, 0, 0, 0, 0, 0, 0xd0, 0x3f]);
    assert_eq!(cpu.header_field(ReportFormat::Binary), "endpoint-load-metrics-bin: CQAAAAAAANA/\r\n");
    let asked = |seconds, nanos| OrcaLoadReportRequest {
        report_interval: Some(ProtoDuration { seconds, nanos }),
        request_cost_names: Vec::new(),
    };
    let ms = Duration::from_millis;
    for (request, want) in [
        (asked(1, 500_000_000), ms(1500)),
        (asked(0, 1_000_000), ms(100)),
        (asked(0, 0), ms(10_000)),
        (asked(-5, 0), ms(10_000)),
        (asked(0, -1), ms(10_000)),
        (asked(i64::MAX, 0), ms(10_000)),
        (OrcaLoadReportRequest::default(), ms(10_000)),
    ] {
        assert_eq!(request.interval(ms(100), ms(10_000)), want, "{request:?}");
    }
}

#[test]
fn prefaces_of_both_versions_are_read() {
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
    for (bytes, want) in [
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
        assert_eq!(proxy_protocol::parse(&bytes), want, "{bytes:?}");
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
    for (ip, sends) in [("127.3.2.1", true), ("::ffff:127.0.0.1", true), ("10.0.0.1", false), ("::1", false)]
    {
        assert_eq!(senders.contains(ip.parse().unwrap()), sends, "{ip}");
    }
    assert!(!TrustedSenders::default().contains("127.0.0.1".parse().unwrap()), "nobody, unless it is said");
}

#[test]
fn exit_codes_of_both_styles() {
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
    /// What is written is read back to the same, whatever stands in it.
    #[test]
    fn agent_lines_read_back(
        percent in proptest::option::of(0u16..=300),
        maxconn in proptest::option::of(0u32..),
        admin in proptest::sample::select(vec![None, Some(AdminState::Ready), Some(AdminState::Drain), Some(AdminState::Maintenance)]),
        failing in any::<bool>(),
        reason in "[!-\"$-~]{1,20}",
    ) {
        let operation = Some(if failing { OperationalState::Down } else { OperationalState::Up });
        let says = AgentReply { percent, maxconn, admin, operation, reason: failing.then_some(reason) };
        prop_assert_eq!(AgentReply::parse(format!("{says}\n").as_bytes(), false), Ok(says));
    }

    /// Whatever comes is read or refused; a preface cut anywhere is one to be waited for.
    #[test]
    fn no_bytes_make_a_parser_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..28) {
        let _ = (AgentReply::parse(&bytes, false), parse_request(&bytes), proxy_protocol::parse(&bytes));
        let signed = [&b"\r\n\r\n\0\r\nQUIT\n"[..], &bytes].concat();
        let line = [&b"PROXY "[..], &bytes].concat();
        let _ = (proxy_protocol::parse(&signed), proxy_protocol::parse(&line));
        let _ = parse_server_state(&String::from_utf8_lossy(&bytes));
        let _ = grpc_health::decode_frame::<HealthCheckRequest>(&mut BytesMut::from(&bytes[..]));
        let whole = b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n";
        prop_assert_eq!(proxy_protocol::parse(&whole[..cut]), ProxyHeader::Incomplete);
    }
}
