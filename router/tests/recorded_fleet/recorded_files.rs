//! Reads the recorded files and compares with them.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

pub const KEY: &str = "a key of sixteen bytes and more";
/// Number of bytes before the JSON of a message: its length and its hash.
pub const HEADER_BYTES: usize = 36;

pub fn recorded_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/fleet").join(name)
}

pub fn read_recorded(name: &str) -> Vec<u8> {
    std::fs::read(recorded_path(name)).unwrap_or_else(|e| panic!("{}: {e}", recorded_path(name).display()))
}

/// Compares a text with a recorded file and reports the first line that differs. Writes the file instead if `RECORD` is set.
pub fn assert_as_recorded(name: &str, got: &str) {
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(recorded_path(name), got).unwrap();
        return;
    }
    let expected = String::from_utf8(read_recorded(name)).unwrap();
    for (index, (expected, got)) in expected.lines().zip(got.lines()).enumerate() {
        assert_eq!(got, expected, "{name}, line {}", index + 1);
    }
    assert_eq!(got, expected, "{name}");
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}
