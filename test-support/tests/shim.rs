//! The library that has calls on sockets fail: the same seeds and calls give the same faults.
#![allow(missing_docs)]

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

use tallypin_test_support::shim::Library;

/// Connections that the part opens, one after the other: fewer than wait at a listener.
const CONNECTIONS: usize = 100;

/// A part that the test below starts: calls that wait for nothing, so that none depends on timing.
#[test]
#[ignore = "a part of the_same_seed_gives_the_same_faults"]
fn part_connect() {
    let listener = (0..100).find_map(|_| TcpListener::bind("127.0.0.1:0").ok()).expect("a port");
    let at = listener.local_addr().expect("it is bound");
    for _ in 0..CONNECTIONS {
        // Whatever fails is left: how far it came is the same in each run.
        let Ok(mut client) = TcpStream::connect(at) else { continue };
        for _ in 0..10 {
            let _ = client.write(&[7; 100]);
        }
    }
}

/// What the library says of a run of the part.
fn faults(library: &Path, seed: &str) -> String {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["part_connect", "--exact", "--ignored", "--test-threads", "1"]);
    command.env("LD_PRELOAD", library).env("FAULT_SEED", seed);
    command.env("FAULT_FAILURES", "100").env("FAULT_SHORT", "200").env("FAULT_FIRST", "3");
    let output = command.output().expect("it can be started");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    text.lines().find(|l| l.starts_with("faults: ")).expect("it tells of its faults").to_string()
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let first = faults(&library, "1");
    println!("{first}");
    assert!(!first.contains(" 0 calls failed, 0 cut short"), "{first}");
    assert_eq!(first, faults(&library, "1"));
    assert_ne!(first, faults(&library, "2"));
}
