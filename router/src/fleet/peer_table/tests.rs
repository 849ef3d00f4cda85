use std::time::Duration;

use super::*;
use crate::fleet::wire::VERSION;

const S: Nanos = 1_000_000_000;
const TIMING: HeartbeatTiming =
    HeartbeatTiming { interval: Duration::from_millis(500), silence_limit: Duration::from_secs(3) };

fn table() -> PeerTable {
    PeerTable::new(TIMING, 2)
}

fn call(incarnation: Incarnation, sequence: u64, request: Request) -> Call {
    Call { version: VERSION, from: 1, incarnation, sequence, request, report: None }
}

fn heartbeat(incarnation: Incarnation, sequence: u64) -> Call {
    call(incarnation, sequence, Request::Heartbeat(AdvertisedStatus::Serving))
}

#[test]
fn a_call_is_accepted_once() {
    let table = table();
    assert_eq!(table.accept_call(&heartbeat(7, 1)), Ok(()));
    assert_eq!(table.accept_call(&heartbeat(7, 1)), Err(RejectedCall));
    assert_eq!(table.accept_call(&heartbeat(7, 3)), Ok(()));
    assert_eq!(table.accept_call(&heartbeat(7, 2)), Err(RejectedCall), "overtaken");
}

fn submit(incarnation: Incarnation, sequence: u64) -> Call {
    call(incarnation, sequence, Request::Submit(tallypin_consensus::fleet_state::Command::Read))
}

#[test]
fn a_command_may_be_overtaken_by_other_calls() {
    let table = table();
    assert_eq!(table.accept_call(&heartbeat(7, 5)), Ok(()));
    assert_eq!(table.accept_call(&submit(7, 4)), Ok(()));
    assert_eq!(table.accept_call(&submit(7, 4)), Err(RejectedCall));
}

/// A router's commands and its other calls have a connection each.
#[test]
fn a_call_of_a_later_incarnation_on_either_connection_ends_the_earlier_one() {
    let table = table();
    assert_eq!(table.accept_call(&heartbeat(8, 1)), Ok(()));
    assert_eq!(table.accept_call(&submit(7, 9)), Err(RejectedCall));
    assert_eq!(table.accept_call(&submit(9, 1)), Ok(()));
    assert_eq!(table.accept_call(&heartbeat(8, 2)), Err(RejectedCall));
}

#[test]
fn calls_of_an_earlier_incarnation_are_rejected() {
    let table = table();
    assert_eq!(table.accept_call(&heartbeat(8, 1)), Ok(()));
    assert_eq!(table.accept_call(&heartbeat(7, 9)), Err(RejectedCall));
    assert_eq!((table.latest_incarnation(1), table.latest_incarnation(0)), (8, 0));
}

#[test]
fn calls_of_unknown_routers_are_rejected() {
    let table = table();
    assert_eq!(table.accept_call(&Call { from: 2, ..heartbeat(7, 1) }), Err(RejectedCall));
    assert_eq!(table.latest_incarnation(2), 0);
}

#[test]
fn the_report_of_an_earlier_incarnation_does_not_count_for_a_release() {
    let table = table();
    let mut report = HeartbeatReport::default();
    report.counts.answered = 9;
    table.record_heartbeat(4 * S, 1, 8, AdvertisedStatus::Serving, HeartbeatReport::default());
    table.record_heartbeat(4 * S, 1, 7, AdvertisedStatus::Serving, report);
    assert_eq!(table.release_reports(4 * S), None, "the table has just started to listen");
    table.record_heartbeat(8 * S, 1, 8, AdvertisedStatus::Serving, HeartbeatReport::default());
    let reports = table.release_reports(8 * S).unwrap_or_default();
    assert!(reports.iter().flatten().all(|r| (r.incarnation, r.counts.answered) == (8, 0)), "{reports:?}");
}

#[test]
fn an_incarnation_request_is_accepted_with_any_sequence_number() {
    let table = table();
    assert_eq!(table.accept_call(&heartbeat(8, 1)), Ok(()));
    assert_eq!(table.accept_call(&call(0, 0, Request::Incarnation)), Ok(()));
    assert_eq!(table.accept_call(&heartbeat(8, 2)), Ok(()), "the request changes no number");
}
