//! Tests of the admission of requests during a shutdown.

use super::*;

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_000_000 * MS;

fn request(max_answer_tokens: Option<u32>) -> NewRequest {
    NewRequest { time_left: 1000 * MS, max_answer_tokens, ..NewRequest::default() }
}

/// The time left in milliseconds of a request with this token limit, accepted 2 s before answers must have ended.
fn time_left_ms(admission: &ShutdownAdmission, max_tokens: Option<u32>, objective_ms: Nanos) -> Nanos {
    admission.time_left(NOW, &request(max_tokens), objective_ms * MS) / MS
}

#[test]
fn the_time_left_shrinks_with_the_longest_possible_answer() {
    let mut admission = ShutdownAdmission::default();
    assert_eq!(time_left_ms(&admission, None, 50), 1000, "without a shutdown, the client's deadline counts");
    admission.require_end_by(NOW + 2000 * MS);
    for (max_tokens, expected) in
        [(Some(10), 1000), (Some(30), 500), (Some(40), 0), (Some(400), 0), (None, 0)]
    {
        assert_eq!(time_left_ms(&admission, max_tokens, 50), expected, "{max_tokens:?} tokens");
    }
    let resumable = NewRequest { is_resumable: true, ..request(None) };
    assert_eq!(admission.time_left(NOW, &resumable, 50 * MS), 1000 * MS);
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
    assert_eq!(time_left_ms(&admission, Some(30), 0), 1000, "the slow stream is no longer recent");
    assert_eq!(admission.token_intervals.len(), CONSIDERED_STREAMS);
}
