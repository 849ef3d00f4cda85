use super::*;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    let settings = r#"{"ReplicasOfMe": 1, "Profiles": [{"Name": "a", "GoalTimeNs": 1, "DeadlineNs": 1}]}"#;
    Limits::new(64, 512, &tallypin::deployment::parse(settings).unwrap())
}

#[test]
fn after_an_answer_it_goes_on_only_if_all_agree() {
    use Stage::{Closing, Grace, Parted, Parting, Serving};
    let now = Instant::now();
    for (then, keeps, crowded, stage, goes_on) in [
        (Then::Next, true, false, Serving, true),
        (Then::Refused, true, false, Serving, true),
        (Then::Next, true, false, Grace, true),
        (Then::Close, true, false, Serving, false),
        (Then::Next, false, false, Serving, false),
        (Then::Refused, false, false, Serving, false),
        (Then::Next, true, true, Serving, false),
        (Then::Next, true, false, Parting, false),
        (Then::Refused, true, false, Parted, false),
        (Then::Next, true, false, Closing, false),
    ] {
        let mut connection = KeepAlive::new(now, crowded);
        connection.begins(now, &limits());
        let answered = connection.answered(now, then, keeps, stage);
        assert_eq!(answered, goes_on, "{then:?} keeps {keeps} crowded {crowded} {stage:?}");
    }
}

#[test]
fn a_first_request_is_timed_from_the_opening_and_others_from_their_beginning() {
    let (limits, now) = (limits(), Instant::now());
    let mut connection = KeepAlive::new(now, false);
    assert_eq!(connection.rest(&limits), Rest { limit: limits.first, until: Stage::Closing });
    assert_eq!(connection.begins(now + 900 * MS, &limits).whole_by, now + limits.read);
    assert!(connection.answered(now + 1000 * MS, Then::Next, true, Stage::Serving));
    assert_eq!(connection.rest(&limits), Rest { limit: limits.idle_client, until: Stage::Parted });
    let later = now + 5000 * MS;
    assert_eq!(connection.begins(later, &limits), Begun { pause: None, whole_by: later + limits.read });
}

#[test]
fn only_refusals_asked_against_at_once_again_and_again_bring_a_pause() {
    let limits = limits();
    // After how long the next one comes, what the last answer was, and whether it is read after a pause.
    for (wait, then, pauses) in [
        (Duration::ZERO, Then::Refused, true),
        (limits.at_once, Then::Refused, true),
        (limits.at_once + MS, Then::Refused, false),
        (Duration::ZERO, Then::Next, false),
    ] {
        let mut now = Instant::now();
        let mut connection = KeepAlive::new(now, false);
        for n in 0..=limits.patience + 1 {
            let pause = connection.begins(now, &limits).pause;
            let wanted = (pauses && n > limits.patience).then_some(limits.pause);
            assert_eq!(pause, wanted, "{wait:?} {then:?}, number {n}");
            assert!(connection.answered(now, then, true, Stage::Serving));
            now += wait;
        }
        // One that waits is patient again.
        now += limits.at_once + MS;
        assert_eq!(connection.begins(now, &limits).pause, None);
    }
}
