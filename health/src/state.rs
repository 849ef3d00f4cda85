//! The health state of a router as balancers see it, its weight, and the cause.

use std::fmt;

/// The health state that balancers see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// The router serves normally.
    Up,
    /// The router serves with reduced quality.
    Degraded,
    /// The router finishes requests in flight and should receive no new ones.
    Draining,
    /// The router is out of service by order.
    Maintenance,
    /// The router can't serve, and another router can.
    Down,
}

impl HealthState {
    /// Whether the router should receive new requests.
    pub fn serves(self) -> bool {
        matches!(self, HealthState::Up | HealthState::Degraded)
    }

    /// Returns the state's name in checks and answers.
    pub fn name(self) -> &'static str {
        match self {
            HealthState::Up => "up",
            HealthState::Degraded => "degraded",
            HealthState::Draining => "drain",
            HealthState::Maintenance => "maint",
            HealthState::Down => "down",
        }
    }
}

impl fmt::Display for HealthState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The cause of a health state and weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCause {
    /// No problem is known.
    Healthy,
    /// The router has just started and its weight rises.
    SlowStart,
    /// The operator limits the weight.
    OperatorWeight,
    /// The operator drains the router.
    OperatorDrain,
    /// The operator has taken the router out of service for maintenance.
    OperatorMaintenance,
    /// The program is shutting down.
    ShuttingDown,
    /// The event loop is delayed.
    EventLoopLate,
    /// Client connections are close to their limit.
    ClientSlotsExhausted,
    /// Memory for request bodies is close to its limit.
    BodyBudgetExhausted,
    /// Connections to replicas are close to their limit.
    ReplicaConnectionsExhausted,
    /// The router has ejected many replicas as outliers.
    ReplicasEjected,
    /// The router rejects many requests for lack of capacity.
    SheddingLoad,
    /// The requests in flight reach the capacity of the replicas.
    AtCapacity,
    /// All replicas are warming up.
    ReplicasWarmingUp,
    /// The endpoint list is late.
    EndpointListLate,
    /// No replica accepts requests.
    NoReadyReplica,
    /// No replica answers.
    ReplicasUnresponsive,
    /// No replica answers this router, and another router serves.
    IsolatedFromReplicas,
}

impl HealthCause {
    /// Returns the text of the cause in checks and answers.
    pub fn description(self) -> &'static str {
        match self {
            HealthCause::Healthy => "well",
            HealthCause::SlowStart => "started a moment ago",
            HealthCause::OperatorWeight => "weight set by the operator",
            HealthCause::OperatorDrain => "drained by the operator",
            HealthCause::OperatorMaintenance => "in maintenance",
            HealthCause::ShuttingDown => "ending",
            HealthCause::EventLoopLate => "the thread runs late",
            HealthCause::ClientSlotsExhausted => "places for clients run out",
            HealthCause::BodyBudgetExhausted => "room for bodies runs out",
            HealthCause::ReplicaConnectionsExhausted => "connections to model nodes run out",
            HealthCause::ReplicasEjected => "many model nodes excluded",
            HealthCause::SheddingLoad => "refusing for want of room",
            HealthCause::AtCapacity => "as much open as the model nodes can carry",
            HealthCause::ReplicasWarmingUp => "every model node is cold",
            HealthCause::EndpointListLate => "the node list is late",
            HealthCause::NoReadyReplica => "no model node takes work",
            HealthCause::ReplicasUnresponsive => "no model node answers",
            HealthCause::IsolatedFromReplicas => "no model node answers here while another router serves",
        }
    }
}

/// The health of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The health state.
    pub state: HealthState,
    /// The weight in percent, 1 to 100.
    pub weight: u8,
    /// The cause of state and weight.
    pub cause: HealthCause,
}
