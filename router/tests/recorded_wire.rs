//! Compares the bytes on the wire with the recordings under `recorded/wire`: answers of both fronts, requests to replicas and to
//! the discovery service, datagrams between routers. `RECORD=1 cargo test --test recorded_wire` rewrites the recordings.
#![allow(missing_docs)]

mod common;
mod recording;

use std::time::Duration;

use common::*;
use recording::{path, raw_answer, Mask, Recording};
use tallypin::api::{Effect, EndpointListMode, PeerId, RequestId};
use tallypin_router::config::PeerAddresses;
use tallypin_router::dialect::Dialect::{self, Chat, Messages};
use tallypin_router::lifecycle::Stage;
use tallypin_router::limits::Limits;
use tallypin_router::peers::Peers;
use tallypin_router::reload::{self, StartupConfiguration};
use tallypin_router::replica;
use tokio::io::AsyncReadExt;
use tokio::net::UdpSocket;

const MS: Duration = Duration::from_millis(1);

/// Names of all recordings. A missing file fails the test that compares it; a file without a name here fails the last test.
const RECORDINGS: [&str; 11] = [
    "datagrams",
    "health",
    "messages-answers",
    "messages-bad-input",
    "messages-streams",
    "node-list-calls",
    "node-requests",
    "platform-answers",
    "platform-bad-input",
    "platform-streams",
    "shutdown",
];

/// Sends a request and returns its raw answer, with a mark that says whether the connection accepts another request.
async fn exchange(addr: std::net::SocketAddr, request: &str) -> Vec<u8> {
    let mut client = Client::connect(addr).await;
    client.send(request).await;
    let mut raw = raw_answer(&mut client).await;
    if raw.ends_with(b"<closed>") {
        return raw;
    }
    client.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await;
    raw.extend_from_slice(match client.read_answer().await.0 {
        0 => b"<then closed>",
        _ => b"<stays open>",
    });
    raw
}

/// Starts a router with one replica that meets these faults.
async fn router(
    dialect: Dialect,
    faults: &[ReplicaFault],
    change: impl FnOnce(&mut Limits),
) -> (TestRouter, MockReplica) {
    let replica = MockReplica::new(dialect).await;
    replica.add_faults(faults);
    let router = TestRouter::new(dialect, &[&replica], change).await;
    (router, replica)
}

/// Starts a router whose settings forbid a retry of a request that may have run.
async fn router_with_side_effects(replica: &MockReplica) -> TestRouter {
    let mut config = config();
    config.deployment.decision_settings.classes.iter_mut().for_each(|c| c.effect = Effect::NotIdempotent);
    TestRouter::with_config(config, Chat, &[replica], None).await
}

const CHAT_BODY: &str = r#"{"model":"m","stream":true,"temperature":0.5,"stop":["x"],"messages":[
{"role":"system","content":"Be kind."},{"role":"user","content":"Grüß Gott"}]}"#;

/// Returns a request to the platform front whose id does not change between runs.
fn platform_with_id(id: &str, fields: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Kind: chat\r\n\
         Req-Owner: haendlerbund\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the body of a request without streaming.
fn message_without_streaming() -> String {
    MESSAGES_BODY.replace("\"stream\":true,", "")
}

#[test]
fn streams_of_the_platform_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("platform-streams");
        for (dialect, nodes) in [(Chat, "chat nodes"), (Messages, "messages nodes")] {
            for (title, fault) in [
                ("served", ReplicaFault::None),
                ("with an unknown event", ReplicaFault::UnknownEvent),
                ("broken", ReplicaFault::CloseAfterFirstText),
            ] {
                let (router, _replica) = router(dialect, &[fault], |_| {}).await;
                recording.case(
                    &format!("{nodes}, {title}"),
                    exchange(router.addr, &platform_with_id("a", "", CHAT_BODY)).await,
                );
            }
            let (router, _replica) = router(dialect, &[], |_| {}).await;
            let last = platform_with_id("a", "Connection: close\r\n", CHAT_BODY);
            recording.case(&format!("{nodes}, asked to close"), exchange(router.addr, &last).await);
        }
        recording.check();
    });
}

#[test]
fn streams_and_complete_answers_of_the_messages_api_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("messages-streams");
        for (dialect, nodes) in [(Chat, "chat nodes"), (Messages, "messages nodes")] {
            for (title, fault) in [
                ("served", ReplicaFault::None),
                ("with an unknown event", ReplicaFault::UnknownEvent),
                ("broken", ReplicaFault::CloseAfterFirstText),
            ] {
                for (form, body) in
                    [("stream", MESSAGES_BODY.to_string()), ("whole", message_without_streaming())]
                {
                    let (router, _replica) = router(dialect, &[fault], |_| {}).await;
                    let raw = exchange(router.messages_addr, &messages_request("", &body)).await;
                    recording.case(&format!("{nodes}, {form}, {title}"), raw);
                }
            }
            let (router, _replica) = router(dialect, &[], |_| {}).await;
            let last = messages_request("Connection: close\r\n", MESSAGES_BODY);
            recording.case(&format!("{nodes}, asked to close"), exchange(router.messages_addr, &last).await);
            let mut client = Client::connect(router.messages_addr).await;
            for title in ["second", "third"] {
                client.send(&messages_request("", &message_without_streaming())).await;
                recording.case(&format!("{nodes}, {title} answer"), raw_answer(&mut client).await);
            }
        }
        let (router, _replica) = router(Chat, &[], |l| l.max_collected_answer_size = 4).await;
        let raw = exchange(router.messages_addr, &messages_request("", &message_without_streaming())).await;
        recording.case("too long to be given whole", raw);
        recording.check();
    });
}

/// Records the answers that both fronts give, each in its own form.
async fn record_common_answers(recording: &mut Recording, front: usize) {
    let addr_of = |router: &TestRouter| if front == 0 { router.addr } else { router.messages_addr };
    let request = |fields: &str| match front {
        0 => platform_with_id("a", fields, "{}"),
        _ => messages_request(fields, MESSAGES_BODY),
    };
    let deadline = ["Req-Deadline-Ms: 40\r\n", "x-deadline-ms: 40\r\n"][front];
    let (no_replicas, _replica) = (TestRouter::new(Chat, &[], |_| {}).await, ());
    recording.case("no capacity", exchange(addr_of(&no_replicas), &request("")).await);
    let faults = [
        ("error", ReplicaFault::Error),
        ("reset", ReplicaFault::CloseBeforeAnswer),
        ("declined", ReplicaFault::Decline),
    ];
    for (title, fault) in faults {
        let (router, _replica) = router(Chat, &[fault; 8], |_| {}).await;
        recording.masked(title, Mask::RetryAfterDigits, exchange(addr_of(&router), &request(deadline)).await);
    }
    let (idempotent, _replica) = router(Chat, &[ReplicaFault::NoAnswer; 8], |_| {}).await;
    let raw = exchange(addr_of(&idempotent), &request(deadline)).await;
    recording.masked("late, may be repeated", Mask::RetryAfterDigits, raw);
    let replica = MockReplica::new(Chat).await;
    replica.add_faults(&[ReplicaFault::NoAnswer; 8]);
    let not_idempotent = router_with_side_effects(&replica).await;
    recording
        .case("late, must not be repeated", exchange(addr_of(&not_idempotent), &request(deadline)).await);
    let replica = MockReplica::new(Chat).await;
    replica.add_faults(&[ReplicaFault::CloseBeforeAnswer; 8]);
    let not_idempotent = router_with_side_effects(&replica).await;
    recording.case("failed, must not be repeated", exchange(addr_of(&not_idempotent), &request("")).await);
    let (shared, _replica) = router(Chat, &[], |_| {}).await;
    let over_quota = request("").replace("haendlerbund", "grenzstellen");
    let used_up = loop {
        let raw = exchange(addr_of(&shared), &over_quota).await;
        if !raw.starts_with(b"HTTP/1.1 200") {
            break raw;
        }
    };
    recording.masked("share used up", Mask::RetryAfterDigits, used_up);
    let (full, _replica) = router(Chat, &[], |l| l.max_open_requests = 0).await;
    recording.case("too many open requests", exchange(addr_of(&full), &request("")).await);
    let (small, _replica) = router(Chat, &[], |l| l.request_budget = 1).await;
    recording.case("no room for the body", exchange(addr_of(&small), &request("")).await);
    let (crowded, _replica) = router(Chat, &[ReplicaFault::NoAnswer; 2], |l| l.max_clients = 1).await;
    let mut first = Client::connect(addr_of(&crowded)).await;
    first
        .send(&match front {
            0 => platform_with_id("first", "", "{}"),
            _ => messages_request("", MESSAGES_BODY),
        })
        .await;
    wait_until(|| crowded.open_requests() == 1).await;
    let up = "GET /up HTTP/1.1\r\nHost: b\r\n\r\n";
    recording.case("too many connections", exchange(addr_of(&crowded), &request("")).await);
    recording.case("too many connections, asks for the state", exchange(addr_of(&crowded), up).await);
}

#[test]
fn answers_of_the_platform_other_than_streams_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("platform-answers");
        record_common_answers(&mut recording, 0).await;
        let (router, replica) = router(Chat, &[ReplicaFault::NoAnswer], |_| {}).await;
        let mut first = Client::connect(router.addr).await;
        first.send(&platform_with_id("twice", "", "{}")).await;
        replica.next_request().await;
        recording
            .case("the name of another", exchange(router.addr, &platform_with_id("twice", "", "{}")).await);
        drop(first);
        // The stream to the platform front is interrupted before its first byte was relayed.
        wait_until(|| router.open_requests() == 0).await;
        let (cut, replica) = self::router(Chat, &[ReplicaFault::NoAnswer], |_| {}).await;
        let mut client = Client::connect(cut.addr).await;
        client.send(&platform_with_id("cut", "", "{}")).await;
        replica.next_request().await;
        cut.components.with_core(|core, now| assert!(core.first_event(now, RequestId(1), 0)));
        cut.components.with_core(|core, now| core.answer_for_shutdown(now, Some(0)));
        recording.case("cut before it was passed on", raw_answer(&mut client).await);
        recording.check();
    });
}

#[test]
fn answers_of_the_messages_api_other_than_streams_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("messages-answers");
        record_common_answers(&mut recording, 1).await;
        recording.check();
    });
}

/// Records the answers of a front to input that both fronts reject, and to the ways of sending a body.
async fn record_bad_input(recording: &mut Recording, front: usize, good: &str) {
    let (router, _replica) =
        router(Chat, &[], |l| (l.max_body_size, l.max_head_size, l.max_fields) = (1024, 2048, 16)).await;
    let addr = if front == 0 { router.addr } else { router.messages_addr };
    let (head, _) = good.split_once("\r\n\r\n").unwrap();
    let unframed = head[..head.rfind("\r\n").unwrap()].to_string();
    let (first_line, rest) = good.split_once("\r\n").unwrap();
    for (title, text) in [
        ("no request line", "nonsense\r\n\r\n".to_string()),
        ("an answer", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string()),
        ("a folded field", format!("{unframed}\r\n more\r\n\r\n")),
        ("HTTP/1.0", good.replace("HTTP/1.1", "HTTP/1.0")),
        ("HTTP/2", good.replace("HTTP/1.1", "HTTP/2.0")),
        ("no host", format!("{first_line}\r\n{}", rest.split_once("\r\n").unwrap().1)),
        ("two hosts", format!("{first_line}\r\nHost: c\r\n{rest}")),
        ("two lengths", format!("{unframed}\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{{}}")),
        ("a length with a sign", format!("{unframed}\r\nContent-Length: +2\r\n\r\n{{}}")),
        (
            "length and chunks",
            format!("{unframed}\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{{}}"),
        ),
        ("an unknown coding", format!("{unframed}\r\nTransfer-Encoding: gzip\r\n\r\n")),
        ("a malformed chunk", format!("{unframed}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")),
        ("a large body", format!("{unframed}\r\nContent-Length: 1025\r\n\r\n")),
        ("a large chunk", format!("{unframed}\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n")),
        ("a large head", format!("{first_line}\r\nX-Long: {}\r\n{rest}", "x".repeat(2048))),
        ("many fields", format!("{first_line}\r\n{}{rest}", "X-More: 1\r\n".repeat(16))),
        ("another path", good.replacen("/v1/", "/v2/", 1)),
        ("another method", good.replacen("POST", "PUT", 1)),
        ("livez", "GET /livez HTTP/1.1\r\nHost: b\r\n\r\n".to_string()),
        ("readyz", "GET /readyz HTTP/1.1\r\nHost: b\r\n\r\n".to_string()),
    ] {
        recording.case(title, exchange(addr, &text).await);
    }
    let (slow, _replica) = self::router(Chat, &[], |l| l.request_read_timeout = 30 * MS).await;
    let addr = if front == 0 { slow.addr } else { slow.messages_addr };
    recording.case("half a request", exchange(addr, &good[..good.len() - 1]).await);
    let (body, length) = (good.split_once("\r\n\r\n").unwrap().1, good.len() - head.len() - 4);
    let (router, _replica) = self::router(Chat, &[], |_| {}).await;
    let addr = if front == 0 { router.addr } else { router.messages_addr };
    let mut client = Client::connect(addr).await;
    client.send(&format!("{head}\r\nExpect: 100-continue\r\n\r\n")).await;
    let mut raw = raw_answer(&mut client).await;
    client.send(body).await;
    raw.append(&mut raw_answer(&mut client).await);
    recording.case("waits for a word before the body", raw);
    let chunks = format!("{unframed}\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n");
    recording.case("a body in chunks", exchange(addr, &chunks.replace(": a\r\n", ": b\r\n")).await);
}

#[test]
fn answers_of_the_platform_to_bad_input_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("platform-bad-input");
        let good = platform_with_id("a", "", "{}");
        record_bad_input(&mut recording, 0, &good).await;
        let (router, _replica) = router(Chat, &[], |_| {}).await;
        for (title, from, to) in [
            ("no name", "Req-Id: a\r\n", ""),
            ("an empty name", "Req-Id: a\r\n", "Req-Id: \r\n"),
            ("a name with a space", "Req-Id: a", "Req-Id: a b"),
            ("two names", "Req-Id: a\r\n", "Req-Id: a\r\nReq-Id: b\r\n"),
            ("no kind", "Req-Kind: chat\r\n", ""),
            ("an unknown kind", "Req-Kind: chat", "Req-Kind: poem"),
            ("no owner", "Req-Owner: haendlerbund\r\n", ""),
            ("an unknown owner", "haendlerbund", "nobody"),
            ("a bad wait", "Host: b\r\n", "Host: b\r\nReq-Deadline-Ms: soon\r\n"),
            ("an absurd wait", "Host: b\r\n", "Host: b\r\nReq-Deadline-Ms: 86400001\r\n"),
            ("no pair", "Host: b\r\n", "Host: b\r\nReq-Extra: prefix\r\n"),
            ("a bad count", "Host: b\r\n", "Host: b\r\nReq-Extra: prompt_len=-1\r\n"),
            ("two keys", "Host: b\r\n", "Host: b\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        ] {
            recording.case(title, exchange(router.addr, &good.replace(from, to)).await);
        }
        let long = good.replace("Req-Id: a", &format!("Req-Id: {}", "a".repeat(129)));
        recording.case("a long name", exchange(router.addr, &long).await);
        let (messages, _replica) = self::router(Messages, &[], |_| {}).await;
        recording.case("no body for a messages node", exchange(messages.addr, &good).await);
        recording.check();
    });
}

#[test]
fn answers_of_the_messages_api_to_bad_input_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("messages-bad-input");
        record_bad_input(&mut recording, 1, &messages_request("", MESSAGES_BODY)).await;
        let (router, _replica) = router(Chat, &[], |_| {}).await;
        let picture = MESSAGES_BODY.replace("\"type\":\"text\"", "\"type\":\"image\"");
        for (title, text) in [
            ("no JSON", messages_request("", "{")),
            ("no body", messages_request("", "")),
            ("no bound", messages_request("", &MESSAGES_BODY.replace("\"max_tokens\":64,", ""))),
            ("a bound of none", messages_request("", &MESSAGES_BODY.replace("64", "0"))),
            ("a picture", messages_request("", &picture)),
            ("another role", messages_request("", &MESSAGES_BODY.replace("\"user\"", "\"system\""))),
            ("a field of another type", messages_request("", &MESSAGES_BODY.replace("64", "\"64\""))),
            ("no message", messages_request("", r#"{"model":"refund-chat","max_tokens":1,"messages":[]}"#)),
            ("an unknown model", messages_request("", &MESSAGES_BODY.replace("refund-chat", "poet"))),
            ("an unknown partner", messages_request("", MESSAGES_BODY).replace("haendlerbund", "nobody")),
            ("no partner", messages_request("", MESSAGES_BODY).replace("x-partner", "x-other")),
            ("a bad wait", messages_request("x-deadline-ms: soon\r\n", MESSAGES_BODY)),
            ("no wait", messages_request("x-deadline-ms: 0\r\n", MESSAGES_BODY)),
            ("two keys", messages_request("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", MESSAGES_BODY)),
        ] {
            recording.case(title, exchange(router.messages_addr, &text).await);
        }
        recording.check();
    });
}

#[test]
fn health_check_answers_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("health");
        for (stage, nodes) in [(Stage::Serving, 1), (Stage::Serving, 0), (Stage::Grace, 1)] {
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::new(Chat, &[&replica][..nodes], |_| {}).await;
            router.components.lifecycle.enter(stage);
            for (front, addr) in [("platform", router.addr), ("messages", router.messages_addr)] {
                for path in ["/up", "/healthz", "/up?query"] {
                    for method in ["GET", "HEAD", "POST"] {
                        let title = format!(
                            "{front}, drain {}, {nodes} nodes, {method} {path}",
                            stage != Stage::Serving
                        );
                        let mut client = Client::connect(addr).await;
                        client
                            .send(&format!(
                                "{method} {path} HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"
                            ))
                            .await;
                        let mut raw = Vec::new();
                        client.stream.read_to_end(&mut raw).await.unwrap();
                        recording.case(&title, raw);
                        drop(client);
                        wait_until(|| router.components.clients.open() == 0).await;
                    }
                }
            }
        }
        recording.check();
    });
}

#[test]
fn answers_during_shutdown_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("shutdown");
        for (title, stage) in
            [("grace", Stage::Grace), ("parting", Stage::AnnouncingClose), ("refusing", Stage::Rejecting)]
        {
            for front in [0, 1] {
                let (router, _replica) = router(Chat, &[], |l| l.final_read_duration = 300 * MS).await;
                let (addr, request) = match front {
                    0 => (router.addr, platform_with_id("a", "", "{}")),
                    _ => (router.messages_addr, messages_request("", MESSAGES_BODY)),
                };
                let mut client = Client::connect(addr).await;
                let (first, rest) = request.split_at(20);
                client.send(first).await;
                wait_until(|| router.components.clients.open() == 1).await;
                router.components.lifecycle.enter(stage);
                client.send(rest).await;
                let mut raw = raw_answer(&mut client).await;
                if stage > Stage::Grace && !raw.ends_with(b"<closed>") {
                    raw.append(&mut raw_answer(&mut client).await);
                }
                recording.case(&format!("{title}, front {front}"), raw);
                drop(client);
                let bad = request.replacen("POST", "PUT", 1);
                let mut client = Client::connect(addr).await;
                client.send(&bad).await;
                recording.case(&format!("{title}, front {front}, bad input"), raw_answer(&mut client).await);
            }
        }
        recording.check();
    });
}

#[test]
fn requests_to_replicas_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("node-requests");
        for (dialect, nodes) in [(Chat, "chat nodes"), (Messages, "messages nodes")] {
            let (router, replica) = router(dialect, &[], |_| {}).await;
            let resumed =
                MESSAGES_BODY.replace("}]}]}", "}]},{\"role\":\"assistant\",\"content\":\"Your\"}]}");
            for (title, addr, request) in [
                ("platform", router.addr, platform_with_id("a", "", CHAT_BODY)),
                (
                    "platform, with query",
                    router.addr,
                    platform_with_id("b", "", CHAT_BODY).replacen("completions", "completions?x=1", 1),
                ),
                ("platform, resumed", router.addr, platform_with_id("c", "Req-Retry: again\r\n", CHAT_BODY)),
                ("platform, repeated", router.addr, platform_with_id("d", "Req-Retry: 1\r\n", CHAT_BODY)),
                (
                    "platform, with a key",
                    router.addr,
                    platform_with_id("e", "Idempotency-Key: k-1\r\n", CHAT_BODY),
                ),
                ("messages", router.messages_addr, messages_request("", MESSAGES_BODY)),
                ("messages, whole", router.messages_addr, messages_request("", &message_without_streaming())),
                (
                    "messages, resumed",
                    router.messages_addr,
                    messages_request("x-resume-of: msg_1\r\n", &resumed),
                ),
                (
                    "messages, with a key",
                    router.messages_addr,
                    messages_request("Idempotency-Key: k-1\r\n", MESSAGES_BODY),
                ),
            ] {
                let raw = exchange(addr, &request).await;
                assert!(raw.starts_with(b"HTTP/1.1 200"), "{title}: {}", String::from_utf8_lossy(&raw));
                let (head, body) = replica.next_request().await;
                let sent = [head.as_bytes(), &body].concat();
                recording.masked(&format!("{nodes}, {title}"), Mask::DeadlineOfFourDigits, sent);
            }
        }
        for (title, names) in [("with load reports", true), ("without load reports", false)] {
            let mut config = config();
            if !names {
                config.deployment.report_field_names.clear();
            }
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::with_config(config, Chat, &[&replica], None).await;
            tokio::task::spawn_local(replica::probe(
                router.components.replica_context.clone(),
                router.components.dispatcher.clone(),
                tallypin::name_hash::replica_id("s-0"),
            ));
            recording.case(&format!("probe {title}"), replica.next_request().await.0);
        }
        recording.check();
    });
}

#[test]
fn endpoint_list_calls_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("node-list-calls");
        for (title, mode) in
            [("asked", config().deployment.decision_settings.list_mode), ("pushed", EndpointListMode::Pushed)]
        {
            let replica = MockReplica::new(Chat).await;
            let ports = [(); 2].map(|()| ReservedPort::new());
            let (old, new) = (ports[0].listen().await, ports[1].listen().await);
            let mut config = config();
            (config.deployment.decision_settings.list_mode, config.endpoint_list_agent) =
                (mode, ports[0].addr());
            config.limits.list_call_interval = 10 * MS;
            let (running, mut moved) = (StartupConfiguration::from_config(&config), config.clone());
            let router = TestRouter::with_config(config, Chat, &[], None).await;
            let (mut call, head) = accept_list_call(&old).await;
            recording.case(&format!("{title}, the first call"), head);
            call.send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", &replica, "active")))
                .await;
            wait_until(|| router.components.replicas.ready_count() == 1).await;
            drop(call);
            let (_call, head) = accept_list_call(&old).await;
            recording.case(&format!("{title}, after a loss"), head);
            moved.endpoint_list_agent = ports[1].addr();
            reload::apply(&router.components.endpoint_list.state, &running, &moved);
            let (_call, head) = accept_list_call(&new).await;
            recording.case(&format!("{title}, at a new place"), head);
        }
        recording.check();
    });
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn datagrams_to_other_routers_match_the_recording() {
    run_test(async {
        let mut recording = Recording::new("datagrams");
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_addr = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let mut config = config();
        config.deployment.decision_settings.router_count = 2;
        let digest = config.deployment.decision_settings.tenants_digest;
        let each = vec![own_addr, other.local_addr().unwrap()];
        let addresses = PeerAddresses { listen: own_addr, routers: each, broadcast: None };
        let peers = Peers::new(addresses, PeerId(0), digest).await.unwrap();
        let mut buf = [0; 512];
        for counts in [&[(3, 0), (200, 1), (70_000, 130)][..], &[(1, 0)], &[]] {
            let typed: Vec<_> =
                counts.iter().map(|&(requests, tenant)| served_count(requests, tenant)).collect();
            for message in tallypin::served_report::encode(digest, 500, &typed) {
                peers.gossip(&message);
                let (length, from) = other.recv_from(&mut buf).await.unwrap();
                assert_eq!(from, own_addr);
                recording.case(&format!("{counts:?}"), hex(&buf[..length]));
            }
        }
        // A report of a running router: the time span that it covers depends on the clock.
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::with_config(config, Chat, &[&replica], Some(peers)).await;
        let mut client = Client::connect(router.addr).await;
        assert_eq!(client.send_platform_request("").await.0, 200);
        let (length, _) = other.recv_from(&mut buf).await.unwrap();
        let message = &buf[..length];
        let span = message[3..].iter().position(|b| *b < 0x80).unwrap() + 1;
        assert!(span <= 2, "the span is at most 16 s: {}", hex(message));
        let text = format!("{} <span> {}", hex(&message[..3]), hex(&message[3 + span..]));
        recording.case("of a router", text);
        recording.check();
    });
}

#[test]
fn every_recording_file_is_listed_and_every_listed_recording_exists() {
    let entries = std::fs::read_dir(path("")).unwrap();
    let mut names: Vec<String> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    assert_eq!(names, RECORDINGS);
}
