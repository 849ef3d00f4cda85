//! Recorded files and JSON.

use std::fmt::Debug;
use std::path::{Path, PathBuf};

use serde::{de::DeserializeOwned, Serialize};
use serde_json::{from_str, to_string, Value as Json};

/// Set to 1 to write the recorded files anew.
const RECORD: &str = "RECORD";

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

pub fn read(name: &str) -> String {
    std::fs::read_to_string(file(name)).unwrap_or_else(|e| panic!("recorded file {name}: {e}"))
}

/// Fails at the first line that is not as recorded, and when there is no record.
pub fn compare(name: &str, now: &str) {
    if std::env::var_os(RECORD).is_some_and(|value| value == "1") {
        std::fs::write(file(name), now).unwrap_or_else(|e| panic!("{name}: {e}"));
    }
    let recorded = read(name);
    let mut lines = (1..).zip(recorded.lines().zip(now.lines()));
    if let Some((line, (was, is))) = lines.find(|(_, (was, is))| was != is) {
        panic!("{name}:{line}:\nrecorded {was}\nnow      {is}");
    }
    assert!(recorded == now, "{name}: {} bytes recorded, {} now", recorded.len(), now.len());
}

pub fn json<T: Serialize>(value: &T) -> String {
    to_string(value).expect("it has a JSON form")
}

/// The JSON of a value, which is read back as the same value.
pub fn round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T) -> String {
    let text = json(value);
    assert_eq!(&parse::<T>(&text), value, "{text}");
    text
}

/// One line of JSON for each value, each read back as the same value.
pub fn lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    values.iter().map(|value| round_trip(value) + "\n").collect()
}

pub fn parse<T: DeserializeOwned>(text: &str) -> T {
    from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"))
}

/// The name of an enum's variant, which is the whole JSON or its only key.
pub fn variant(json: &str) -> String {
    match parse(json) {
        Json::String(name) => name,
        Json::Object(map) => map.keys().next().expect("it has a key").clone(),
        other => panic!("no variant: {other}"),
    }
}
