//! Tests of the admission of requests during a shutdown.

use super::*;

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_000_000 * MS;

fn request(max_answer_tokens: Option<u32>) -> NewRequest {
    NewRequest { time_left: 4000 * MS, max_answer_tokens, ..NewRequest::default() }
}

/// The time left in milliseconds of a request with this token limit, accepted 2 s before answers must have ended.
fn time_left_ms(admission: &ShutdownAdmission, max_tokens: Option<u32>, objective_ms: Nanos) -> Nanos {
    admission.admit(NOW, &request(max_tokens), objective_ms * MS).time_left / MS
}

#[test]
fn the_time_left_shrinks_with_the_longest_possible_answer() {
    let mut admission = ShutdownAdmission::default();
    assert_eq!(time_left_ms(&admission, None, 50), 4000, "without a shutdown, the client's deadline counts");
    admission.require_end_by(NOW + 2000 * MS);
    for (max_tokens, expected) in
        [(Some(10), 1500), (Some(30), 500), (Some(40), 0), (Some(400), 0), (None, 0)]
    {
        assert_eq!(time_left_ms(&admission, max_tokens, 50), expected, "{max_tokens:?} tokens");
    }
    let resumable = NewRequest { is_resumable: true, ..request(None) };
    let unlimited = Admission { time_left: 4000 * MS, complete_by: None };
    assert_eq!(admission.admit(NOW, &resumable, 50 * MS), unlimited);
}

/// Guards against an answer that is held back for longer than its client waits.
#[test]
fn an_answer_that_is_held_back_is_complete_by_the_deadline_and_by_the_end() {
    let mut admission = ShutdownAdmission::default();
    assert_eq!(admission.admit(NOW, &request(Some(10)), 50 * MS).complete_by, None);
    admission.require_end_by(NOW + 2000 * MS);
    assert_eq!(admission.admit(NOW, &request(Some(10)), 50 * MS).complete_by, Some(NOW + 2000 * MS));
    let impatient = NewRequest { time_left: 700 * MS, ..request(Some(10)) };
    let expected = Admission { time_left: 200 * MS, complete_by: Some(NOW + 700 * MS) };
    assert_eq!(admission.admit(NOW, &impatient, 50 * MS), expected);
}

#[test]
fn the_slower_of_the_objective_and_the_pace_of_recent_streams_counts() {
    let mut admission = ShutdownAdmission::default();
    admission.require_end_by(NOW + 2000 * MS);
    assert_eq!(time_left_ms(&admission, Some(10), 0), 0, "the pace is unknown");
    admission.record_stream(MIN_TOKENS - 1, 1);
    assert_eq!(time_left_ms(&admission, Some(10), 0), 0, "the stream is too short to show the pace");
    admission.record_stream(100, 100 * 20 * MS);
    admission.record_stream(100, 100 * 60 * MS);
    admission.record_stream(100, 100 * 10 * MS);
    assert_eq!(time_left_ms(&admission, Some(30), 0), 200);
    assert_eq!(time_left_ms(&admission, Some(30), 65), 50, "the objective is slower");
    (0..CONSIDERED_STREAMS).for_each(|_| admission.record_stream(100, 100 * 10 * MS));
    assert_eq!(time_left_ms(&admission, Some(30), 0), 1700, "the slow stream is no longer recent");
    assert_eq!(admission.token_intervals.len(), CONSIDERED_STREAMS);
}
