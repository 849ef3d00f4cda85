//! Data at a router's fleet address that is no message of its fleet.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::fleet_processes::{FleetProcesses, ONE_OUT};

/// Foreign protocols, truncated or unsigned messages and invalid lengths are counted and get no answer.
#[test]
fn invalid_messages_are_counted_and_not_answered() {
    let fleet = FleetProcesses::resumed("forged", 48, 3, 3, ONE_OUT);
    let before = fleet.run_command(0, "status")["spoilt"].as_u64().unwrap();
    let too_short = [&8_u32.to_be_bytes()[..], b"forgery!"].concat();
    let wrong_signature = [&40_u32.to_be_bytes()[..], &[7; 40]].concat();
    // Valid except for its signature. If accepted, r1 would count as ending, since the incarnation is above its own.
    let body = br#"{"v":1,"from":1,"life":18446744073709551615,"number":1,"what":{"beat":"ending"}}"#;
    let valid_but_unsigned = [&(32 + body.len() as u32).to_be_bytes()[..], &[7; 32], body].concat();
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &too_short, &wrong_signature, &valid_but_unsigned]
    {
        let mut stream = TcpStream::connect(fleet.routers[0].fleet_addr).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "an invalid message gets no answer");
    }
    fleet.wait_until("all invalid messages are counted", || {
        fleet.run_command(0, "status")["spoilt"].as_u64().unwrap() >= before + 5
    });
    let reply = fleet.run_command(0, "halt");
    assert!(
        reply["code"] == 0 && reply["out_here"] == serde_json::json!([]),
        "the fleet goes on as before: {reply}"
    );
}
