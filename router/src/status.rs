//! The router's view of load and health beside its sockets, for the log: a difference between the two, a
//! node excluded for good, or a number that only grows shows there.

use std::fmt::Write;
use std::rc::Rc;

use crate::components::Components;
use crate::core::RequestCounts;
use crate::log::Log;

/// The counts of final answers in one line.
pub fn format_counts(tallies: &RequestCounts) -> String {
    let RequestCounts {
        accepted: taken,
        completed: served,
        interrupted: broken,
        rejected: refused,
        rejected_over_quota: refused_share,
        failed,
        failed_past_deadline: failed_late,
        client_disconnects: left,
        ..
    } = tallies;
    let RequestCounts {
        interrupted_by_shutdown: broken_shutdown,
        rejected_by_shutdown: refused_shutdown,
        failed_by_shutdown: failed_shutdown,
        ..
    } = tallies;
    format!(
        "requests taken {taken}, served {served}, broken {broken} ({broken_shutdown} by shutdown), \
         refused {refused} ({refused_share} over share, {refused_shutdown} by shutdown), \
         failed {failed} ({failed_late} late, {failed_shutdown} by shutdown), left {left}"
    )
}

/// The state in one line.
pub fn format_state(components: &Rc<Components>) -> String {
    let (open, noted, view) =
        components.with(|core, now| (core.open_requests(), core.scheduled_timers(), core.view(now)));
    let (links, idle) = components.replicas.connection_counts();
    let mut line = format!(
        "open {open}, clients {}, links {links} ({idle} idle), names {}, noted {noted}, room for bodies {} KiB",
        components.clients.open(),
        components.request_ids.len(),
        components.body_budget.available() >> 10,
    );
    for node in view {
        let at = components.replicas.address(node.replica).map_or("unknown".into(), |at| at.to_string());
        let ms = |nanos: u64| nanos / 1_000_000;
        let _ = write!(line, "; {at}: {} out", node.in_flight);
        if components.replicas.in_flight(node.replica) != node.in_flight {
            let _ = write!(line, " ({} written)", components.replicas.in_flight(node.replica));
        }
        let _ = write!(line, ", {} waiting, {} ms", node.awaiting_first_token, ms(node.first_token_wait));
        if let Some(age) = node.wait_sample_age {
            let _ = write!(line, " {} ms ago", ms(age));
        }
        if node.ejected_for > 0 {
            let _ = write!(line, ", excluded for {} ms", ms(node.ejected_for));
        }
        let _ = write!(line, ", streams {:.1} times as long", node.decode_rate.factor);
        line.push_str(if node.is_warming_up { ", cold" } else { "" });
    }
    line
}

/// Says it from time to time, and how many lines of the log were dropped. Ends never.
pub async fn log_periodically(components: Rc<Components>, log: Option<Rc<Log>>) {
    let mut every = tokio::time::interval(components.limits.status);
    loop {
        every.tick().await;
        tracing::info!(target: "status", "{}", format_state(&components));
        tracing::info!(target: "status", "{}", components.with(|core, _| format_counts(core.counts())));
        let dropped = log.as_ref().map_or(0, |log| log.newly_dropped());
        if dropped > 0 {
            tracing::warn!(target: "status", dropped, "lines of the log were dropped");
        }
    }
}
