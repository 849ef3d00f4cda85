//! What one member of the council believes of routers, by their heartbeats.

use std::fmt::Write;
use std::time::Duration;

use tallypin_membership::{AdvertisedStatus, FailureDetector, HeartbeatTiming, PeerStatus};

use crate::record::{compare, json, lines};

const S: u64 = 1_000_000_000;

#[test]
fn heartbeats_are_judged_as_recorded() {
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
        writeln!(transcript, "{} out {}", json(status), status.is_out_of_service()).expect("text");
    }
    let timing =
        HeartbeatTiming { interval: Duration::from_millis(500), silence_limit: Duration::from_secs(2) };
    let mut detector = FailureDetector::new(timing, 5, 0);
    // By half seconds: router 0 goes on, 1 stops, 2 ends, 3 restarts and some of its heartbeats are late, 4 sends none. The member that
    // listens is paused itself from 8 s to 14 s.
    for half in (0..=16).chain(28..=36) {
        let now = half * S / 2;
        let mut beat = |from, incarnation, advertised| {
            detector.record_heartbeat(now, from, incarnation, advertised).is_ok()
        };
        let mut taken = vec![beat(0, 7, AdvertisedStatus::Serving)];
        if half < 5 {
            taken.push(beat(1, 7, AdvertisedStatus::Draining));
            let ends = if half < 4 { AdvertisedStatus::Serving } else { AdvertisedStatus::Ending };
            taken.push(beat(2, 7, ends));
        }
        if half % 3 == 0 {
            taken.push(beat(3, half, AdvertisedStatus::Starting));
            taken.push(beat(3, half.saturating_sub(1), AdvertisedStatus::Serving));
            taken.push(beat(5, 1, AdvertisedStatus::Serving));
        }
        let statuses: Vec<_> = (0..6).map(|router| detector.status(now, router)).collect();
        let live = |router| detector.live_peer(now, router).map(|peer| (peer.incarnation, peer.serving));
        let live: Vec<_> = (0..6).map(live).collect();
        let left: Vec<_> = (0..6).map(|router| detector.has_left(now, router)).collect();
        let (knows, out) = (detector.can_detect_silence(now), detector.out_of_service(now));
        writeln!(transcript, "{half}: taken {taken:?} knows {knows} out {out:?} gone {left:?}")
            .expect("text");
        writeln!(transcript, "  {}\n  {}", json(&statuses), json(&live)).expect("text");
    }
    compare("beats.txt", &transcript);
}
