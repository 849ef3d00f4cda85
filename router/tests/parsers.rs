//! Tables of cases for all that reads bytes from outside.
#![allow(missing_docs)]

mod common;

use bytes::BytesMut;
use tallypin_router::config::Config;
use tallypin_router::dialect::{parse_load_report, ConversationRequest, Dialect, EventSplitter, StreamEvent};
use tallypin_router::endpoint_list::object_reader::{NotAnObject, ObjectReader};
use tallypin_router::endpoint_list::EndpointListMessage;
use tallypin_router::http::{BodyFraming, BodyPart, BodyReader, HttpError, MessageHead};
use tallypin_router::installation::Installation;
use tallypin_router::limits::Limits;

#[test]
fn heads() {
    let mut limits = common::config().limits;
    (limits.max_head_size, limits.max_fields) = (200, 4);
    let long = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(200));
    for (text, wanted) in [
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
        (&long, "HeadTooLarge"),
        (&format!("{long}\r\n\r\n"), "HeadTooLarge"),
    ] {
        let mut buf = BytesMut::from(text);
        let got = match MessageHead::parse_request(&mut buf, &limits) {
            Ok(None) => "more".to_string(),
            Ok(Some(head)) => match head.framing() {
                Ok(framing) => format!("{framing:?}{}", if head.keeps_alive() { " keeps" } else { "" }),
                Err(bad) => format!("{bad:?}"),
            },
            Err(bad) => format!("{bad:?}"),
        };
        assert_eq!(got, wanted, "{text:?}");
    }
    // The body stays where it is, and no byte of any cut makes trouble.
    let whole = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest";
    for cut in 0..whole.len() {
        let mut buf = BytesMut::from(&whole[..cut]);
        let head = MessageHead::parse_response(&mut buf, &limits).unwrap();
        assert_eq!((head.is_some(), buf.len()), (cut >= 25, if cut >= 25 { cut - 25 } else { cut }));
    }
}

#[test]
fn bodies() {
    let whole = "4\r\nabcd\r\nA ; ext=1\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nnext";
    for step in 1..whole.len() {
        let (mut body, mut buf, mut got, mut over) =
            (BodyReader::new(BodyFraming::Chunked, 10), BytesMut::new(), Vec::new(), false);
        for piece in whole.as_bytes().chunks(step) {
            buf.extend_from_slice(piece);
            while let (false, Some(part)) = (over, body.next_part(&mut buf).unwrap()) {
                match part {
                    BodyPart::Data(b) => got.extend_from_slice(&b),
                    BodyPart::End => over = true,
                }
            }
        }
        assert_eq!((&got[..], over, &buf[..]), (&b"abcd0123456789"[..], true, &b"next"[..]), "{step}");
    }
    let long = "1".repeat(1100);
    for bad in ["\r\n", "x\r\n", "-1\r\n", "+1\r\n", "1\nab", "fffffffffffffffff\r\n", "1\r\nab", &long] {
        let (mut body, mut buf) = (BodyReader::new(BodyFraming::Chunked, 1 << 20), BytesMut::from(bad));
        let end = loop {
            match body.next_part(&mut buf) {
                Ok(Some(BodyPart::Data(_))) => {}
                other => break other,
            }
        };
        assert_eq!(end, Err(HttpError::Malformed), "{bad:?}");
    }
}

#[test]
fn events_are_cut_where_they_end() {
    let text = "data: a\n\n: c\r\n\r\nevent: x\ndata: b\n\nda";
    for step in 1..text.len() {
        let (mut events, mut got) = (EventSplitter::default(), String::new());
        for piece in text.as_bytes().chunks(step) {
            if let Some(whole) = events.push(piece) {
                assert!(whole.ends_with(b"\n\n") || whole.ends_with(b"\r\n\r\n"), "{step}: {whole:?}");
                got.push_str(std::str::from_utf8(&whole).unwrap());
            }
        }
        assert_eq!((&got[..], &events.take_rest()[..]), (&text[..text.len() - 2], &b"da"[..]), "{step}");
    }
}

fn read(dialect: Dialect, text: &str) -> Vec<StreamEvent> {
    let mut told = Vec::new();
    dialect.read_events(text.as_bytes(), true, &mut told);
    told
}

#[test]
fn both_vocabularies_say_the_same() {
    insta::assert_debug_snapshot!(read(Dialect::Chat, &common::CHAT.concat()));
    insta::assert_debug_snapshot!(read(Dialect::Messages, &common::MESSAGES.concat()));
}

#[test]
fn odd_events_are_unknown_and_no_more() {
    use Dialect::{Chat, Messages};
    for (dialect, text, wanted) in [
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
        assert_eq!(read(dialect, text), [wanted], "{text}");
    }
}

#[test]
fn load_reports() {
    let names: Vec<String> = ["fail_rate", "lat_ms", "q"].map(Into::into).into();
    let show = |text| format!("{:?}", parse_load_report(text, &names));
    assert_eq!(show("TEXT eps=0.5, latency_ms=14.5,queue=3, novel=1"), "[0.5, 14.5, 3.0]");
    assert_eq!(show("TEXT q=2"), "[NaN, NaN, 2.0]");
    assert_eq!(show("JSON {}"), "[]");
    // None of these is a load, and none may reach the decisions.
    assert_eq!(show("TEXT eps=nan, latency_ms=inf, q=-1"), "[NaN, NaN, NaN]");
    assert_eq!(show("TEXT eps=1e300, latency_ms=, q=\u{fffd}"), "[NaN, NaN, NaN]");
}

#[test]
fn request_bodies() {
    let good = r#"{"model":"m","max_tokens":9,"system":[{"type":"text","text":"Be kind."}],"stop_sequences":["X"],
        "temperature":0.5,"messages":[{"role":"user","content":"Hi"},{"role":"assistant","content":"Well"}]}"#;
    let asked = ConversationRequest::parse_messages(good.as_bytes()).unwrap();
    assert!(asked.continues_answer() && !asked.stream);
    insta::assert_snapshot!(String::from_utf8(asked.chat_body()).unwrap());
    let chat = ConversationRequest::parse_chat(&asked.chat_body()).unwrap();
    insta::assert_snapshot!(String::from_utf8(chat.messages_body(5)).unwrap());
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
fn nothing_on_the_wire_can_panic() {
    let limits = common::config().limits;
    let list = r#"{"version":1,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"active"}]}"#;
    let good: Vec<Vec<u8>> = [
        common::platform("Req-Extra: prefix=a,prompt_len=5\r\n", "{}"),
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
    let (mut taken, mut turned) = (0, 0);
    for round in 0..20_000 {
        let mut bytes = good[round % good.len()].clone();
        for _ in 0..rng.usize(0..4) {
            let at = rng.usize(0..bytes.len());
            match rng.u8(0..4) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.insert(at, rng.u8(..)),
                2 => bytes.truncate(at.max(1)),
                _ => bytes.extend_from_within(at..),
            }
        }
        for read in [MessageHead::parse_request, MessageHead::parse_response] {
            let mut buf = BytesMut::from(&bytes[..]);
            match read(&mut buf, &limits).map(|head| head.map(|h| (h.framing(), h.keeps_alive()))) {
                Ok(Some((Ok(framing), _))) => {
                    taken += 1;
                    let mut body = BodyReader::new(framing, 1 << 20);
                    while let Ok(Some(BodyPart::Data(_))) = body.next_part(&mut buf) {}
                }
                _ => turned += 1,
            }
        }
        let (mut body, mut buf) =
            (BodyReader::for_response(BodyFraming::Chunked, 1 << 20), BytesMut::from(&bytes[..]));
        while let Ok(Some(BodyPart::Data(_))) = body.next_part(&mut buf) {}
        for dialect in [Dialect::Chat, Dialect::Messages] {
            dialect.read_events(&bytes, rng.bool(), &mut Vec::new());
        }
        let asked = [ConversationRequest::parse_chat(&bytes), ConversationRequest::parse_messages(&bytes)];
        asked.iter().flatten().for_each(|a| drop((a.chat_body(), a.messages_body(1), a.streaming_body())));
        if let Ok(page) = serde_json::from_slice::<EndpointListMessage>(&bytes) {
            let of = common::config().deployment;
            for row in &page.endpoints {
                assert_eq!(row.to_entry(&of).replica, tallypin::name_hash::replica_id(&row.id));
            }
        }
        parse_load_report(&String::from_utf8_lossy(&bytes), &["q".into()]);
        let _ = tallypin::served_report::decode(tallypin::served_report::TenantsDigest::default(), &bytes);
    }
    assert!(taken > 1000 && turned > 1000, "{taken} {turned}");
}

#[test]
fn limits_keep_to_the_machine_they_were_made_for() {
    let of = common::config().deployment;
    for (memory, sockets) in [(192, 1024), (2048, 4096), (16, 64)] {
        let l = Limits::new(memory, sockets, &of);
        let descriptors = l.max_clients + l.max_rejected_clients + l.max_replica_connections;
        // Standard streams, the runtime's own, listeners, the list, peers, an agent check.
        assert!(descriptors + 16 <= sockets && l.max_clients >= 10, "{descriptors} of {sockets}");
        assert!(
            l.body_budget <= memory << 18
                && l.replica_idle_timeout.as_nanos() < u128::from(of.replica_idle_timeout)
        );
    }
}

#[test]
fn configuration_that_is_malformed_is_named_by_its_field() {
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
    let said = cases.map(|(from, to)| {
        let text = common::CONFIG.replace(from, to);
        format!("{to}: {}", Config::parse(&text).expect_err(to))
    });
    insta::assert_snapshot!(said.join("\n"));
    for example in [include_str!("../../examples/config.json"), include_str!("../../examples/two-zones.json")]
    {
        Config::parse(example).unwrap_or_else(|e| panic!("{e}"));
    }
    // What is not known, and none or several zones, kinds and partners, are no fault.
    for (from, to) in [
        ("\"Family\": \"llm\"", "\"Novelty\": {\"x\": [1]}, \"Family\": \"llm\""),
        ("\"Zones\": [\"rz-garching\"]", "\"Zones\": []"),
        ("\"Zones\": [\"rz-garching\"]", "\"Zones\": [\"a\", \"b\", \"c\"]"),
        ("\"Kinds\": [\"gpu-neu\", \"gpu-alt\"]", "\"Kinds\": []"),
        ("\"Tenants\": [", "\"Tenants\": [], \"Novelty\": ["),
    ] {
        let text = common::CONFIG.replace(from, to);
        assert_ne!(text, common::CONFIG, "{from}");
        Config::parse(&text).unwrap_or_else(|e| panic!("{to}: {e}"));
    }
    let of = common::config().deployment;
    let file = common::settings("");
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
    let said = cases.map(|(from, to)| {
        let text = file.replace(from, to);
        match Installation::read_by("t.conf".as_ref(), &of, &|_| Ok(text.clone())) {
            Ok(_) => format!("{to}: taken"),
            Err(e) => format!("{to}\n  {}", e.short().collect::<Vec<_>>().join("\n  ")),
        }
    });
    insta::assert_snapshot!(said.join("\n"));
    let read = |text: &str| Installation::read_by("t.conf".as_ref(), &of, &|_| Ok(text.to_string())).unwrap();
    let first = read(&file);
    let again = read(&tallypin_settings_schema::print(&first.checked));
    assert_eq!(
        tallypin_settings_schema::changes(&first.checked, &again.checked),
        [],
        "what is printed reads back"
    );
    let all = |i: &Installation| (i.messages.clone(), i.checks.clone(), i.health.clone());
    assert_eq!(all(&first), all(&again));
    // The table's defaults are the decisions' own.
    let plain = read("");
    assert_eq!(plain.health.figures, Default::default());
    assert_eq!((plain.health.drain, plain.health.askers), Default::default());
    let mut limits = Limits::new(16, 64, &of);
    assert!(first.reserve(&mut limits).is_err(), "64 descriptors hold no 32 checks beside clients");
    let mut limits = Limits::new(192, 256, &of);
    first.reserve(&mut limits).unwrap();
    assert!(limits.max_clients >= 80, "{}", limits.max_clients);
}

/// All objects that come of these pieces, one after the other.
fn pages(pieces: &[&[u8]]) -> Result<Vec<EndpointListMessage>, NotAnObject> {
    let (mut held, mut all) = (ObjectReader::default(), Vec::new());
    for piece in pieces {
        held.push(piece);
        while let Some(object) = held.take()? {
            all.push(serde_json::from_slice(&object).expect("whole"));
        }
    }
    Ok(all)
}

/// Guards against a watch that is given up because a piece ended within a number: what it told would count as told.
#[test]
fn objects_of_the_list_in_pieces_of_any_size() {
    let text = b"\n{\"version\":43,\"full\":true,\"servers\":[{\"id\":\"a}\\\"{\\\\\",\"addr\":\"127.0.0.1:1\",\"state\":\"active\",\"weight\":1.05e-3}]}\r\n\n \
        {\n  \"version\": 44,\n  \"load\": -0.5,\n  \"servers\": [\n  ],\n  \"later\": {\"x\": []}\n}\n\n";
    let whole = pages(&[text]).unwrap();
    assert_eq!(whole.iter().map(|p| p.version).collect::<Vec<_>>(), [43, 44]);
    assert_eq!(whole[0].endpoints[0].id, "a}\"{\\");
    for cut in 0..text.len() {
        let (front, back) = text.split_at(cut);
        assert_eq!(pages(&[front, back]).as_ref(), Ok(&whole), "cut at {cut}");
    }
    let bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(pages(&bytes), Ok(whole));
    for (text, wanted) in [
        ("", Ok(vec![])),
        ("\n\r\n \n", Ok(vec![])),
        ("{\"version\":", Ok(vec![])),
        ("]", Err(NotAnObject)),
        ("}", Err(NotAnObject)),
    ] {
        assert_eq!(pages(&[text.as_bytes()]), wanted, "{text:?}");
    }
    let mut blank = ObjectReader::default();
    blank.push(b"\n\n\n");
    assert_eq!((blank.take(), blank.buffered()), (Ok(None), 0), "signs of life take no room");
}
