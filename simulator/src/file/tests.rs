use super::*;

const SMALL: &str = "
        fleet {
            nodes 10
        }
        kinds {
            kind new 3
            kind old 7
            slots new 24
            step new 11ms
            read old 15000
        }
        load {
            rate 40
            sessions 300
        }
        classes {
            class chat 1200ms 4s
        }
    ";

fn parse(text: &str) -> Result<Plan, String> {
    let read = |_: &Path| Ok(text.to_string());
    read_by(Path::new("fleet.conf"), 1, &read).map_err(|p| p.short().collect::<Vec<_>>().join("\n"))
}

#[test]
fn a_plan_is_read_with_its_defaults() {
    let plan = parse(SMALL).expect("a good file");
    assert_eq!((plan.nodes, plan.routers, plan.rate, plan.kinds.len()), (10, 2, 40.0, 10));
    assert_eq!(plan.kinds.iter().filter(|k| k.slots == 24 && k.step == 11e6).count(), 3);
    assert!(plan.kinds.iter().any(|k| (k.per_read - 1e9 / 15e3).abs() < 1.0));
    assert_eq!((plan.cold_share, plan.deadlines[0], plan.deploy), (0.15, 4_000_000_000, None));
    // Evenly mixed: no three of the rarer kind in a row.
    assert!(plan.kinds.windows(2).all(|w| w[0].slots != 24 || w[1].slots != 24));
}

#[test]
fn what_is_wrong_is_told_with_line_and_word() {
    let cases = [
        (
            "nodes 10",
            "nodes 0",
            "fleet.conf:3:19: invalid argument of `nodes`, expected a whole number from 1 to 20000",
        ),
        ("rate 40", "rat 40", "did you mean `rate`?"),
        ("slots new 24", "slots nwe 24", "no kind of node is named `nwe` (did you mean `new`?)"),
        ("step new 11ms", "step new 11", "invalid argument of `step`, expected a time with its unit"),
        ("class chat 1200ms 4s", "class chat 1200ms 1s", "a client gives up before the aim"),
        ("class chat 1200ms 4s", "", "section `classes` lacks `class`"),
        ("step new 11ms", "step new 0us\nper-request new 0us\nread new 10000000", "its steps take no time"),
    ];
    for (good, bad, told) in cases {
        let text = SMALL.replace(good, bad);
        let wrong = parse(&text).expect_err(bad);
        assert!(wrong.contains(told), "{bad}: {wrong}");
    }
    let late = format!("{SMALL}\ntroubles {{\n deploy 10s 90s 50%\n}}\n");
    assert!(parse(&late).expect_err("too late").contains("within the length of the load"));
}

#[test]
fn the_examples_are_good() {
    for name in ["muenchen-nord-like.conf", "large.conf"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("fleets").join(name);
        let plan = read(&path, 1).unwrap_or_else(|p| panic!("{p}"));
        assert!(plan.nodes >= 12);
    }
}
