//! Sealed messages, and messages and keys that are rejected.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tallypin_router::fleet::wire::{self, Call, Direction, Keys, Reply};

use crate::fleet_processes::{self, FleetProcesses};
use crate::recorded_files::{assert_as_recorded, hex, read_recorded, HEADER_BYTES, KEY};

/// Seals and opens the messages of a recorded file. Each line has the header of a sealed message in hex and its JSON. Sealing
/// is deterministic, so the bytes can be compared.
fn messages_are_as_recorded<T: Serialize + DeserializeOwned>(name: &str, direction: Direction) {
    let keys = Keys::read("nord", KEY).unwrap();
    let text = String::from_utf8(read_recorded(name)).unwrap();
    let mut got = String::new();
    for line in text.lines() {
        let json = line.split_once(' ').expect("a head and a body").1;
        let message: T = serde_json::from_str(json).unwrap_or_else(|e| panic!("{json}: {e}"));
        let sealed = keys.seal(direction, &message).unwrap();
        let body = std::str::from_utf8(&sealed[HEADER_BYTES..]).unwrap();
        writeln!(got, "{} {body}", hex(&sealed[..HEADER_BYTES])).unwrap();
        // Opens the recorded bytes.
        let head = line.split_once(' ').unwrap().0;
        let head = (0..HEADER_BYTES).map(|at| u8::from_str_radix(&head[2 * at..2 * at + 2], 16).unwrap());
        let bytes: Vec<u8> = head.chain(json.bytes()).collect();
        if std::env::var_os("RECORD").is_none() {
            let opened: T = keys.open(direction, &bytes[4..]).unwrap_or_else(|e| panic!("{json}: {e}"));
            assert_eq!(serde_json::to_string(&opened).unwrap(), json);
        }
    }
    assert_as_recorded(name, &got);
}

#[test]
fn calls_are_sealed_and_opened_as_recorded() {
    messages_are_as_recorded::<Call>("calls.txt", Direction::Call);
}

#[test]
fn replies_are_sealed_and_opened_as_recorded() {
    messages_are_as_recorded::<Reply>("replies.txt", Direction::Reply);
}

fn sealed_call(json: &str) -> Vec<u8> {
    let value: serde_json::Value = serde_json::from_str(json).unwrap();
    Keys::read("nord", KEY).unwrap().seal(Direction::Call, &value).unwrap()
}

#[tokio::test(flavor = "current_thread")]
async fn messages_and_keys_are_rejected_as_recorded() {
    let mut got = String::new();
    let line = String::from_utf8(read_recorded("calls.txt")).unwrap();
    let json = line.lines().next().unwrap().split_once(' ').unwrap().1.to_string();
    let (valid_keys, sealed) = (Keys::read("nord", KEY).unwrap(), sealed_call(&json));
    let other_keys = Keys::read("nord", "another key, also long enough").unwrap();
    let other_fleet = Keys::read("sued", KEY).unwrap();
    let flipped: Vec<u8> = sealed.iter().enumerate().map(|(at, b)| b ^ u8::from(at == 40)).collect();
    for (case, keys, direction, bytes) in [
        ("another key", &other_keys, Direction::Call, &sealed),
        ("another fleet", &other_fleet, Direction::Call, &sealed),
        ("the other way", &valid_keys, Direction::Reply, &sealed),
        ("a bit flipped", &valid_keys, Direction::Call, &flipped),
        ("cut", &valid_keys, Direction::Call, &sealed[..60].to_vec()),
        ("no whole hash", &valid_keys, Direction::Call, &sealed[..20].to_vec()),
        ("an unknown question", &valid_keys, Direction::Call, &sealed_call(&json.replace("beat", "dance"))),
        ("an unknown state", &valid_keys, Direction::Call, &sealed_call(&json.replace("starting", "asleep"))),
        ("a field missing", &valid_keys, Direction::Call, &sealed_call(r#"{"v":1}"#)),
        (
            "a version above 255",
            &valid_keys,
            Direction::Call,
            &sealed_call(&json.replace("\"v\":1", "\"v\":256")),
        ),
    ] {
        let error = keys.open::<Call>(direction, &bytes[4..]).unwrap_err();
        writeln!(got, "open, {case}: {:?}: {error}", error.kind()).unwrap();
    }
    for (case, length) in
        [("short", 31_u32), ("long", 32 + (128 << 10) + 1), ("all ones", u32::MAX), ("cut", 40)]
    {
        let bytes = [&length.to_be_bytes()[..], &[7; 39]].concat();
        let error = wire::read(&mut &bytes[..]).await.unwrap_err();
        writeln!(got, "read, {case}: {:?}: {error}", error.kind()).unwrap();
    }
    let error = valid_keys.seal(Direction::Call, &"x".repeat(wire::MAX_BODY_BYTES)).unwrap_err();
    writeln!(got, "seal, too long: {:?}: {error}", error.kind()).unwrap();
    let three_keys = format!("{KEY}\n{KEY}2\n{KEY}3\n");
    for text in ["", "\n \n", "short", &format!("{KEY}\nshort"), &three_keys] {
        writeln!(got, "keys {text:?}: {}", Keys::read("nord", text).unwrap_err()).unwrap();
    }
    writeln!(got, "debug: {:?}", Keys::read("nord", &format!("{KEY}\n\n{KEY}2")).unwrap()).unwrap();
    assert_as_recorded("rejected.txt", &got);
}

/// A running router answers a call of an unknown router that requests its incarnation. It answers no other call of an unknown
/// router and no call of a later version.
#[test]
fn a_running_router_answers_a_sealed_call_as_recorded() {
    let fleet = FleetProcesses::resumed("recorded-calls", 73, 1, 1, fleet_processes::ONE_OUT);
    let keys = Keys::read("test", "the key of this fleet of tests").unwrap();
    let mut got = String::new();
    for (case, body) in [
        ("of no router, its life", r#"{"v":1,"from":200,"life":7,"number":5,"what":"life"}"#),
        ("of no router, a look", r#"{"v":1,"from":200,"life":7,"number":5,"what":{"ask":"look"}}"#),
        ("of a later version", r#"{"v":2,"from":200,"life":7,"number":5,"what":"life"}"#),
    ] {
        let value: Box<serde_json::value::RawValue> = serde_json::from_str(body).unwrap();
        let mut stream = TcpStream::connect(fleet.routers[0].fleet_addr).unwrap();
        stream.write_all(&keys.seal(Direction::Call, &value).unwrap()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let (head, json) = answer.split_at(HEADER_BYTES.min(answer.len()));
        writeln!(got, "{case}: {} {}", hex(head), std::str::from_utf8(json).unwrap()).unwrap();
    }
    fleet.wait_until("two calls are counted as rejected", || fleet.run_command(0, "status")["spoilt"] == 2);
    assert_as_recorded("answered.txt", &got);
}
