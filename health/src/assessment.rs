//! State and weight from what was measured.
//!
//! What is common to all routers (the fleet cold, full or gone, the node list late) makes a router say
//! *degraded* at the most: all would say *down* together, and leave the balancer nobody. *Down* takes trouble
//! that is the router's own, and the proof of it is a witness: another router that serves now, well after this
//! one last could. Two routers can't be each other's witness, as each would have to serve and not to serve.

use std::time::Duration;

use crate::Age;

pub use crate::state::{Assessment, HealthCause, HealthState};

/// What an operator has ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OperatorOrder {
    /// Serve.
    #[default]
    Ready,
    /// Finish what is there, take nothing new.
    Drain,
    /// Out of service.
    Maintenance,
}

/// The model nodes as this router sees them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReplicaSummary {
    /// Nodes of the list that take work.
    pub ready: usize,
    /// Those of them that are cold.
    pub warming_up: usize,
    /// Those of them that this router excludes.
    pub ejected: usize,
    /// The share of the ready nodes' capacity that can be used: cold nodes count with what they can do at the
    /// moment, excluded ones not at all. 0 to 1.
    pub usable_capacity: f64,
    /// The node list has said nothing for so long; `None` while it is followed.
    pub list_silent_for: Option<Duration>,
}

/// What was measured since the last step, and what stands now.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// The operator's order.
    pub order: OperatorOrder,
    /// The most weight that the operator allows, 1 to 100.
    pub max_weight: u8,
    /// The program has been told to end.
    pub shutting_down: bool,
    /// The model nodes.
    pub replicas: ReplicaSummary,
    /// Open requests.
    pub in_flight: usize,
    /// Open requests that the fleet, warm and whole, is worth to one router.
    pub capacity: usize,
    /// Free share of the places for clients, 0 to 1.
    pub clients_free: f64,
    /// Free share of the budget for bodies, 0 to 1.
    pub bodies_free: f64,
    /// Free share of the connections to model nodes, 0 to 1.
    pub replica_connections_free: f64,
    /// How late the one thread came to what was due, at the worst.
    pub event_loop_delay: Duration,
    /// Requests taken since the last step.
    pub accepted: u64,
    /// Refused for want of room.
    pub rejected_no_capacity: u64,
    /// Refused as over a partner's share: says nothing of the router.
    pub rejected_quota: u64,
    /// Attempts that ended well, or at least were answered by a node.
    pub answered: u64,
    /// Attempts that no node answered: refused, reset, timed out.
    pub unanswered: u64,
    /// When another router last told that it serves.
    pub peer_serving_at: Option<Age>,
}

/// The limits that the decision goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssessmentLimits {
    /// The least weight of a router that serves, 0 to 1.
    pub min_weight: f64,
    /// A router just started reaches its weight in so long.
    pub slow_start: Duration,
    /// The weight changes by so much a second at the most, 0 to 1.
    pub max_change_per_s: f64,
    /// A difference below this changes nothing, 0 to 1.
    pub dead_band: f64,
    /// What is measured is smoothed over so long.
    pub smoothing: Duration,
    /// Below this weight the state is degraded; it is up again at so much more as `band` doubled.
    pub degraded_below: f64,
    /// A state is kept for so long at least; orders and the end don't wait.
    pub min_dwell: Duration,
    /// Free shares above this are ample.
    pub ample_free_share: f64,
    /// The thread may be so late without harm.
    pub max_event_loop_delay: Duration,
    /// The node list may be lost for so long without a word of it.
    pub max_list_silence: Duration,
    /// So many attempts without an answer in a row, none answered between, are no chance.
    pub max_unanswered: u64,
    /// A witness must have served so long after the own last answer.
    pub peer_serving_after: Duration,
    /// And have been heard within this.
    pub peer_report_max_age: Duration,
    /// A router that is down tries again after this.
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

/// Decides state and weight, step by step.
#[derive(Debug, Clone)]
pub struct HealthAssessor {
    limits: AssessmentLimits,
    started: Option<Age>,
    last: Option<Age>,
    /// What was measured, smoothed; 0 to 1.
    smoothed: f64,
    /// The weight before the operator's bound and the slow start.
    weight: f64,
    refusing: f64,
    /// Attempts without an answer since the last one with.
    unanswered: u64,
    last_answered: Age,
    down_since: Option<Age>,
    current: Assessment,
    state_since: Age,
}

/// A gap longer than this between two steps counts as this: what was not measured moves nothing.
const MAX_STEP: Duration = Duration::from_secs(1);

impl HealthAssessor {
    /// Nothing measured yet: it starts at the floor.
    pub fn new(limits: AssessmentLimits) -> HealthAssessor {
        let weight = percent(limits.min_weight);
        HealthAssessor {
            started: None,
            last: None,
            smoothed: 1.0,
            weight: 1.0,
            refusing: 0.0,
            unanswered: 0,
            last_answered: Age::ZERO,
            down_since: None,
            current: Assessment { state: HealthState::Degraded, weight, cause: HealthCause::SlowStart },
            state_since: Age::ZERO,
            limits,
        }
    }

    /// New limits; what was measured stays.
    pub fn reconfigure(&mut self, limits: AssessmentLimits) {
        self.limits = limits;
    }

    /// What was decided last.
    pub fn current(&self) -> Assessment {
        self.current
    }

    /// Takes what was measured, and decides.
    pub fn step(&mut self, now: Age, signals: &Signals) -> Assessment {
        let f = self.limits;
        let passed = now.saturating_sub(self.last.unwrap_or(now)).min(MAX_STEP).as_secs_f64();
        self.last = Some(now);
        if self.started.is_none() && signals.replicas.ready > 0 {
            self.started = Some(now);
        }
        let (target, mut cause) = self.target(signals, passed);
        self.follow(target, passed);
        if self.unanswered_for(now, signals) {
            cause = HealthCause::ReplicasUnresponsive;
        }
        let mut weight = self.weight;
        let age = self.started.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let risen = match f.slow_start.as_secs_f64() {
            long if long > 0.0 => (age.as_secs_f64() / long).min(1.0),
            _ => f64::from(u8::from(self.started.is_some())),
        };
        if risen < weight {
            (weight, cause) =
                (risen, if cause == HealthCause::Healthy { HealthCause::SlowStart } else { cause });
        }
        let most = f64::from(signals.max_weight.clamp(1, 100)) / 100.0;
        if most < weight {
            (weight, cause) =
                (most, if cause == HealthCause::Healthy { HealthCause::OperatorWeight } else { cause });
        }
        let state = self.state(now, signals, cause);
        // An order and the end are no matter of degree.
        let (state, cause, at_once) = match (signals.shutting_down, signals.order) {
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
        let ordered = !before.serves() && before != HealthState::Down;
        let may = at_once || ordered || now.saturating_sub(self.state_since) >= f.min_dwell;
        if state != before && may {
            self.state_since = now;
            self.current.state = state;
        }
        self.current.cause = cause;
        self.current.weight = percent(weight.max(f.min_weight));
        self.current
    }

    /// What the router's own means allow, and the scarcest of them.
    fn target(&mut self, s: &Signals, passed: f64) -> (f64, HealthCause) {
        let f = &self.limits;
        let ample = |free: f64| {
            if f.ample_free_share > 0.0 {
                (free / f.ample_free_share).clamp(0.0, 1.0)
            } else {
                1.0
            }
        };
        let late = match (s.event_loop_delay, f.max_event_loop_delay) {
            (late, most) if late <= most => 1.0,
            (late, most) => (most.as_secs_f64() / late.as_secs_f64()).clamp(0.0, 1.0),
        };
        // Who was over its share would have been refused anywhere.
        let asked = s.accepted.saturating_sub(s.rejected_quota);
        if asked > 0 {
            let share = (s.rejected_no_capacity as f64 / asked as f64).min(1.0);
            self.refusing += (share - self.refusing) * (passed / 2.0).min(1.0);
        } else {
            self.refusing *= 1.0 - (passed / 4.0).min(1.0);
        }
        let carry = s.capacity as f64 * s.replicas.usable_capacity.clamp(0.0, 1.0);
        let crowd = if carry > 0.0 { s.in_flight as f64 / carry } else { 0.0 };
        let excluded = match s.replicas.ready {
            0 => 1.0,
            ready => 1.0 - s.replicas.ejected.min(ready) as f64 / ready as f64,
        };
        let factors = [
            (late, HealthCause::EventLoopLate),
            (ample(s.clients_free), HealthCause::ClientSlotsExhausted),
            (ample(s.bodies_free), HealthCause::BodyBudgetExhausted),
            (ample(s.replica_connections_free), HealthCause::ReplicaConnectionsExhausted),
            (excluded, HealthCause::ReplicasEjected),
            (1.0 - self.refusing / 2.0, HealthCause::SheddingLoad),
            // From three quarters on, down to a quarter at twice of what can be carried.
            ((1.75 - crowd).clamp(0.25, 1.0), HealthCause::AtCapacity),
        ];
        let least =
            factors.into_iter().fold((1.0, HealthCause::Healthy), |a, b| if b.0 < a.0 { b } else { a });
        // What is common to all routers is told, and lowers no weight.
        let lost = s.replicas.list_silent_for.is_some_and(|d| d > f.max_list_silence);
        let common = match s.replicas {
            ReplicaSummary { ready: 0, .. } => Some(HealthCause::NoReadyReplica),
            _ if lost => Some(HealthCause::EndpointListLate),
            ReplicaSummary { ready, warming_up: cold, .. } if cold >= ready => {
                Some(HealthCause::ReplicasWarmingUp)
            }
            _ => None,
        };
        match common {
            Some(cause) if least.0 > f.degraded_below => (least.0, cause),
            _ => least,
        }
    }

    /// Follows a target: smoothed, with play, and no faster than the step. The play is what keeps noise from
    /// moving the weight: it changes only when what is measured leaves a band around it, and then only so far.
    fn follow(&mut self, target: f64, passed: f64) {
        let f = &self.limits;
        let share = match f.smoothing.as_secs_f64() {
            long if long > 0.0 => 1.0 - (-passed / long).exp(),
            _ => 1.0,
        };
        self.smoothed += (target - self.smoothed) * share;
        // Stretched a little, so that the play does not keep it from either end.
        let wanted = self.smoothed * (1.0 + 2.0 * f.dead_band) - f.dead_band;
        let within = self.weight.clamp(wanted - f.dead_band, wanted + f.dead_band).clamp(0.0, 1.0);
        let most = f.max_change_per_s * passed;
        self.weight += (within - self.weight).clamp(-most, most);
    }

    /// Counts what no node answered; true if that is no chance any more.
    fn unanswered_for(&mut self, now: Age, s: &Signals) -> bool {
        if s.answered > 0 {
            (self.unanswered, self.last_answered) = (0, now);
        } else {
            self.unanswered = self.unanswered.saturating_add(s.unanswered);
        }
        self.unanswered >= self.limits.max_unanswered
    }

    fn state(&mut self, now: Age, s: &Signals, cause: HealthCause) -> HealthState {
        let f = &self.limits;
        let proof = s.peer_serving_at.is_some_and(|at| {
            at >= self.last_answered.saturating_add(f.peer_serving_after)
                && now.saturating_sub(at) <= f.peer_report_max_age
        });
        match self.down_since {
            // After a while it has to be tried: a router that is down gets no requests that could show more.
            Some(since) if now.saturating_sub(since) >= f.down_retry_after => {
                (self.down_since, self.unanswered, self.last_answered) = (None, 0, now);
            }
            // Without the witness nobody else may be left.
            Some(_) if s.peer_serving_at.is_none_or(|at| now.saturating_sub(at) > f.peer_report_max_age) => {
                self.down_since = None;
            }
            Some(_) => return HealthState::Down,
            None if self.unanswered >= f.max_unanswered && proof => {
                self.down_since = Some(now);
                return HealthState::Down;
            }
            None => {}
        }
        let serious = matches!(
            cause,
            HealthCause::ReplicasUnresponsive
                | HealthCause::NoReadyReplica
                | HealthCause::ReplicasWarmingUp
                | HealthCause::EndpointListLate
        );
        // Up again only when it is clearly so.
        let line = match self.current.state {
            HealthState::Up => f.degraded_below,
            _ => (f.degraded_below + 2.0 * f.dead_band).min(1.0),
        };
        if serious || self.weight < line || self.started.is_none() {
            HealthState::Degraded
        } else {
            HealthState::Up
        }
    }
}

fn percent(weight: f64) -> u8 {
    (weight * 100.0).round().clamp(1.0, 100.0) as u8
}
