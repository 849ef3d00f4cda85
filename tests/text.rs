//! The decision module stays readable: its length and the length of its lines are bounded.

#[test]
fn the_module_keeps_its_bounds() {
    let text = include_str!("../src/choice.rs");
    let reports = include_str!("../src/choice/reports.rs");
    let health = include_str!("../src/choice/health.rs");
    for (name, text, most) in
        [("choice.rs", text, 850), ("reports.rs", reports, 100), ("health.rs", health, 100)]
    {
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines < most, "{name} has {lines} non-blank lines");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too long", i + 1);
        }
    }
    assert!(text.lines().next().is_some_and(|l| l.contains("api.rs")), "the top names api.rs");
}
