use super::*;
use proptest::prelude::*;

const S: Nanos = 1_000_000_000;
const FIGURES: HeartbeatTiming = HeartbeatTiming { interval: S / 2, silence_limit: 2 * S };

#[test]
fn silence_is_believed_after_its_time_and_ends_with_a_beat() {
    let mut p = FailureDetector::new(FIGURES, 3, 0);
    assert!(p.record_heartbeat(S, 0, 7, AdvertisedStatus::Serving));
    (1..=6).for_each(|k| p.note_clock(S + k * S / 2));
    assert_eq!(p.status(3 * S, 0), PeerStatus::Alive(AdvertisedStatus::Serving), "not yet");
    assert_eq!(p.status(4 * S, 0), PeerStatus::Silent);
    assert_eq!(p.status(4 * S, 1), PeerStatus::Silent, "never heard, and long enough");
    assert!(p.record_heartbeat(4 * S, 0, 7, AdvertisedStatus::Serving));
    assert_eq!(p.out_of_service(4 * S), vec![1, 2]);
}

#[test]
fn whoever_was_stopped_itself_calls_nobody_silent() {
    let mut p = FailureDetector::new(FIGURES, 2, 0);
    (0..10).for_each(|k| assert!(p.record_heartbeat(k * S / 2, 0, 7, AdvertisedStatus::Serving)));
    // Stopped for 20 s: it wakes, and the beats of the others are still in its sockets.
    assert_eq!(p.out_of_service(25 * S), vec![], "its own gap is no silence of others");
    assert!(!p.can_detect_silence(25 * S));
    (0..6).for_each(|k| p.note_clock(25 * S + k * S / 2));
    assert_eq!(p.out_of_service(28 * S), vec![0, 1], "but a whole term later it is");
}

#[test]
fn a_beat_of_an_earlier_life_is_none() {
    let mut p = FailureDetector::new(FIGURES, 1, 0);
    assert!(p.record_heartbeat(S, 0, 8, AdvertisedStatus::Starting));
    assert!(!p.record_heartbeat(S, 0, 7, AdvertisedStatus::Serving), "late, of the life before");
    assert_eq!(p.status(S, 0), PeerStatus::Alive(AdvertisedStatus::Starting));
    assert_eq!((p.live_peer(S, 0), p.live_peer(S, 1)), (Some((8, false)), None));
    assert!(
        p.record_heartbeat(S, 0, 8, AdvertisedStatus::Ending)
            && !p.has_left(2 * S, 0)
            && p.has_left(4 * S, 0)
    );
    assert!(!p.record_heartbeat(S, 5, 1, AdvertisedStatus::Serving), "of no router of the fleet");
}

proptest! {
    /// Whatever comes in whatever order: a router that beat within the term, in its newest life, is never out.
    #[test]
    fn no_router_that_beats_is_silent(beats in proptest::collection::vec((0u64..400, 0u16..4, 0u64..3), 1..200)) {
        let mut p = FailureDetector::new(FIGURES, 4, 0);
        let mut last = [(0u64, 0u64); 4];
        let mut now = 0;
        for (gap, from, life) in beats {
            now += gap * 1_000_000;
            let r = &mut last[usize::from(from)];
            let taken = p.record_heartbeat(now, from, life, AdvertisedStatus::Serving);
            prop_assert_eq!(taken, life >= r.1, "life {} after {}", life, r.1);
            if taken {
                *r = (now, life);
            }
            for (of, r) in last.iter().enumerate() {
                let fresh = now - r.0 <= FIGURES.silence_limit;
                let standing = p.status(now, of as RouterIndex);
                prop_assert!(!(fresh && standing == PeerStatus::Silent), "{standing:?}");
            }
        }
    }
}
