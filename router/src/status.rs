//! The router's view of load and health beside its sockets, for the log: a difference between the two, a replica that stays
//! ejected, or a number that only grows shows there.

use std::fmt::Write;
use std::rc::Rc;

use tallypin::replica_snapshot::ReplicaSnapshot;

use crate::components::Components;
use crate::core::RequestCounts;
use crate::endpoint_list_state::{EndpointListState, WatchCounts};
use crate::log::Log;

const NANOS_PER_MS: u64 = 1_000_000;

/// The counts of final answers in one line.
pub fn format_counts(counts: &RequestCounts) -> String {
    let RequestCounts { accepted, completed, interrupted, rejected, failed, client_disconnects, .. } = counts;
    let RequestCounts { rejected_over_quota, failed_past_deadline, .. } = counts;
    let RequestCounts { interrupted_by_shutdown, rejected_by_shutdown, failed_by_shutdown, .. } = counts;
    format!(
        "requests accepted {accepted}, completed {completed}, \
         interrupted {interrupted} ({interrupted_by_shutdown} by shutdown), \
         rejected {rejected} ({rejected_over_quota} over quota, {rejected_by_shutdown} by shutdown), \
         failed {failed} ({failed_past_deadline} past deadline, {failed_by_shutdown} by shutdown), \
         client disconnects {client_disconnects}"
    )
}

/// The endpoint list and the calls for it in one line.
pub fn format_endpoint_list(list: &EndpointListState) -> String {
    let version = list.version().map_or("none".into(), |version| version.to_string());
    let WatchCounts { opened, established, failed, lost } = list.counts();
    format!(
        "endpoint list version {version}, last heard {} ms ago, calls {opened} ({established} established, {failed} failed), \
         watches lost {lost}",
        list.time_since_last_message().as_millis()
    )
}

/// The state in one line.
pub fn format_state(components: &Components) -> String {
    let (open, timers, replicas) =
        components.with(|core, now| (core.open_requests(), core.scheduled_timers(), core.view(now)));
    let (connections, idle) = components.replicas.connection_counts();
    let mut line = format!(
        "open requests {open}, clients {}, replica connections {connections} ({idle} idle), request ids {}, \
         timers {timers}, memory left for bodies {} KiB",
        components.clients.open(),
        components.request_ids.len(),
        components.body_budget.available() >> 10,
    );
    for replica in replicas {
        format_replica(components, &replica, &mut line);
    }
    line
}

fn format_replica(components: &Components, replica: &ReplicaSnapshot, line: &mut String) {
    let at = components.replicas.address(replica.replica).map_or("unknown".into(), |at| at.to_string());
    let ms = |nanos: u64| nanos / NANOS_PER_MS;
    let _ = write!(line, "; {at}: {} in flight", replica.in_flight);
    let sent = components.replicas.in_flight(replica.replica);
    if sent != replica.in_flight {
        let _ = write!(line, " ({sent} sent)");
    }
    let waiting = replica.awaiting_first_token;
    let _ = write!(line, ", {waiting} awaiting first token, {} ms", ms(replica.first_token_wait));
    if let Some(age) = replica.wait_sample_age {
        let _ = write!(line, " {} ms ago", ms(age));
    }
    if replica.ejected_for > 0 {
        let _ = write!(line, ", ejected for {} ms", ms(replica.ejected_for));
    }
    let _ = write!(line, ", streams {:.1} times as long", replica.decode_rate.factor);
    line.push_str(if replica.is_warming_up { ", warming up" } else { "" });
}

/// Logs state, counts, the endpoint list, and how many lines of the log were dropped, again and again. Never ends.
pub async fn log_periodically(components: Rc<Components>, log: Option<Rc<Log>>) {
    let mut every = tokio::time::interval(components.limits.status_interval);
    loop {
        every.tick().await;
        tracing::info!(target: "status", "{}", format_state(&components));
        tracing::info!(target: "status", "{}", components.with(|core, _| format_counts(core.counts())));
        tracing::info!(target: "status", "{}", format_endpoint_list(&components.endpoint_list.state));
        let dropped = log.as_ref().map_or(0, |log| log.newly_dropped());
        if dropped > 0 {
            tracing::warn!(target: "status", dropped, "log lines dropped");
        }
    }
}
