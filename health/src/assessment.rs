//! Derives the router's health state and weight from measurements.
//!
//! A condition that is common to all routers (all replicas warming up, at capacity or gone, or a late endpoint list) makes a
//! router at most *degraded*: if all routers were *down* together, the balancer would have none left. *Down* requires a
//! problem of this router alone. The evidence is another router that reports that it serves well after this one last
//! received an answer. Two routers can't both be down on each other's evidence, as one of them must be serving.

use std::time::Duration;

use crate::Uptime;

pub use crate::state::{Assessment, HealthCause, HealthState};

/// An operator's order to one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OperatorOrder {
    /// Serve requests.
    #[default]
    Ready,
    /// Finish requests in flight, accept no new ones.
    Drain,
    /// Stay out of service.
    Maintenance,
}

/// The replicas as this router sees them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReplicaSummary {
    /// Number of listed replicas that accept requests.
    pub ready: usize,
    /// Number of ready replicas that are warming up.
    pub warming_up: usize,
    /// Number of ready replicas that this router has ejected as outliers.
    pub ejected: usize,
    /// Usable share of the ready replicas' capacity, 0 to 1. Replicas that warm up count with their current capacity,
    /// ejected ones don't count.
    pub usable_capacity: f64,
    /// Time since the last update of the endpoint list; `None` while the list is being received.
    pub list_silent_for: Option<Duration>,
}

/// The measurements since the last step, and the current state of the router's resources.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// The operator's order.
    pub order: OperatorOrder,
    /// Maximum weight that the operator allows, in percent, 1 to 100.
    pub max_weight: u8,
    /// Whether the program is shutting down.
    pub shutting_down: bool,
    /// The replicas as this router sees them.
    pub replicas: ReplicaSummary,
    /// Requests in flight.
    pub in_flight: usize,
    /// Number of requests in flight that this router's share of all ready replicas can carry when none is warming up or
    /// ejected.
    pub capacity: usize,
    /// Free share of the client connections, 0 to 1.
    pub clients_free: f64,
    /// Free share of the memory for request bodies, 0 to 1.
    pub bodies_free: f64,
    /// Free share of the connections to replicas, 0 to 1.
    pub replica_connections_free: f64,
    /// Longest delay of the event loop.
    pub event_loop_delay: Duration,
    /// Requests received since the last step.
    pub accepted: u64,
    /// Requests rejected since the last step for lack of capacity.
    pub rejected_no_capacity: u64,
    /// Requests rejected since the last step as over a tenant's quota. They don't affect the router's health.
    pub rejected_quota: u64,
    /// Attempts since the last step that a replica answered, with success or with an error.
    pub answered: u64,
    /// Attempts since the last step that no replica answered: refused, reset or timed out.
    pub unanswered: u64,
    /// When another router last reported that it serves.
    pub peer_serving_at: Option<Uptime>,
}

/// The limits by which state and weight are decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssessmentLimits {
    /// Minimum weight of a router that serves, 0 to 1.
    pub min_weight: f64,
    /// Time in which the weight of a started router rises to its full value.
    pub slow_start: Duration,
    /// Maximum change of the weight per second, 0 to 1.
    pub max_change_per_s: f64,
    /// Deviation of the measured weight that causes no change, 0 to 1.
    pub dead_band: f64,
    /// Time constant for smoothing the measurements.
    pub smoothing: Duration,
    /// Weight below which the state is degraded, 0 to 1. The state is up again at this weight plus twice `dead_band`.
    pub degraded_below: f64,
    /// Minimum time in a state. Orders and the shutdown take effect immediately.
    pub min_dwell: Duration,
    /// Free share of a resource above which it does not reduce the weight, 0 to 1.
    pub ample_free_share: f64,
    /// Maximum delay of the event loop that does not reduce the weight.
    pub max_event_loop_delay: Duration,
    /// Maximum age of the endpoint list that does not degrade the state.
    pub max_list_silence: Duration,
    /// Number of consecutive unanswered attempts from which the replicas count as unresponsive.
    pub max_unanswered: u64,
    /// Minimum time from this router's last answer to a peer's report that it serves, for the report to count as evidence.
    pub peer_serving_after: Duration,
    /// Maximum age of a peer's report that it serves.
    pub peer_report_max_age: Duration,
    /// Time after which a router that is down tries again.
    pub down_retry_after: Duration,
}

impl Default for AssessmentLimits {
    fn default() -> Self {
        AssessmentLimits {
            min_weight: 0.01,
            slow_start: Duration::from_secs(10),
            max_change_per_s: 0.25,
            dead_band: 0.04,
            smoothing: Duration::from_secs(1),
            degraded_below: 0.5,
            min_dwell: Duration::from_secs(2),
            ample_free_share: 0.25,
            max_event_loop_delay: Duration::from_millis(20),
            max_list_silence: Duration::from_secs(10),
            max_unanswered: 20,
            peer_serving_after: Duration::from_secs(6),
            peer_report_max_age: Duration::from_secs(3),
            down_retry_after: Duration::from_secs(10),
        }
    }
}

/// Decides state and weight, in steps.
#[derive(Debug, Clone)]
pub struct HealthAssessor {
    limits: AssessmentLimits,
    started: Option<Uptime>,
    last_step: Option<Uptime>,
    /// The measured weight, smoothed; 0 to 1.
    smoothed: f64,
    /// The weight before the operator's limit and the slow start are applied; 0 to 1.
    weight: f64,
    /// The share of requests rejected for lack of capacity, smoothed; 0 to 1.
    rejected_share: f64,
    /// Number of unanswered attempts since the last answered one.
    unanswered: u64,
    last_answered: Uptime,
    down_since: Option<Uptime>,
    current: Assessment,
    state_since: Uptime,
}

/// Maximum time between two steps that is taken into account, so that a pause does not cause a large change.
const MAX_STEP: Duration = Duration::from_secs(1);

impl HealthAssessor {
    /// Creates an assessor without measurements, at the minimum weight.
    pub fn new(limits: AssessmentLimits) -> HealthAssessor {
        let weight = percent(limits.min_weight);
        HealthAssessor {
            started: None,
            last_step: None,
            smoothed: 1.0,
            weight: 1.0,
            rejected_share: 0.0,
            unanswered: 0,
            last_answered: Uptime::ZERO,
            down_since: None,
            current: Assessment { state: HealthState::Degraded, weight, cause: HealthCause::SlowStart },
            state_since: Uptime::ZERO,
            limits,
        }
    }

    /// Replaces the limits and keeps the measurements.
    pub fn reconfigure(&mut self, limits: AssessmentLimits) {
        self.limits = limits;
    }

    /// Returns the last assessment.
    pub fn current(&self) -> Assessment {
        self.current
    }

    /// Updates the assessment with new measurements.
    pub fn step(&mut self, now: Uptime, signals: &Signals) -> Assessment {
        let limits = self.limits;
        let elapsed_s = now.saturating_sub(self.last_step.unwrap_or(now)).min(MAX_STEP).as_secs_f64();
        self.last_step = Some(now);
        if self.started.is_none() && signals.replicas.ready > 0 {
            self.started = Some(now);
        }
        let (target, mut cause) = self.target(signals, elapsed_s);
        self.adjust_weight(target, elapsed_s);
        if self.count_unanswered(now, signals) {
            cause = HealthCause::ReplicasUnresponsive;
        }
        let mut weight = self.weight;
        let age = self.started.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let ramp = match limits.slow_start.as_secs_f64() {
            duration if duration > 0.0 => (age.as_secs_f64() / duration).min(1.0),
            _ => f64::from(u8::from(self.started.is_some())),
        };
        if ramp < weight {
            (weight, cause) =
                (ramp, if cause == HealthCause::Healthy { HealthCause::SlowStart } else { cause });
        }
        let max_weight = f64::from(signals.max_weight.clamp(1, 100)) / 100.0;
        if max_weight < weight {
            (weight, cause) =
                (max_weight, if cause == HealthCause::Healthy { HealthCause::OperatorWeight } else { cause });
        }
        let state = self.state(now, signals, cause);
        // An order or the shutdown determines the state regardless of the measurements.
        let (state, cause, immediate) = match (signals.shutting_down, signals.order) {
            (true, _) => (HealthState::Draining, HealthCause::ShuttingDown, true),
            (_, OperatorOrder::Maintenance) => {
                (HealthState::Maintenance, HealthCause::OperatorMaintenance, true)
            }
            (_, OperatorOrder::Drain) => (HealthState::Draining, HealthCause::OperatorDrain, true),
            _ => (
                state,
                if state == HealthState::Down { HealthCause::IsolatedFromReplicas } else { cause },
                false,
            ),
        };
        let before = self.current.state;
        let by_order = !before.serves() && before != HealthState::Down;
        let may_change = immediate || by_order || now.saturating_sub(self.state_since) >= limits.min_dwell;
        if state != before && may_change {
            self.state_since = now;
            self.current.state = state;
        }
        self.current.cause = cause;
        self.current.weight = percent(weight.max(limits.min_weight));
        self.current
    }

    /// Returns the weight that the router's scarcest resource allows, with its cause.
    fn target(&mut self, signals: &Signals, elapsed_s: f64) -> (f64, HealthCause) {
        let limits = &self.limits;
        let resource_factor = |free: f64| {
            if limits.ample_free_share > 0.0 {
                (free / limits.ample_free_share).clamp(0.0, 1.0)
            } else {
                1.0
            }
        };
        let delay_factor = match (signals.event_loop_delay, limits.max_event_loop_delay) {
            (delay, max_delay) if delay <= max_delay => 1.0,
            (delay, max_delay) => (max_delay.as_secs_f64() / delay.as_secs_f64()).clamp(0.0, 1.0),
        };
        // Requests over a tenant's quota are left out, as every router would reject them.
        let within_quota = signals.accepted.saturating_sub(signals.rejected_quota);
        if within_quota > 0 {
            let share = (signals.rejected_no_capacity as f64 / within_quota as f64).min(1.0);
            self.rejected_share += (share - self.rejected_share) * (elapsed_s / 2.0).min(1.0);
        } else {
            self.rejected_share *= 1.0 - (elapsed_s / 4.0).min(1.0);
        }
        let usable_capacity = signals.capacity as f64 * signals.replicas.usable_capacity.clamp(0.0, 1.0);
        let utilization =
            if usable_capacity > 0.0 { signals.in_flight as f64 / usable_capacity } else { 0.0 };
        let not_ejected = match signals.replicas.ready {
            0 => 1.0,
            ready => 1.0 - signals.replicas.ejected.min(ready) as f64 / ready as f64,
        };
        let factors = [
            (delay_factor, HealthCause::EventLoopLate),
            (resource_factor(signals.clients_free), HealthCause::ClientSlotsExhausted),
            (resource_factor(signals.bodies_free), HealthCause::BodyBudgetExhausted),
            (resource_factor(signals.replica_connections_free), HealthCause::ReplicaConnectionsExhausted),
            (not_ejected, HealthCause::ReplicasEjected),
            (1.0 - self.rejected_share / 2.0, HealthCause::SheddingLoad),
            // The factor falls from 1 at a utilization of 0.75 to its minimum of 0.25 at 1.5.
            ((1.75 - utilization).clamp(0.25, 1.0), HealthCause::AtCapacity),
        ];
        let lowest =
            factors.into_iter().fold((1.0, HealthCause::Healthy), |a, b| if b.0 < a.0 { b } else { a });
        // A condition that is common to all routers is reported as the cause, but does not reduce the weight.
        let list_late = signals.replicas.list_silent_for.is_some_and(|d| d > limits.max_list_silence);
        let common_cause = match signals.replicas {
            ReplicaSummary { ready: 0, .. } => Some(HealthCause::NoReadyReplica),
            _ if list_late => Some(HealthCause::EndpointListLate),
            ReplicaSummary { ready, warming_up: cold, .. } if cold >= ready => {
                Some(HealthCause::ReplicasWarmingUp)
            }
            _ => None,
        };
        match common_cause {
            Some(cause) if lowest.0 > limits.degraded_below => (lowest.0, cause),
            _ => lowest,
        }
    }

    /// Moves the weight towards a target, smoothed and with a limited rate.
    ///
    /// A dead band keeps noise from changing the weight: it changes only when the smoothed target leaves the band around it,
    /// and then only to the edge of the band.
    fn adjust_weight(&mut self, target: f64, elapsed_s: f64) {
        let limits = &self.limits;
        let share = match limits.smoothing.as_secs_f64() {
            time_constant if time_constant > 0.0 => 1.0 - (-elapsed_s / time_constant).exp(),
            _ => 1.0,
        };
        self.smoothed += (target - self.smoothed) * share;
        // The range is stretched by the dead band on both sides, so that the weight can reach 0 and 1.
        let center = self.smoothed * (1.0 + 2.0 * limits.dead_band) - limits.dead_band;
        let weight = self.weight.clamp(center - limits.dead_band, center + limits.dead_band).clamp(0.0, 1.0);
        let max_change = limits.max_change_per_s * elapsed_s;
        self.weight += (weight - self.weight).clamp(-max_change, max_change);
    }

    /// Counts consecutive unanswered attempts; true if the replicas count as unresponsive.
    fn count_unanswered(&mut self, now: Uptime, signals: &Signals) -> bool {
        if signals.answered > 0 {
            (self.unanswered, self.last_answered) = (0, now);
        } else {
            self.unanswered = self.unanswered.saturating_add(signals.unanswered);
        }
        self.unanswered >= self.limits.max_unanswered
    }

    fn state(&mut self, now: Uptime, signals: &Signals, cause: HealthCause) -> HealthState {
        let limits = &self.limits;
        let peer_serves = signals.peer_serving_at.is_some_and(|at| {
            at >= self.last_answered.saturating_add(limits.peer_serving_after)
                && now.saturating_sub(at) <= limits.peer_report_max_age
        });
        match self.down_since {
            // A router that is down receives no requests that could show its recovery, so it must try again after a while.
            Some(since) if now.saturating_sub(since) >= limits.down_retry_after => {
                (self.down_since, self.unanswered, self.last_answered) = (None, 0, now);
            }
            // Without a recent report of a peer, this router may be the only one left.
            Some(_)
                if signals
                    .peer_serving_at
                    .is_none_or(|at| now.saturating_sub(at) > limits.peer_report_max_age) =>
            {
                self.down_since = None;
            }
            Some(_) => return HealthState::Down,
            None if self.unanswered >= limits.max_unanswered && peer_serves => {
                self.down_since = Some(now);
                return HealthState::Down;
            }
            None => {}
        }
        let is_degrading = matches!(
            cause,
            HealthCause::ReplicasUnresponsive
                | HealthCause::NoReadyReplica
                | HealthCause::ReplicasWarmingUp
                | HealthCause::EndpointListLate
        );
        // Hysteresis: a degraded router needs a higher weight to be up again.
        let threshold = match self.current.state {
            HealthState::Up => limits.degraded_below,
            _ => (limits.degraded_below + 2.0 * limits.dead_band).min(1.0),
        };
        if is_degrading || self.weight < threshold || self.started.is_none() {
            HealthState::Degraded
        } else {
            HealthState::Up
        }
    }
}

fn percent(weight: f64) -> u8 {
    (weight * 100.0).round().clamp(1.0, 100.0) as u8
}
