//! Measures the signals behind the health state: the replicas, the router's own resources, the outcome of requests, and
//! the delay of the event loop.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tallypin_health::assessment::{ReplicaSummary, Signals};
use tallypin_health::drain_sequence::DrainPhase;
use tallypin_health::http_check::Component;
use tallypin_health::load_report::OrcaLoadReport;

use super::{CheckContext, HealthMonitor};
use crate::core::RequestCounts;
use crate::lifecycle::{Lifecycle, Stage};

/// Interval at which the delay of the event loop is sampled. A longer stretch of work on the thread is always detected.
const DELAY_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Measures the signals and advances the drain, once per interval of the settings. Never returns.
pub async fn measure_periodically(context: Rc<CheckContext>, health_monitor: Rc<HealthMonitor>) {
    let mut last = LastMeasurement::new(&context);
    let (mut max_delay, mut measured_at) = (Duration::ZERO, Instant::now());
    loop {
        let due = Instant::now() + DELAY_SAMPLE_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        max_delay = max_delay.max(Instant::now().saturating_duration_since(due));
        let interval = health_monitor.health_settings().interval;
        if measured_at.elapsed() < interval {
            continue;
        }
        let elapsed = std::mem::replace(&mut measured_at, Instant::now()).elapsed();
        let (signals, load_report, components) =
            last.measure(&context, &health_monitor, std::mem::take(&mut max_delay), elapsed);
        health_monitor.record_measurement(signals, load_report, components);
        apply_drain_phase(&context.lifecycle, health_monitor.advance_drain());
    }
}

/// Applies the phase of a drain to the client connections. `crate::shutdown` closes the listeners and ends the program.
pub fn apply_drain_phase(lifecycle: &Lifecycle, phase: DrainPhase) {
    let stage = match phase {
        DrainPhase::Serving => Stage::Serving,
        DrainPhase::Notifying => Stage::Grace,
        DrainPhase::ClosingConnections => Stage::AnnouncingClose,
        DrainPhase::Drained => Stage::ClosingIdle,
        DrainPhase::ShuttingDown => return,
    };
    if lifecycle.stage() < Stage::Closing {
        lifecycle.enter(stage);
    }
}

/// Counters at the last measurement, and smoothed rates.
struct LastMeasurement {
    counts: RequestCounts,
    /// Processor time of the process, in seconds.
    cpu_time: Option<f64>,
    /// Requests and errors per second, smoothed.
    rates: (f64, f64),
    /// Processor utilization, smoothed; 1 is one core.
    cpu_utilization: f64,
}

impl LastMeasurement {
    fn new(context: &Rc<CheckContext>) -> LastMeasurement {
        LastMeasurement {
            counts: context.dispatcher.with_core(|core, _| core.counts().clone()),
            cpu_time: process_cpu_seconds(),
            rates: (0.0, 0.0),
            cpu_utilization: 0.0,
        }
    }

    fn measure(
        &mut self,
        context: &Rc<CheckContext>,
        health_monitor: &HealthMonitor,
        max_delay: Duration,
        elapsed: Duration,
    ) -> (Signals, OrcaLoadReport, Vec<Component>) {
        let (view, counts, open_requests) = context.dispatcher.with_core(|core, now| {
            (core.replica_snapshots(now), core.counts().clone(), core.open_requests())
        });
        let before = std::mem::replace(&mut self.counts, counts);
        let since = |get: fn(&RequestCounts) -> u64| get(&self.counts) - get(&before);
        let summary = ReplicaSummary {
            ready: view.len(),
            warming_up: view.iter().filter(|n| n.is_warming_up).count(),
            ejected: view.iter().filter(|n| n.ejected_for > 0).count(),
            usable_capacity: match view.len() {
                0 => 0.0,
                n => {
                    view.iter().filter(|n| n.ejected_for == 0).map(|n| n.capacity_share).sum::<f64>()
                        / n as f64
                }
            },
            list_silent_for: context.endpoint_list.silent_for(),
        };
        let health = health_monitor.health_settings();
        let routers = context.router_count.max(1) as usize;
        let free = |used: usize, limit: usize| 1.0 - used.min(limit) as f64 / limit.max(1) as f64;
        let (connections, idle) = context.replicas.connection_counts();
        let signals = Signals {
            replicas: summary,
            in_flight: open_requests,
            capacity: health.requests_per_replica * summary.ready / routers,
            clients_free: free(context.clients.open(), context.limits.max_clients),
            bodies_free: context.request_budget.available() as f64
                / context.limits.request_budget.max(1) as f64,
            replica_connections_free: free(
                connections - idle.min(connections),
                context.limits.max_replica_connections,
            ),
            event_loop_delay: max_delay,
            accepted: since(|t| t.accepted),
            rejected_no_capacity: since(|t| t.rejected - t.rejected_over_quota),
            rejected_quota: since(|t| t.rejected_over_quota),
            answered: since(RequestCounts::answered),
            unanswered: since(RequestCounts::unanswered),
            peer_serving_at: context
                .peers
                .as_ref()
                .and_then(|p| p.last_served_report_at())
                .map(|at| health_monitor.uptime_at(at)),
            ..Signals::default()
        };
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let failed = since(|t| t.failed) + since(|t| t.interrupted);
        // Weight of the new sample in the smoothed rates: they follow within about 2 s.
        let sample_weight = (seconds / 2.0).min(1.0);
        self.rates.0 += (signals.accepted as f64 / seconds - self.rates.0) * sample_weight;
        self.rates.1 += (failed as f64 / seconds - self.rates.1) * sample_weight;
        let now = process_cpu_seconds();
        if let (Some(now), Some(before)) = (now, self.cpu_time) {
            self.cpu_utilization += ((now - before) / seconds - self.cpu_utilization) * sample_weight;
        }
        self.cpu_time = now;
        (
            signals,
            self.load_report(&signals),
            list_components(&signals, health_monitor.health_settings().assessment_limits.max_list_silence),
        )
    }

    fn load_report(&self, signals: &Signals) -> OrcaLoadReport {
        let round = |x: f64| (x * 1000.0).round() / 1000.0;
        let usable_capacity = signals.capacity as f64 * signals.replicas.usable_capacity;
        let utilization =
            if usable_capacity > 0.0 { signals.in_flight as f64 / usable_capacity } else { 0.0 };
        let highest = utilization.max(1.0 - signals.clients_free).max(1.0 - signals.replica_connections_free);
        OrcaLoadReport {
            cpu_utilization: round(self.cpu_utilization),
            mem_utilization: round(1.0 - signals.bodies_free),
            application_utilization: round(highest),
            rps_fractional: round(self.rates.0),
            eps: round(self.rates.1),
            utilization: BTreeMap::from([
                ("clients".into(), round(1.0 - signals.clients_free)),
                ("links".into(), round(1.0 - signals.replica_connections_free)),
            ]),
            named_metrics: BTreeMap::from([
                ("open".into(), signals.in_flight as f64),
                ("late_ms".into(), round(signals.event_loop_delay.as_secs_f64() * 1e3)),
                ("usable".into(), round(signals.replicas.usable_capacity)),
            ]),
        }
    }
}

fn list_components(signals: &Signals, max_list_silence: Duration) -> Vec<Component> {
    let replicas = &signals.replicas;
    let percent = |share: f64| format!("{:.0}% free", share * 100.0);
    let ms = signals.event_loop_delay.as_secs_f64() * 1e3;
    let list =
        replicas.list_silent_for.map_or("followed".into(), |d| format!("silent for {} ms", d.as_millis()));
    vec![
        Component {
            name: "nodes",
            healthy: replicas.ready > 0 && replicas.usable_capacity > 0.5,
            note: format!(
                "{} ready, {} cold, {} excluded",
                replicas.ready, replicas.warming_up, replicas.ejected
            ),
        },
        Component {
            name: "list",
            healthy: replicas.list_silent_for.is_none_or(|silence| silence <= max_list_silence),
            note: list,
        },
        Component {
            name: "clients",
            healthy: signals.clients_free > 0.1,
            note: percent(signals.clients_free),
        },
        Component { name: "bodies", healthy: signals.bodies_free > 0.1, note: percent(signals.bodies_free) },
        Component {
            name: "links",
            healthy: signals.replica_connections_free > 0.1,
            note: percent(signals.replica_connections_free),
        },
        Component { name: "thread", healthy: ms < 50.0, note: format!("{ms:.1} ms late") },
    ]
}

/// Returns the processor time of this process in seconds; `None` on systems without `/proc/self/stat`.
fn process_cpu_seconds() -> Option<f64> {
    // proc(5): fields 14 and 15 are the user and system time in ticks of 10 ms. The name in field 2 may contain spaces.
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_ascii_whitespace().skip(11);
    let (user, system): (u64, u64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    Some((user + system) as f64 / 100.0)
}
