//! Periodic status lines in the log. They contain the load and health of replicas as the decision module and the sockets see
//! them, so that a difference between the two, a replica that stays ejected, or a leak can be found.

use std::fmt::Write;
use std::rc::Rc;

use tallypin::replica_snapshot::ReplicaSnapshot;

use crate::components::Components;
use crate::core::RequestCounts;
use crate::endpoint_list_state::{EndpointListState, WatchCounts};
use crate::log::Log;

const NANOS_PER_MS: u64 = 1_000_000;

/// Formats the counts of final answers as one line.
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

/// Formats the state of the endpoint list and the counts of its calls as one line.
pub fn format_endpoint_list(list: &EndpointListState) -> String {
    let version = list.version().map_or("none".into(), |version| version.to_string());
    let WatchCounts { opened, established, failed, lost } = list.counts();
    format!(
        "endpoint list version {version}, last activity {} ms ago, calls {opened} ({established} established, {failed} failed), \
         watches lost {lost}",
        list.time_since_activity().as_millis()
    )
}

/// Formats the state of the router and of its replicas as one line.
pub fn format_state(components: &Components) -> String {
    let (open, timers, replicas) = components
        .with_core(|core, now| (core.open_requests(), core.scheduled_timers(), core.replica_snapshots(now)));
    let (connections, idle) = components.replicas.connection_counts();
    let mut line = format!(
        "open requests {open}, clients {}, replica connections {connections} ({idle} idle), request ids {}, \
         timers {timers}, memory left for bodies {} KiB",
        components.clients.open(),
        components.request_ids.len(),
        components.request_budget.available() >> 10,
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
    let _ =
        write!(line, ", {waiting} awaiting first token, smoothed wait {} ms", ms(replica.first_token_wait));
    if let Some(age) = replica.wait_sample_age {
        let _ = write!(line, ", sampled {} ms ago", ms(age));
    }
    if replica.ejected_for > 0 {
        let _ = write!(line, ", ejected for {} ms", ms(replica.ejected_for));
    }
    let _ = write!(line, ", stream duration {:.1} times the mean", replica.decode_rate.factor);
    line.push_str(if replica.is_warming_up { ", warming up" } else { "" });
}

/// Periodically logs the state, the counts, the endpoint list, and the number of dropped log lines. Never returns.
pub async fn log_periodically(components: Rc<Components>, log: Option<Rc<Log>>) {
    let mut interval = tokio::time::interval(components.limits.status_interval);
    loop {
        interval.tick().await;
        tracing::info!(target: "status", "{}", format_state(&components));
        tracing::info!(target: "status", "{}", components.with_core(|core, _| format_counts(core.counts())));
        tracing::info!(target: "status", "{}", format_endpoint_list(&components.endpoint_list.state));
        let dropped = log.as_ref().map_or(0, |log| log.newly_dropped());
        if dropped > 0 {
            tracing::warn!(target: "status", dropped, "log lines dropped");
        }
    }
}
