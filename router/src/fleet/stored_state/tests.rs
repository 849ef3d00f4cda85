use super::*;

#[test]
fn a_stored_state_is_read_back_and_a_corrupted_one_is_rejected() {
    let state = FleetState { version: 7, halted: Some("x".into()), ..FleetState::default() };
    let bytes = encode("nord", &state).unwrap();
    assert_eq!(decode("nord", &bytes).unwrap(), state);
    assert!(decode("sued", &bytes).unwrap_err().to_string().contains("another fleet"));
    for k in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[k] ^= 1;
        assert!(decode("nord", &flipped).is_err(), "byte {k}");
        assert!(decode("nord", &bytes[..k]).is_err(), "cut at {k}");
    }
}

/// Guards the format of the stored state: the recorded file is written byte for byte, and the results of reading it, and
/// of reading damaged variants of it, are as recorded.
#[test]
fn a_stored_state_is_written_and_read_as_recorded() {
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/fleet");
    let (path, results_path) = (recorded.join("folder/stored"), recorded.join("stored.txt"));
    let bytes = std::fs::read(&path).unwrap();
    let body = &bytes[bytes.iter().position(|b| *b == b'\n').unwrap() + 1..];
    let stored: StoredState = serde_json::from_slice(body).unwrap();
    let written = encode(&stored.fleet, &stored.state).unwrap();
    let with_digest =
        |body: &str| [release_files::digest(body.as_bytes()).as_bytes(), b"\n", body.as_bytes()].concat();
    let text = std::str::from_utf8(body).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let mut results = String::new();
    for (case, fleet, bytes) in [
        ("whole", "test", written.clone()),
        ("of another fleet", "nord", written.clone()),
        ("half", "test", written[..written.len() / 2].to_vec()),
        ("half of the digest", "test", written[..30].to_vec()),
        ("a byte short", "test", written[..written.len() - 1].to_vec()),
        ("empty", "test", vec![]),
        ("another text", "test", b"not that".to_vec()),
        ("of a later version", "test", with_digest(&text.replace("\"v\":1", "\"v\":2"))),
        ("without a document", "test", with_digest("{\"v\":1,\"fleet\":\"test\"}")),
        ("with a field of later", "test", with_digest(&text.replace("\"v\":1", "\"v\":1,\"later\":1"))),
    ] {
        let path = dir.path().join("stored");
        std::fs::write(&path, bytes).unwrap();
        let read = read(&path, fleet).map(|state| serde_json::to_string(&state).unwrap());
        results += &format!("{case}: {}\n", read.unwrap_or_else(|error| format!("can't be read: {error}")));
    }
    results += &format!("nowhere: {:?}\n", read(&dir.path().join("nowhere"), "test"));
    write(&dir.path().join("again"), "test", &stored.state).unwrap();
    assert_eq!(std::fs::read(dir.path().join("again")).unwrap(), written);
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(&path, &written).unwrap();
        std::fs::write(&results_path, &results).unwrap();
    }
    assert_eq!(std::fs::read(&path).unwrap(), written);
    assert_eq!(results, std::fs::read_to_string(&results_path).unwrap());
}
