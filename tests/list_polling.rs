//! When the endpoint list is polled.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

#[test]
fn a_polled_list_is_watched_in_time_and_again_after_failures() {
    for seed in 0..50 {
        let mut set = settings(4, 0);
        let must_ask_in = 10 * SECOND;
        set.list_mode = EndpointListMode::Polled { max_poll_interval: must_ask_in };
        let mut w = World::with_replicas(set, seed, 3);
        let start = w.now;
        w.run_to(start + must_ask_in / 2);
        assert!(w.list_polls >= 1, "asked well inside the time");
        for failures in 1..6 {
            let before = w.list_polls;
            w.update_list(ListUpdate::Failed, vec![]);
            assert_eq!(w.list_polls, before, "not at once: the list may be overrun");
            w.run_to(w.now + must_ask_in / 2);
            assert!(w.list_polls > before, "again after failure {failures}");
        }
        w.update_list(ListUpdate::Delta, vec![]);
        let before = w.list_polls;
        w.run_to(w.now + 60 * SECOND);
        assert_eq!(w.list_polls, before, "subscribed: nothing more to ask");
        w.update_list(ListUpdate::Failed, vec![]);
        w.run_to(w.now + must_ask_in / 2);
        assert!(w.list_polls > before, "the subscription dropped: asked for again");
    }
}
