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

fn opened(keys: &Keys, way: Direction, bytes: &[u8]) -> Result<Call, String> {
    keys.open(way, &bytes[4..]).map_err(|e| e.to_string())
}

#[test]
fn a_message_is_read_by_its_fleet_its_key_and_its_way_alone() {
    let keys = Keys::read("nord", KEY).unwrap();
    let bytes = keys.seal(Direction::Call, &call()).unwrap();
    assert_eq!(opened(&keys, Direction::Call, &bytes).unwrap().sequence, 3);
    let stranger = "signed by no key of this fleet";
    assert_eq!(opened(&keys, Direction::Reply, &bytes).unwrap_err(), stranger, "sent back");
    assert_eq!(opened(&Keys::read("sued", KEY).unwrap(), Direction::Call, &bytes).unwrap_err(), stranger);
    let other = Keys::read("nord", "another key, also long enough").unwrap();
    assert_eq!(opened(&other, Direction::Call, &bytes).unwrap_err(), stranger);
    let both = Keys::read("nord", &format!("another key, also long enough\n{KEY}\n")).unwrap();
    assert!(opened(&both, Direction::Call, &bytes).is_ok(), "while keys change");
    for k in 4..bytes.len() {
        let mut torn = bytes.clone();
        torn[k] ^= 1;
        assert!(opened(&keys, Direction::Call, &torn).is_err(), "byte {k} flipped");
        assert!(opened(&keys, Direction::Call, &bytes[..k]).is_err(), "cut at {k}");
    }
}

#[test]
fn keys_that_are_none_are_told() {
    for (text, why) in [
        ("", "holds 0 keys"),
        ("short", "key 1 is shorter"),
        (
            "a key of sixteen bytes and more\nb key of sixteen bytes and more\nc key of sixteen bytes\n",
            "holds 3 keys",
        ),
    ] {
        assert!(Keys::read("nord", text).unwrap_err().to_string().contains(why), "{text:?}");
    }
}

/// Bytes of the first version, as a router of it writes them: later ones must read these.
#[test]
fn the_first_versions_bytes_are_read() {
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
