use super::*;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    let settings = r#"{"ReplicasOfMe": 1, "Profiles": [{"Name": "a", "GoalTimeNs": 1, "DeadlineNs": 1}]}"#;
    Limits::new(64, 512, &tallypin::deployment::parse(settings).unwrap())
}

#[test]
fn after_an_answer_it_goes_on_only_if_all_agree() {
    use Stage::{AnnouncingClose, Closing, ClosingIdle, Grace, Serving};
    let now = Instant::now();
    for (then, keeps, crowded, stage, goes_on) in [
        (AfterAnswer::KeepOpen, true, false, Serving, true),
        (AfterAnswer::KeepOpenAfterRejection, true, false, Serving, true),
        (AfterAnswer::KeepOpen, true, false, Grace, true),
        (AfterAnswer::Close, true, false, Serving, false),
        (AfterAnswer::KeepOpen, false, false, Serving, false),
        (AfterAnswer::KeepOpenAfterRejection, false, false, Serving, false),
        (AfterAnswer::KeepOpen, true, true, Serving, false),
        (AfterAnswer::KeepOpen, true, false, AnnouncingClose, false),
        (AfterAnswer::KeepOpenAfterRejection, true, false, ClosingIdle, false),
        (AfterAnswer::KeepOpen, true, false, Closing, false),
    ] {
        let mut connection = KeepAlive::new(now, crowded);
        connection.request_started(now, &limits());
        let answered = connection.stays_open_after(now, then, keeps, stage);
        assert_eq!(answered, goes_on, "{then:?} keeps {keeps} crowded {crowded} {stage:?}");
    }
}

#[test]
fn a_first_request_is_timed_from_the_opening_and_others_from_their_beginning() {
    let (limits, now) = (limits(), Instant::now());
    let mut connection = KeepAlive::new(now, false);
    assert_eq!(
        connection.idle_limit(&limits),
        IdleLimit { duration: limits.first_request_timeout, until: Stage::Closing }
    );
    assert_eq!(
        connection.request_started(now + 900 * MS, &limits).complete_by,
        now + limits.request_read_timeout
    );
    assert!(connection.stays_open_after(now + 1000 * MS, AfterAnswer::KeepOpen, true, Stage::Serving));
    assert_eq!(
        connection.idle_limit(&limits),
        IdleLimit { duration: limits.client_idle_timeout, until: Stage::ClosingIdle }
    );
    let later = now + 5000 * MS;
    assert_eq!(
        connection.request_started(later, &limits),
        RequestStart { pause: None, complete_by: later + limits.request_read_timeout }
    );
}

#[test]
fn only_refusals_asked_against_at_once_again_and_again_bring_a_pause() {
    let limits = limits();
    // After how long the next one comes, what the last answer was, and whether it is read after a pause.
    for (wait, then, pauses) in [
        (Duration::ZERO, AfterAnswer::KeepOpenAfterRejection, true),
        (limits.immediate_retry_window, AfterAnswer::KeepOpenAfterRejection, true),
        (limits.immediate_retry_window + MS, AfterAnswer::KeepOpenAfterRejection, false),
        (Duration::ZERO, AfterAnswer::KeepOpen, false),
    ] {
        let mut now = Instant::now();
        let mut connection = KeepAlive::new(now, false);
        for n in 0..=limits.max_immediate_retries + 1 {
            let pause = connection.request_started(now, &limits).pause;
            let wanted = (pauses && n > limits.max_immediate_retries).then_some(limits.immediate_retry_pause);
            assert_eq!(pause, wanted, "{wait:?} {then:?}, number {n}");
            assert!(connection.stays_open_after(now, then, true, Stage::Serving));
            now += wait;
        }
        // One that waits is patient again.
        now += limits.immediate_retry_window + MS;
        assert_eq!(connection.request_started(now, &limits).pause, None);
    }
}
