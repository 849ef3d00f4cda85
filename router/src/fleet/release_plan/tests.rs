use super::*;

fn read_text(text: &str) -> Result<ReleaseRequest, String> {
    let read_file = |_: &Path| Ok(text.to_string());
    read("p.conf".as_ref(), &read_file).map_err(|p| p.to_string())
}

#[test]
fn a_valid_plan_is_read_and_problems_are_reported_with_their_place() {
    let digest = "a".repeat(64);
    let valid =
        format!("release {{\n what settings\n digest {digest}\n wave r0\n wave zone a\n failed 0.5%\n}}\n");
    let plan = read_text(&valid).unwrap();
    assert_eq!((plan.waves.len(), plan.plan.max_extra_failed, plan.plan.watch_ms), (2, 5, 60_000));
    assert_eq!(plan.waves[1], ["zone", "a"]);
    for (from, to, expected) in [
        ("what settings", "what else", "2:"),
        (digest.as_str(), "abc", "64 hex digits"),
        ("wave r0", "wafe r0", "did you mean `wave`"),
        ("failed 0.5%", "failed half", "6:"),
        ("digest", "file nowhere\n digest", "either `file` or `digest`"),
        ("release", "realease", "release"),
    ] {
        let message = read_text(&valid.replacen(from, to, 1)).unwrap_err();
        assert!(message.contains(expected), "{to}: {message}");
    }
    let missing = valid.replace(&format!("digest {digest}"), "file nowhere-at-all");
    assert!(read_text(&missing).unwrap_err().contains("nowhere-at-all"));
}
