//! What is measured for the state told to balancers: the model nodes, the router's own means, what became of
//! requests, and how late the one thread comes to what is due.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tallypin_health::assessment::{ReplicaSummary, Signals};
use tallypin_health::drain_sequence::DrainPhase;
use tallypin_health::http_check::Component;
use tallypin_health::load_report::OrcaLoadReport;

use super::{Board, CheckContext};
use crate::core::RequestCounts;
use crate::lifecycle::{Lifecycle, Stage};

/// The thread's lateness is looked at so often: a longer stretch of work than this shows.
const LATENESS: Duration = Duration::from_millis(10);

/// Measures again and again, and carries a drain on. Ends never.
pub async fn keep(context: Rc<CheckContext>, board: Rc<Board>) {
    let mut seen = Seen::new(&context);
    let (mut late, mut measured) = (Duration::ZERO, Instant::now());
    loop {
        let due = Instant::now() + LATENESS;
        tokio::time::sleep_until(due.into()).await;
        late = late.max(Instant::now().saturating_duration_since(due));
        let every = board.health().every;
        if measured.elapsed() < every {
            continue;
        }
        let passed = std::mem::replace(&mut measured, Instant::now()).elapsed();
        let (signals, report, parts) = seen.measure(&context, &board, std::mem::take(&mut late), passed);
        board.measured(signals, report, parts);
        follow(&context.lifecycle, board.go_on());
    }
}

/// Puts the phase of a drain into effect on clients. The end of the program is `shutdown`'s.
pub fn follow(lifecycle: &Lifecycle, phase: DrainPhase) {
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

/// What was seen at the last measurement.
struct Seen {
    tallies: RequestCounts,
    processor: Option<f64>,
    /// Requests and errors a second, smoothed.
    rates: (f64, f64),
    cpu: f64,
}

impl Seen {
    fn new(context: &Rc<CheckContext>) -> Seen {
        Seen {
            tallies: context.dispatcher.with(|core, _| core.counts().clone()),
            processor: processor(),
            rates: (0.0, 0.0),
            cpu: 0.0,
        }
    }

    fn measure(
        &mut self,
        context: &Rc<CheckContext>,
        board: &Board,
        late: Duration,
        passed: Duration,
    ) -> (Signals, OrcaLoadReport, Vec<Component>) {
        let (view, tallies, open) = context
            .dispatcher
            .with(|core, now| (core.view(now), core.counts().clone(), core.open_requests()));
        let before = std::mem::replace(&mut self.tallies, tallies);
        let since = |get: fn(&RequestCounts) -> u64| get(&self.tallies) - get(&before);
        let fleet = ReplicaSummary {
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
            list_silent_for: context.endpoint_list.silence(),
        };
        let health = board.health();
        let gateways = context.router_count.max(1) as usize;
        let free = |used: usize, most: usize| 1.0 - used.min(most) as f64 / most.max(1) as f64;
        let (links, idle) = context.replicas.connection_counts();
        let signals = Signals {
            replicas: fleet,
            in_flight: open,
            capacity: health.node_room * fleet.ready / gateways,
            clients_free: free(context.clients.open(), context.limits.max_clients),
            bodies_free: context.body_budget.available() as f64 / context.limits.body_budget.max(1) as f64,
            replica_connections_free: free(links - idle.min(links), context.limits.max_replica_connections),
            event_loop_delay: late,
            accepted: since(|t| t.accepted),
            rejected_no_capacity: since(|t| t.rejected - t.rejected_over_quota),
            rejected_quota: since(|t| t.rejected_over_quota),
            answered: since(RequestCounts::answered),
            unanswered: since(RequestCounts::unanswered),
            peer_serving_at: context.peers.as_ref().and_then(|p| p.served_at()).map(|at| board.age_at(at)),
            ..Signals::default()
        };
        let seconds = passed.as_secs_f64().max(1e-3);
        let failed = since(|t| t.failed) + since(|t| t.interrupted);
        let share = (seconds / 2.0).min(1.0);
        self.rates.0 += (signals.accepted as f64 / seconds - self.rates.0) * share;
        self.rates.1 += (failed as f64 / seconds - self.rates.1) * share;
        let now = processor();
        if let (Some(now), Some(before)) = (now, self.processor) {
            self.cpu += ((now - before) / seconds - self.cpu) * share;
        }
        self.processor = now;
        (signals, self.report(&signals), parts(&signals, board.health().figures.max_list_silence))
    }

    fn report(&self, s: &Signals) -> OrcaLoadReport {
        let round = |x: f64| (x * 1000.0).round() / 1000.0;
        let carry = s.capacity as f64 * s.replicas.usable_capacity;
        let crowd = if carry > 0.0 { s.in_flight as f64 / carry } else { 0.0 };
        let most = crowd.max(1.0 - s.clients_free).max(1.0 - s.replica_connections_free);
        OrcaLoadReport {
            cpu_utilization: round(self.cpu),
            mem_utilization: round(1.0 - s.bodies_free),
            application_utilization: round(most),
            rps_fractional: round(self.rates.0),
            eps: round(self.rates.1),
            utilization: BTreeMap::from([
                ("clients".into(), round(1.0 - s.clients_free)),
                ("links".into(), round(1.0 - s.replica_connections_free)),
            ]),
            named_metrics: BTreeMap::from([
                ("open".into(), s.in_flight as f64),
                ("late_ms".into(), round(s.event_loop_delay.as_secs_f64() * 1e3)),
                ("usable".into(), round(s.replicas.usable_capacity)),
            ]),
        }
    }
}

fn parts(s: &Signals, list_late: Duration) -> Vec<Component> {
    let f = &s.replicas;
    let percent = |share: f64| format!("{:.0}% free", share * 100.0);
    let ms = s.event_loop_delay.as_secs_f64() * 1e3;
    let list = f.list_silent_for.map_or("followed".into(), |d| format!("silent for {} ms", d.as_millis()));
    vec![
        Component {
            name: "nodes",
            healthy: f.ready > 0 && f.usable_capacity > 0.5,
            note: format!("{} ready, {} cold, {} excluded", f.ready, f.warming_up, f.ejected),
        },
        Component { name: "list", healthy: f.list_silent_for.is_none_or(|d| d <= list_late), note: list },
        Component { name: "clients", healthy: s.clients_free > 0.1, note: percent(s.clients_free) },
        Component { name: "bodies", healthy: s.bodies_free > 0.1, note: percent(s.bodies_free) },
        Component {
            name: "links",
            healthy: s.replica_connections_free > 0.1,
            note: percent(s.replica_connections_free),
        },
        Component { name: "thread", healthy: ms < 50.0, note: format!("{ms:.1} ms late") },
    ]
}

/// The processor time of this process, seconds; `None` where the system does not tell it so.
fn processor() -> Option<f64> {
    // proc(5): fields 14 and 15 behind the name, in ticks, of which there are 100 a second.
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_ascii_whitespace().skip(11);
    let (user, system): (u64, u64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    Some((user + system) as f64 / 100.0)
}
