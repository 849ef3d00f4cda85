//! Statuses of routers as one council member derives them from heartbeats.

use std::fmt::Write;
use std::time::Duration;

use tallypin_membership::{AdvertisedStatus, FailureDetector, HeartbeatTiming, PeerStatus};

use crate::record::{compare, json, lines};

const S: u64 = 1_000_000_000;

#[test]
fn heartbeats_give_the_recorded_statuses() {
    let advertised = [
        AdvertisedStatus::Serving,
        AdvertisedStatus::Starting,
        AdvertisedStatus::Draining,
        AdvertisedStatus::Ending,
    ];
    let statuses: Vec<_> = [PeerStatus::Unknown, PeerStatus::Silent]
        .into_iter()
        .chain(advertised.map(PeerStatus::Alive))
        .collect();
    let mut transcript = lines(&advertised) + &lines(&statuses);
    for status in &statuses {
        writeln!(transcript, "{} out {}", json(status), status.is_out_of_service())
            .expect("writes to a string");
    }
    let timing =
        HeartbeatTiming { interval: Duration::from_millis(500), silence_limit: Duration::from_secs(2) };
    let mut detector = FailureDetector::new(timing, 5, 0);
    // Steps of half a second. Router 0 keeps sending, 1 falls silent, 2 shuts down, 3 restarts often and some of its
    // heartbeats arrive late, 4 sends none. The receiving member is itself paused from 8 s to 14 s.
    for half_seconds in (0..=16).chain(28..=36) {
        let now = half_seconds * S / 2;
        let mut record = |from, incarnation, advertised| {
            detector.record_heartbeat(now, from, incarnation, advertised).is_ok()
        };
        let mut accepted = vec![record(0, 7, AdvertisedStatus::Serving)];
        if half_seconds < 5 {
            accepted.push(record(1, 7, AdvertisedStatus::Draining));
            let status = if half_seconds < 4 { AdvertisedStatus::Serving } else { AdvertisedStatus::Ending };
            accepted.push(record(2, 7, status));
        }
        if half_seconds % 3 == 0 {
            accepted.push(record(3, half_seconds, AdvertisedStatus::Starting));
            accepted.push(record(3, half_seconds.saturating_sub(1), AdvertisedStatus::Serving));
            accepted.push(record(5, 1, AdvertisedStatus::Serving));
        }
        let statuses: Vec<_> = (0..6).map(|router| detector.status(now, router)).collect();
        let live = |router| detector.live_peer(now, router).map(|peer| (peer.incarnation, peer.serving));
        let live: Vec<_> = (0..6).map(live).collect();
        let left: Vec<_> = (0..6).map(|router| detector.has_left(now, router)).collect();
        let (informed, out) = (detector.can_detect_silence(now), detector.out_of_service(now));
        writeln!(transcript, "{half_seconds}: taken {accepted:?} knows {informed} out {out:?} gone {left:?}")
            .expect("writes to a string");
        writeln!(transcript, "  {}\n  {}", json(&statuses), json(&live)).expect("writes to a string");
    }
    compare("beats.txt", &transcript);
}
