//! Tests that the socket fault library is deterministic: the same seeds and calls give the same faults; and that signal
//! handlers may call its functions.
#![allow(missing_docs)]

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

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

/// Time after which a program that waits for itself is killed.
const PROGRAM_TIME_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a program that hangs in the library: a handler that wrote to a socket waited for a lock which the function
/// that it had interrupted held. A router hung so at SIGTERM, with seed 202 of the runs with transfers of one byte.
#[test]
fn signal_handlers_may_interrupt_the_functions_of_the_library_and_call_them() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let (source, program) = (dir.path().join("interrupted.c"), dir.path().join("interrupted"));
    std::fs::write(&source, include_str!("interrupted.c")).unwrap();
    let compiled = Command::new("cc").arg("-o").arg(&program).arg(&source).status().expect("a C compiler");
    assert!(compiled.success());
    let mut child = Command::new(&program).env("LD_PRELOAD", library).spawn().expect("the program starts");
    let started = Instant::now();
    let status = loop {
        match child.try_wait().unwrap() {
            None if started.elapsed() < PROGRAM_TIME_LIMIT => std::thread::sleep(Duration::from_millis(5)),
            status => break status,
        }
    };
    if status.is_none() {
        child.kill().unwrap();
        child.wait().unwrap();
    }
    assert!(status.is_some_and(|status| status.success()), "{status:?} within {PROGRAM_TIME_LIMIT:?}");
}
