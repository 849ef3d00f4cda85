//! Tests that the socket fault library is deterministic: the same seeds and calls give the same faults.
#![allow(missing_docs)]

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

use tallypin_test_support::fault_injection::Library;

/// Number of connections that the child process opens one after the other; small enough for the backlog of the
/// listener.
const CONNECTIONS: usize = 100;

/// Child process of the test below. It makes only calls that never block, so that no result depends on timing.
#[test]
#[ignore = "child process of the_same_seed_gives_the_same_faults"]
fn child_process_connects() {
    let listener = (0..100).find_map(|_| TcpListener::bind("127.0.0.1:0").ok()).expect("a free port");
    let at = listener.local_addr().expect("the listener is bound");
    for _ in 0..CONNECTIONS {
        // A failed connection or write is ignored: each run fails at the same place.
        let Ok(mut client) = TcpStream::connect(at) else { continue };
        for _ in 0..10 {
            let _ = client.write(&[7; 100]);
        }
    }
}

/// Runs the child process with the library and returns its summary of the injected faults.
fn injected_faults(library: &Path, seed: &str) -> String {
    let mut command = Command::new(std::env::current_exe().expect("the path of this program"));
    command.args(["child_process_connects", "--exact", "--ignored", "--test-threads", "1"]);
    command.env("LD_PRELOAD", library).env("FAULT_SEED", seed);
    command.env("FAULT_FAILURES", "100").env("FAULT_SHORT", "200").env("FAULT_FIRST", "3");
    let output = command.output().expect("the child process starts");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    text.lines().find(|l| l.starts_with("faults: ")).expect("the library reports its faults").to_string()
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let first = injected_faults(&library, "1");
    println!("{first}");
    assert!(!first.contains(" 0 calls failed, 0 cut short"), "{first}");
    assert_eq!(first, injected_faults(&library, "1"));
    assert_ne!(first, injected_faults(&library, "2"));
}
