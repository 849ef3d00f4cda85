use super::*;
use proptest::prelude::*;

const S: Nanos = 1_000_000_000;
const TIMING: HeartbeatTiming =
    HeartbeatTiming { interval: Duration::from_millis(500), silence_limit: Duration::from_secs(2) };

fn record_serving(
    detector: &mut FailureDetector,
    now: Nanos,
    router: RouterIndex,
) -> Result<(), HeartbeatError> {
    detector.record_heartbeat(now, router, 7, AdvertisedStatus::Serving)
}

#[test]
fn a_router_is_silent_after_the_limit_until_its_next_heartbeat() {
    let mut detector = FailureDetector::new(TIMING, 3, 0);
    assert_eq!(record_serving(&mut detector, S, 0), Ok(()));
    (1..=6).for_each(|k| detector.advance_clock(S + k * S / 2));
    assert_eq!(detector.status(3 * S, 0), PeerStatus::Alive(AdvertisedStatus::Serving), "within the limit");
    assert_eq!(detector.status(4 * S, 0), PeerStatus::Silent);
    assert_eq!(detector.status(4 * S, 1), PeerStatus::Silent, "no heartbeat within the limit");
    assert_eq!(record_serving(&mut detector, 4 * S, 0), Ok(()));
    assert_eq!(detector.out_of_service(4 * S), vec![1, 2]);
}

#[test]
fn a_member_that_was_paused_reports_no_router_as_silent() {
    let mut detector = FailureDetector::new(TIMING, 2, 0);
    (0..10).for_each(|k| assert_eq!(record_serving(&mut detector, k * S / 2, 0), Ok(())));
    // The member was paused for 20 s, and the heartbeats of other routers are still unread in its sockets.
    assert_eq!(detector.out_of_service(25 * S), vec![], "its own pause is not silence of other routers");
    assert!(!detector.can_detect_silence(25 * S));
    (0..6).for_each(|k| detector.advance_clock(25 * S + k * S / 2));
    assert_eq!(detector.out_of_service(28 * S), vec![0, 1], "silent for a full limit after the pause");
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_rejected() {
    let mut detector = FailureDetector::new(TIMING, 1, 0);
    assert_eq!(detector.record_heartbeat(S, 0, 8, AdvertisedStatus::Starting), Ok(()));
    assert_eq!(
        record_serving(&mut detector, S, 0),
        Err(HeartbeatError::StaleIncarnation(8)),
        "a late heartbeat of the earlier incarnation"
    );
    assert_eq!(detector.status(S, 0), PeerStatus::Alive(AdvertisedStatus::Starting));
    let starting = LivePeer { incarnation: 8, serving: false };
    assert_eq!((detector.live_peer(S, 0), detector.live_peer(S, 1)), (Some(starting), None));
}

#[test]
fn a_router_has_left_once_it_is_silent_after_its_announced_end() {
    let mut detector = FailureDetector::new(TIMING, 1, 0);
    assert_eq!(detector.record_heartbeat(S, 0, 8, AdvertisedStatus::Ending), Ok(()));
    assert!(!detector.has_left(2 * S, 0) && detector.has_left(4 * S, 0));
}

#[test]
fn a_heartbeat_of_an_unknown_router_is_rejected() {
    let mut detector = FailureDetector::new(TIMING, 1, 0);
    assert_eq!(record_serving(&mut detector, S, 5), Err(HeartbeatError::UnknownRouter(5)));
}

proptest! {
    /// For random heartbeats: a router whose last heartbeat of its latest incarnation is within the limit is not silent.
    #[test]
    fn no_router_with_recent_heartbeats_is_silent(
        heartbeats in proptest::collection::vec((0u64..400, 0u16..4, 0u64..3), 1..200)
    ) {
        let mut detector = FailureDetector::new(TIMING, 4, 0);
        let mut last = [(0u64, 0u64); 4];
        let mut now = 0;
        for (gap_ms, from, incarnation) in heartbeats {
            now += gap_ms * 1_000_000;
            let known = &mut last[usize::from(from)];
            let recorded = detector.record_heartbeat(now, from, incarnation, AdvertisedStatus::Serving).is_ok();
            prop_assert_eq!(recorded, incarnation >= known.1, "incarnation {} after {}", incarnation, known.1);
            if recorded {
                *known = (now, incarnation);
            }
            for (router, (received_at, _)) in last.iter().enumerate() {
                let is_recent = elapsed(now, *received_at) <= TIMING.silence_limit;
                let status = detector.status(now, router as RouterIndex);
                prop_assert!(!(is_recent && status == PeerStatus::Silent), "{status:?}");
            }
        }
    }
}
