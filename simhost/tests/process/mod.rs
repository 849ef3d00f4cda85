//! Runs the simulator adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::thread;

/// Runs the adapter with this input and waits for its end.
pub fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tallypin-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The replies may fill the pipe before all input is written.
    thread::scope(|scope| {
        scope.spawn(move || stdin.write_all(input.as_bytes()).expect("the adapter reads its input"));
        child.wait_with_output().expect("the adapter ends")
    })
}
