//! Helpers for recorded files and for JSON.

use std::fmt::Debug;
use std::path::{Path, PathBuf};

use serde::{de::DeserializeOwned, Serialize};
use serde_json::{from_str, to_string, Value as Json};

/// Environment variable; 1 writes the recorded files again.
const RECORD: &str = "RECORD";

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

pub fn read(name: &str) -> String {
    std::fs::read_to_string(file(name)).unwrap_or_else(|e| panic!("recorded file {name}: {e}"))
}

/// Panics at the first line that differs from the recorded file, or if there is no such file.
pub fn compare(name: &str, actual: &str) {
    if std::env::var_os(RECORD).is_some_and(|value| value == "1") {
        std::fs::write(file(name), actual).unwrap_or_else(|e| panic!("{name}: {e}"));
    }
    let recorded = read(name);
    let mut lines = (1..).zip(recorded.lines().zip(actual.lines()));
    if let Some((line, (expected, found))) = lines.find(|(_, (expected, found))| expected != found) {
        panic!("{name}:{line}:\nrecorded {expected}\nactual   {found}");
    }
    assert!(recorded == actual, "{name}: {} bytes recorded, {} actual", recorded.len(), actual.len());
}

pub fn json<T: Serialize>(value: &T) -> String {
    to_string(value).expect("the value has a JSON form")
}

/// Returns the JSON of a value. Panics if it does not parse to an equal value.
pub fn round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T) -> String {
    let text = json(value);
    assert_eq!(&parse::<T>(&text), value, "{text}");
    text
}

/// Returns one line of JSON for each value, by [`round_trip`].
pub fn lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    values.iter().map(|value| round_trip(value) + "\n").collect()
}

pub fn parse<T: DeserializeOwned>(text: &str) -> T {
    from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"))
}

/// Returns the name of an enum variant: the JSON string itself, or the object's only key.
pub fn variant(json: &str) -> String {
    match parse(json) {
        Json::String(name) => name,
        Json::Object(map) => map.keys().next().expect("the object has a key").clone(),
        other => panic!("not an enum variant: {other}"),
    }
}
