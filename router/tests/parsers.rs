//! Table-driven tests of the parsers of external input: HTTP, event streams, the endpoint list and the configuration.
#![allow(missing_docs)]

mod common;

use bytes::BytesMut;
use tallypin_router::config::Config;
use tallypin_router::dialect::size_of_well_formed_events;
use tallypin_router::dialect::{parse_load_report, ConversationRequest, Dialect, EventSplitter, StreamEvent};
use tallypin_router::endpoint_list::object_reader::{NotAnObject, ObjectReader};
use tallypin_router::endpoint_list::EndpointListMessage;
use tallypin_router::http::{BodyFraming, BodyPart, BodyReader, HttpError, MessageHead};
use tallypin_router::installation::Installation;
use tallypin_router::limits::Limits;

#[test]
fn parses_message_heads() {
    let mut limits = common::config().limits;
    (limits.max_head_size, limits.max_fields) = (200, 4);
    let long_head = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(200));
    for (text, expected) in [
        ("POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "Length(3) keeps"),
        ("GET / HTTP/1.0\r\n\r\n", "Undeclared"),
        ("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", "Undeclared keeps"),
        ("GET / HTTP/1.1\r\nConnection: foo, close\r\n\r\n", "Undeclared"),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", "Chunked keeps"),
        ("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "UnsupportedCoding"),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length:\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length: 0x3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "Malformed"),
        ("GET / HTTP/2.0\r\n\r\n", "Malformed"),
        ("GET / HTTP/1.1\r\nA: 1\r\nA: 2\r\nA: 3\r\nA: 4\r\nA: 5\r\n\r\n", "HeadTooLarge"),
        ("GET / HTTP/1.1\r\nHost: h\r\n", "more"),
        ("", "more"),
        (&long_head, "HeadTooLarge"),
        (&format!("{long_head}\r\n\r\n"), "HeadTooLarge"),
    ] {
        let mut buf = BytesMut::from(text);
        let actual = match MessageHead::parse_request(&mut buf, &limits) {
            Ok(None) => "more".to_string(),
            Ok(Some(head)) => match head.framing() {
                Ok(framing) => format!("{framing:?}{}", if head.keeps_alive() { " keeps" } else { "" }),
                Err(error) => format!("{error:?}"),
            },
            Err(error) => format!("{error:?}"),
        };
        assert_eq!(actual, expected, "{text:?}");
    }
    // A response cut at any byte is no error, and body bytes stay in the buffer.
    let response = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest";
    for cut in 0..response.len() {
        let mut buf = BytesMut::from(&response[..cut]);
        let head = MessageHead::parse_response(&mut buf, &limits).unwrap();
        assert_eq!((head.is_some(), buf.len()), (cut >= 25, if cut >= 25 { cut - 25 } else { cut }));
    }
}

#[test]
fn reads_chunked_bodies_in_pieces_of_any_size() {
    let encoded = "4\r\nabcd\r\nA ; ext=1\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nnext";
    for piece_size in 1..encoded.len() {
        let (mut body, mut buf, mut data, mut ended) =
            (BodyReader::new(BodyFraming::Chunked, 10), BytesMut::new(), Vec::new(), false);
        for piece in encoded.as_bytes().chunks(piece_size) {
            buf.extend_from_slice(piece);
            while let (false, Some(part)) = (ended, body.next_part(&mut buf).unwrap()) {
                match part {
                    BodyPart::Data(bytes) => data.extend_from_slice(&bytes),
                    BodyPart::End => ended = true,
                }
            }
        }
        assert_eq!(
            (&data[..], ended, &buf[..]),
            (&b"abcd0123456789"[..], true, &b"next"[..]),
            "pieces of {piece_size} bytes"
        );
    }
    let long_size = "1".repeat(1100);
    for text in ["\r\n", "x\r\n", "-1\r\n", "+1\r\n", "1\nab", "fffffffffffffffff\r\n", "1\r\nab", &long_size]
    {
        let (mut body, mut buf) = (BodyReader::new(BodyFraming::Chunked, 1 << 20), BytesMut::from(text));
        let result = loop {
            match body.next_part(&mut buf) {
                Ok(Some(BodyPart::Data(_))) => {}
                other => break other,
            }
        };
        assert_eq!(result, Err(HttpError::Malformed), "{text:?}");
    }
}

#[test]
fn splits_streams_at_event_boundaries() {
    let text = "data: a\n\n: c\r\n\r\nevent: x\ndata: b\n\nda";
    for piece_size in 1..text.len() {
        let (mut events, mut complete_events) = (EventSplitter::default(), String::new());
        for piece in text.as_bytes().chunks(piece_size) {
            if let Some(split) = events.push(piece) {
                assert!(split.ends_with(b"\n\n") || split.ends_with(b"\r\n\r\n"), "{piece_size}: {split:?}");
                complete_events.push_str(std::str::from_utf8(&split).unwrap());
            }
        }
        assert_eq!(
            (&complete_events[..], &events.take_incomplete()[..]),
            (&text[..text.len() - 2], &b"da"[..]),
            "pieces of {piece_size} bytes"
        );
    }
}

fn read_events(dialect: Dialect, text: &str) -> Vec<StreamEvent> {
    let mut events = Vec::new();
    dialect.read_events(text.as_bytes(), true, &mut events);
    events
}

#[test]
fn reads_the_events_of_both_dialects() {
    insta::assert_debug_snapshot!(read_events(Dialect::Chat, &common::CHAT.concat()));
    insta::assert_debug_snapshot!(read_events(Dialect::Messages, &common::MESSAGES.concat()));
}

#[test]
fn unusual_events_are_classified_without_an_error() {
    use Dialect::{Chat, Messages};
    for (dialect, text, expected) in [
        (Chat, "data: {\"choices\":[]}\n\n", StreamEvent::KeepAlive),
        (Chat, "data: {oops\n\n", StreamEvent::Unknown),
        (Chat, "data: 7\n\n", StreamEvent::Unknown),
        (Chat, "data: {\"novel\":1}\n\n", StreamEvent::Unknown),
        (Chat, "event: novel\ndata: {\"choices\":[]}\n\n", StreamEvent::Unknown),
        (Chat, "data: {\"error\":{\"message\":\"x\"}}\n\n", StreamEvent::Failed),
        (Chat, ": keep alive\n\n", StreamEvent::KeepAlive),
        (Messages, "event: ping\ndata: {}\n\n", StreamEvent::KeepAlive),
        (Messages, "data: {\"type\":\"ping\"}\n\n", StreamEvent::KeepAlive),
        (Messages, "event: error\ndata: {\"type\":\"error\",\"error\":{}}\n\n", StreamEvent::Failed),
        (Messages, "event: novel\ndata: {}\n\n", StreamEvent::Unknown),
        (Messages, "event: message_stop\ndata: oops\n\n", StreamEvent::Unknown),
        (Messages, "event: \u{fffd}\ndata: {\"type\":3}\n\n", StreamEvent::Unknown),
        (
            Messages,
            "event: content_block_delta\ndata: {\"delta\":{\"type\":\"novel_delta\"}}\n\n",
            StreamEvent::Unknown,
        ),
    ] {
        assert_eq!(read_events(dialect, text), [expected], "{text}");
    }
}

#[test]
fn parses_load_reports_and_drops_invalid_values() {
    let names: Vec<String> = ["fail_rate", "lat_ms", "q"].map(Into::into).into();
    let parsed_values = |text| format!("{:?}", parse_load_report(text, &names));
    assert_eq!(parsed_values("TEXT eps=0.5, latency_ms=14.5,queue=3, novel=1"), "[0.5, 14.5, 3.0]");
    assert_eq!(parsed_values("TEXT q=2"), "[NaN, NaN, 2.0]");
    assert_eq!(parsed_values("JSON {}"), "[]");
    // Invalid values become NaN, so that none of them reaches the decisions.
    assert_eq!(parsed_values("TEXT eps=nan, latency_ms=inf, q=-1"), "[NaN, NaN, NaN]");
    assert_eq!(parsed_values("TEXT eps=1e300, latency_ms=, q=\u{fffd}"), "[NaN, NaN, NaN]");
}

#[test]
fn converts_request_bodies_between_dialects() {
    let valid_body = r#"{"model":"m","max_tokens":9,"system":[{"type":"text","text":"Be kind."}],"stop_sequences":["X"],
        "temperature":0.5,"messages":[{"role":"user","content":"Hi"},{"role":"assistant","content":"Well"}]}"#;
    let messages_request = ConversationRequest::parse_messages(valid_body.as_bytes()).unwrap();
    assert!(messages_request.continues_answer() && !messages_request.stream);
    insta::assert_snapshot!(String::from_utf8(messages_request.chat_body()).unwrap());
    let chat_request = ConversationRequest::parse_chat(&messages_request.chat_body()).unwrap();
    insta::assert_snapshot!(String::from_utf8(chat_request.messages_body(5)).unwrap());
    let errors: Vec<String> = [
        "",
        "{}",
        r#"{"model":"m","max_tokens":9,"messages":[]}"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"m","max_tokens":9,"messages":[{"role":"king","content":"x"}]}"#,
        r#"{"model":"m","max_tokens":9,"messages":[{"role":"user","content":[{"type":"image"}]}]}"#,
        r#"{"model":"m","max_tokens":-9,"messages":[{"role":"user","content":"x"}]}"#,
    ]
    .map(|text| ConversationRequest::parse_messages(text.as_bytes()).unwrap_err().to_string())
    .into();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn mutated_input_never_panics() {
    let limits = common::config().limits;
    let list = r#"{"version":1,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"active"}]}"#;
    let valid_inputs: Vec<Vec<u8>> = [
        common::platform_request("Req-Extra: prefix=a,prompt_len=5\r\n", "{}"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n".into(),
        "5\r\nabcde\r\n0\r\n\r\n".into(),
        common::CHAT.concat(),
        common::MESSAGES.concat(),
        r#"{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"Hi"}]}"#.into(),
        list.into(),
        "TEXT eps=0.5, q=1".into(),
    ]
    .map(String::into_bytes)
    .into();
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut parsed, mut rejected) = (0, 0);
    for round in 0..20_000 {
        let mut bytes = valid_inputs[round % valid_inputs.len()].clone();
        for _ in 0..rng.usize(0..4) {
            let index = rng.usize(0..bytes.len());
            match rng.u8(0..4) {
                0 => bytes[index] = rng.u8(..),
                1 => bytes.insert(index, rng.u8(..)),
                2 => bytes.truncate(index.max(1)),
                _ => bytes.extend_from_within(index..),
            }
        }
        for parse in [MessageHead::parse_request, MessageHead::parse_response] {
            let mut buf = BytesMut::from(&bytes[..]);
            match parse(&mut buf, &limits).map(|head| head.map(|head| (head.framing(), head.keeps_alive()))) {
                Ok(Some((Ok(framing), _))) => {
                    parsed += 1;
                    let mut body = BodyReader::new(framing, 1 << 20);
                    while let Ok(Some(BodyPart::Data(_))) = body.next_part(&mut buf) {}
                }
                _ => rejected += 1,
            }
        }
        let (mut body, mut buf) =
            (BodyReader::for_response(BodyFraming::Chunked, 1 << 20), BytesMut::from(&bytes[..]));
        while let Ok(Some(BodyPart::Data(_))) = body.next_part(&mut buf) {}
        for dialect in [Dialect::Chat, Dialect::Messages] {
            dialect.read_events(&bytes, rng.bool(), &mut Vec::new());
        }
        let requests = [ConversationRequest::parse_chat(&bytes), ConversationRequest::parse_messages(&bytes)];
        requests.iter().flatten().for_each(|r| drop((r.chat_body(), r.messages_body(1), r.streaming_body())));
        if let Ok(message) = serde_json::from_slice::<EndpointListMessage>(&bytes) {
            let deployment = common::config().deployment;
            for endpoint in &message.endpoints {
                assert_eq!(
                    endpoint.to_entry(&deployment).replica,
                    tallypin::name_hash::replica_id(&endpoint.id)
                );
            }
        }
        parse_load_report(&String::from_utf8_lossy(&bytes), &["q".into()]);
        let _ = tallypin::served_report::decode(tallypin::served_report::TenantsDigest::default(), &bytes);
    }
    assert!(parsed > 1000 && rejected > 1000, "{parsed} parsed, {rejected} rejected");
}

#[test]
fn limits_stay_within_memory_and_descriptors() {
    let deployment = common::config().deployment;
    for (memory_mb, sockets) in [(192, 1024), (2048, 4096), (16, 64)] {
        let limits = Limits::new(memory_mb, sockets, &deployment);
        let descriptors = limits.max_clients + limits.max_rejected_clients + limits.max_replica_connections;
        // 16 descriptors for standard streams, the runtime, listeners, the endpoint list, peers and an agent check.
        assert!(
            descriptors + 16 <= sockets && limits.max_clients >= 10,
            "{descriptors} of {sockets} descriptors"
        );
        assert!(
            limits.request_budget <= memory_mb << 18
                && limits.replica_idle_timeout.as_nanos() < u128::from(deployment.replica_idle_timeout)
        );
    }
}

#[test]
fn configuration_errors_name_the_malformed_field() {
    let cases = [
        ("\"name\"", "\"nom\""),
        ("127.0.0.1:9", "localhost"),
        ("8c1f30d27a5be964", "xyz"),
        ("\"memory_mb\": 192", "\"memory_mb\": -1"),
        ("\"sockets\": 1024", "\"sockets\": 9"),
        ("\"TryLimit\": 4", "\"TryLimit\": \"four\""),
        ("\"TryLimit\": 4", "\"TryLimit\": 0"),
        ("\"GoalTimeNs\": 1200000000", "\"GoalTimeNs\": 0"),
        ("\"ReplicasOfMe\": 2", "\"ReplicasOfMe\": 0"),
        ("\"Me\": 0", "\"Me\": 2"),
        ("\"MyZone\": 0", "\"MyZone\": 1"),
        ("\"Name\": \"belege\"", "\"Name\": \"chat\""),
        ("\"DeadlineNs\": 6000000000", "\"DeadlineNs\": 0"),
        ("\"QuotaPerS\": 1000.0", "\"QuotaPerS\": -1.0"),
        ("\"ColdShare\": 0.15", "\"ColdShare\": 1.5"),
        ("\"Profiles\": [", "\"Profiles\": [], \"Unknown\": ["),
    ];
    let errors = cases.map(|(from, to)| {
        let text = common::CONFIG.replace(from, to);
        format!("{to}: {}", Config::parse(&text).expect_err(to))
    });
    insta::assert_snapshot!(errors.join("\n"));
    for example in [include_str!("../../examples/config.json"), include_str!("../../examples/two-zones.json")]
    {
        Config::parse(example).unwrap_or_else(|error| panic!("{error}"));
    }
    // Unknown fields are ignored, and empty or longer lists of zones, kinds and tenants are accepted.
    for (from, to) in [
        ("\"Family\": \"llm\"", "\"Novelty\": {\"x\": [1]}, \"Family\": \"llm\""),
        ("\"Zones\": [\"rz-garching\"]", "\"Zones\": []"),
        ("\"Zones\": [\"rz-garching\"]", "\"Zones\": [\"a\", \"b\", \"c\"]"),
        ("\"Kinds\": [\"gpu-neu\", \"gpu-alt\"]", "\"Kinds\": []"),
        ("\"Tenants\": [", "\"Tenants\": [], \"Novelty\": ["),
    ] {
        let text = common::CONFIG.replace(from, to);
        assert_ne!(text, common::CONFIG, "{from}");
        Config::parse(&text).unwrap_or_else(|error| panic!("{to}: {error}"));
    }
    let deployment = common::config().deployment;
    let settings = common::settings("");
    let cases = [
        ("127.0.0.1:8700", "here"),
        ("nodes chat", "nodes klingon"),
        ("export-forms belege", "export-forms belgee"),
        ("haendlerbund haendlerbund", "haendlerbund x"),
        ("partner-header", "partner-haeder"),
        ("target checks", "target check"),
        ("drain 404", "drain 204"),
        ("checks {", "checks {\n  agent {"),
        ("model export-forms belege", "model refund-chat belege"),
        ("drain {", "proxy-protocol {\n  messages on\n}\ndrain {"),
    ];
    let errors = cases.map(|(from, to)| {
        let text = settings.replace(from, to);
        match Installation::read_with("t.conf".as_ref(), &deployment, &|_| Ok(text.clone())) {
            Ok(_) => format!("{to}: taken"),
            Err(error) => format!("{to}\n  {}", error.short().collect::<Vec<_>>().join("\n  ")),
        }
    });
    insta::assert_snapshot!(errors.join("\n"));
    let read_settings = |text: &str| {
        Installation::read_with("t.conf".as_ref(), &deployment, &|_| Ok(text.to_string())).unwrap()
    };
    let original = read_settings(&settings);
    let reread = read_settings(&tallypin_settings_schema::print(&original.checked));
    assert_eq!(
        tallypin_settings_schema::changes(&original.checked, &reread.checked),
        [],
        "printed settings read back unchanged"
    );
    let sections = |i: &Installation| (i.messages.clone(), i.checks.clone(), i.health.clone());
    assert_eq!(sections(&original), sections(&reread));
    // The defaults of the settings table equal those in the code.
    let defaults = read_settings("");
    assert_eq!(defaults.health.assessment_limits, Default::default());
    assert_eq!((defaults.health.drain, defaults.health.checker_limits), Default::default());
    let mut limits = Limits::new(16, 64, &deployment);
    assert!(original.reserve(&mut limits).is_err(), "64 descriptors are too few for 32 checks and clients");
    let mut limits = Limits::new(192, 256, &deployment);
    original.reserve(&mut limits).unwrap();
    assert!(limits.max_clients >= 80, "{}", limits.max_clients);
}

/// Reads the endpoint list messages that these pieces contain, in order.
fn read_messages(pieces: &[&[u8]]) -> Result<Vec<EndpointListMessage>, NotAnObject> {
    let (mut reader, mut messages) = (ObjectReader::default(), Vec::new());
    for piece in pieces {
        reader.push(piece);
        while let Some(object) = reader.take()? {
            messages.push(serde_json::from_slice(&object).expect("a complete message"));
        }
    }
    Ok(messages)
}

/// Guards against closing a watch because a piece ended inside a number: the update would be lost but count as received.
#[test]
fn reads_endpoint_list_messages_from_pieces_of_any_size() {
    let text = b"\n{\"version\":43,\"full\":true,\"servers\":[{\"id\":\"a}\\\"{\\\\\",\"addr\":\"127.0.0.1:1\",\"state\":\"active\",\"weight\":1.05e-3}]}\r\n\n \
        {\n  \"version\": 44,\n  \"load\": -0.5,\n  \"servers\": [\n  ],\n  \"later\": {\"x\": []}\n}\n\n";
    let complete = read_messages(&[text]).unwrap();
    assert_eq!(complete.iter().map(|message| message.version).collect::<Vec<_>>(), [43, 44]);
    assert_eq!(complete[0].endpoints[0].id, "a}\"{\\");
    for cut in 0..text.len() {
        let (head, tail) = text.split_at(cut);
        assert_eq!(read_messages(&[head, tail]).as_ref(), Ok(&complete), "cut at {cut}");
    }
    let single_bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read_messages(&single_bytes), Ok(complete));
    for (text, expected) in [
        ("", Ok(vec![])),
        ("\n\r\n \n", Ok(vec![])),
        ("{\"version\":", Ok(vec![])),
        ("]", Err(NotAnObject)),
        ("}", Err(NotAnObject)),
    ] {
        assert_eq!(read_messages(&[text.as_bytes()]), expected, "{text:?}");
    }
    let mut reader = ObjectReader::default();
    reader.push(b"\n\n\n");
    assert_eq!(
        (reader.take(), reader.buffered()),
        (Ok(None), 0),
        "blank lines that keep the watch alive are not buffered"
    );
}

#[test]
fn only_complete_and_well_formed_events_count_in_an_incomplete_chunk() {
    for (text, expected) in [
        ("", ""),
        ("data: a\n\n", "data: a\n\n"),
        ("data: a\r\n\r\ndata: b", "data: a\r\n\r\n"),
        ("event: x\ndata: a\n\n: comment\n\nid: 1\n", "event: x\ndata: a\n\n: comment\n\n"),
        ("data: a\n\n\r\n1f\r\ndata: b\n\n", "data: a\n\n\r\n"),
        ("data: a\n1f\n\n", ""),
        ("\u{0}noise\n\n", ""),
    ] {
        assert_eq!(size_of_well_formed_events(text.as_bytes()), expected.len(), "{text:?}");
    }
}
