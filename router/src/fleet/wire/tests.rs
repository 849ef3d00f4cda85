use tallypin_consensus::register::{AcceptorReply, AcceptorRequest};
use tallypin_membership::AdvertisedStatus;

use super::*;

const KEY: &str = "a key of sixteen bytes and more";

fn call() -> Call {
    Call {
        version: VERSION,
        from: 1,
        incarnation: 2,
        sequence: 3,
        request: Request::Heartbeat(AdvertisedStatus::Serving),
        report: None,
    }
}

fn open(keys: &Keys, direction: Direction, bytes: &[u8]) -> Result<Call, String> {
    keys.open(direction, &bytes[4..]).map_err(|e| e.to_string())
}

#[test]
fn a_message_is_accepted_only_with_its_fleet_key_and_direction() {
    let keys = Keys::read("nord", KEY).unwrap();
    let bytes = keys.seal(Direction::Call, &call()).unwrap();
    assert_eq!(open(&keys, Direction::Call, &bytes).unwrap().sequence, 3);
    let not_signed = "the message is not signed by a key of this fleet";
    assert_eq!(open(&keys, Direction::Reply, &bytes).unwrap_err(), not_signed, "sent back");
    assert_eq!(open(&Keys::read("sued", KEY).unwrap(), Direction::Call, &bytes).unwrap_err(), not_signed);
    let other = Keys::read("nord", "another key, also long enough").unwrap();
    assert_eq!(open(&other, Direction::Call, &bytes).unwrap_err(), not_signed);
    let both = Keys::read("nord", &format!("another key, also long enough\n{KEY}\n")).unwrap();
    assert!(open(&both, Direction::Call, &bytes).is_ok(), "during a key rotation");
    for k in 4..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[k] ^= 1;
        assert!(open(&keys, Direction::Call, &corrupted).is_err(), "bit flipped in byte {k}");
        assert!(open(&keys, Direction::Call, &bytes[..k]).is_err(), "cut at {k}");
    }
}

#[test]
fn invalid_key_files_are_rejected_with_a_reason() {
    for (text, expected) in [
        ("", "holds 0 keys"),
        ("short", "key 1 is shorter"),
        (
            "a key of sixteen bytes and more\nb key of sixteen bytes and more\nc key of sixteen bytes\n",
            "holds 3 keys",
        ),
    ] {
        assert!(Keys::read("nord", text).unwrap_err().to_string().contains(expected), "{text:?}");
    }
}

/// Guards compatibility: bodies as routers of the first version write them must remain readable.
#[test]
fn messages_of_the_first_version_are_read() {
    let body = br#"{"v":1,"from":2,"life":7,"number":9,"what":{"ask":{"prepare":{"number":4,"by":2,"life":7}}},"later":1}"#;
    let call: Call = serde_json::from_slice(body).unwrap();
    assert!(matches!(call.request, Request::Acceptor(AcceptorRequest::Prepare(b)) if b.number == 4));
    let body = br#"{"v":1,"number":9,"what":{"answer":[{"promised":{"life":7,"taken":[{"number":1,"by":0,"life":7},{"lives":[7],"document":{"version":3,"halted":null,"entries":{"4":{"stage":{"leave":8},"order":"d"}},"orders":["d"]}}]}},[1,2]]}}"#;
    let reply: Reply = serde_json::from_slice(body).unwrap();
    let Response::Acceptor(AcceptorReply::Promised { accepted: Some(accepted), .. }, Some(out)) =
        reply.response
    else {
        panic!()
    };
    assert_eq!((accepted.value.state.version, accepted.value.state.drains.len(), out), (3, 1, vec![1, 2]));
}
