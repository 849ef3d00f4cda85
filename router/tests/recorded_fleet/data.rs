//! The recorded files.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

pub const KEY: &str = "a key of sixteen bytes and more";
/// Bytes in front of the JSON of a message: its length and its hash.
pub const HEAD: usize = 36;

pub fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/fleet").join(name)
}

pub fn read(name: &str) -> Vec<u8> {
    std::fs::read(recorded(name)).unwrap_or_else(|e| panic!("{}: {e}", recorded(name).display()))
}

/// Compares with what is recorded; says the first line that differs.
pub fn same(name: &str, got: &str) {
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(recorded(name), got).unwrap();
        return;
    }
    let wanted = String::from_utf8(read(name)).unwrap();
    for (at, (wanted, got)) in wanted.lines().zip(got.lines()).enumerate() {
        assert_eq!(got, wanted, "{name}, line {}", at + 1);
    }
    assert_eq!(got, wanted, "{name}");
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}
