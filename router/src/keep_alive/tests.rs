use super::*;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    let settings = r#"{"ReplicasOfMe": 1, "Profiles": [{"Name": "a", "GoalTimeNs": 1, "DeadlineNs": 1}]}"#;
    Limits::new(64, 512, &tallypin::deployment::parse(settings).unwrap())
}

#[test]
fn a_connection_stays_open_only_if_answer_client_limit_and_stage_permit_it() {
    use Stage::{AnnouncingClose, Closing, ClosingIdle, Grace, Serving};
    let now = Instant::now();
    for (after_answer, keeps, over_limit, stage, stays_open) in [
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
        let mut connection = KeepAlive::new(now, over_limit);
        connection.request_started(now, &limits());
        let answered = connection.stays_open_after(now, after_answer, keeps, stage);
        assert_eq!(answered, stays_open, "{after_answer:?} keeps {keeps} over_limit {over_limit} {stage:?}");
    }
}

#[test]
fn the_read_timeout_of_the_first_request_starts_at_the_connect() {
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
fn only_repeated_immediate_retries_after_rejections_cause_a_pause() {
    let limits = limits();
    // The delay of the next request, the effect of the last answer, and whether the next request is read after a pause.
    for (wait, after_answer, pauses) in [
        (Duration::ZERO, AfterAnswer::KeepOpenAfterRejection, true),
        (limits.immediate_retry_window, AfterAnswer::KeepOpenAfterRejection, true),
        (limits.immediate_retry_window + MS, AfterAnswer::KeepOpenAfterRejection, false),
        (Duration::ZERO, AfterAnswer::KeepOpen, false),
    ] {
        let mut now = Instant::now();
        let mut connection = KeepAlive::new(now, false);
        for n in 0..=limits.max_immediate_retries + 1 {
            let pause = connection.request_started(now, &limits).pause;
            let expected =
                (pauses && n > limits.max_immediate_retries).then_some(limits.immediate_retry_pause);
            assert_eq!(pause, expected, "{wait:?} {after_answer:?}, number {n}");
            assert!(connection.stays_open_after(now, after_answer, true, Stage::Serving));
            now += wait;
        }
        // A request after the window resets the count.
        now += limits.immediate_retry_window + MS;
        assert_eq!(connection.request_started(now, &limits).pause, None);
    }
}
