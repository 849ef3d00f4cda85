//! What comes to a router's address and is no message of its fleet.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::fleet_rig::{FleetProcesses, ONE};

/// Strangers, torn messages and lengths that no message has: counted, and nothing else.
#[test]
fn what_is_no_message_of_the_fleet_is_counted_and_not_read() {
    let fleet = FleetProcesses::begun("forged", 48, 3, 3, ONE);
    let before = fleet.order(0, "status")["spoilt"].as_u64().unwrap();
    let whole = [&8_u32.to_be_bytes()[..], b"forgery!"].concat();
    let signed = [&40_u32.to_be_bytes()[..], &[7; 40]].concat();
    // All but the signature: it would have r1 taken for one that ends, by a life above its own.
    let body = br#"{"v":1,"from":1,"life":18446744073709551615,"number":1,"what":{"beat":"ending"}}"#;
    let unsigned = [&(32 + body.len() as u32).to_be_bytes()[..], &[7; 32], body].concat();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &whole, &signed, &unsigned] {
        let mut stream = TcpStream::connect(fleet.routers[0].at).unwrap();
        stream.write_all(bytes).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty(), "nothing is said to a stranger");
    }
    fleet.until("all are counted", || fleet.order(0, "status")["spoilt"].as_u64().unwrap() >= before + 5);
    let said = fleet.order(0, "halt");
    assert!(said["code"] == 0 && said["out_here"] == serde_json::json!([]), "and it goes on: {said}");
}
