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
    let read_file = |_: &Path| Ok(text.to_string());
    read_with(Path::new("fleet.conf"), 1, &read_file).map_err(|p| p.short().collect::<Vec<_>>().join("\n"))
}

#[test]
fn reads_a_plan_and_fills_in_defaults() {
    let plan = parse(SMALL).expect("the file is valid");
    assert_eq!((plan.nodes, plan.routers, plan.rate_per_s, plan.kinds.len()), (10, 2, 40.0, 10));
    assert_eq!(plan.kinds.iter().filter(|k| k.max_batch_size == 24 && k.step_base_ns == 11e6).count(), 3);
    assert!(plan.kinds.iter().any(|k| (k.per_prefill_token_ns - 1e9 / 15e3).abs() < 1.0));
    assert_eq!((plan.initial_speed_share, plan.deadlines[0], plan.deploy), (0.15, 4_000_000_000, None));
    // Kinds are interleaved: two nodes of the rarer kind are never neighbours.
    assert!(plan.kinds.windows(2).all(|w| w[0].max_batch_size != 24 || w[1].max_batch_size != 24));
}

#[test]
fn problems_are_reported_with_their_position_and_a_suggestion() {
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
    for (valid, invalid, message) in cases {
        let text = SMALL.replace(valid, invalid);
        let problems = parse(&text).expect_err(invalid);
        assert!(problems.contains(message), "{invalid}: {problems}");
    }
    let late_deploy = format!("{SMALL}\ntroubles {{\n deploy 10s 90s 50%\n}}\n");
    assert!(parse(&late_deploy)
        .expect_err("the deploy ends after the load")
        .contains("within the length of the load"));
}

#[test]
fn example_files_are_valid() {
    for name in ["muenchen-nord-like.conf", "large.conf"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("fleets").join(name);
        let plan = read(&path, 1).unwrap_or_else(|p| panic!("{p}"));
        assert!(plan.nodes >= 12);
    }
}
