//! The state of a router as balancers are told it, its weight, and the cause.

use std::fmt;

/// The state told to balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// All is well.
    Up,
    /// It serves, not as well as it should.
    Degraded,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It is out of service by order.
    Maintenance,
    /// It can't serve, and another router can.
    Down,
}

impl HealthState {
    /// New requests are welcome.
    pub fn serves(self) -> bool {
        matches!(self, HealthState::Up | HealthState::Degraded)
    }

    /// The state's name.
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

/// Why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCause {
    /// Nothing is wrong.
    Healthy,
    /// It has just started and takes up work gradually.
    SlowStart,
    /// The operator allows so much.
    OperatorWeight,
    /// The operator's drain.
    OperatorDrain,
    /// The operator's maintenance.
    OperatorMaintenance,
    /// The program is ending.
    ShuttingDown,
    /// The thread is late.
    EventLoopLate,
    /// Places for clients run out.
    ClientSlotsExhausted,
    /// Room for bodies runs out.
    BodyBudgetExhausted,
    /// Connections to model nodes run out.
    ReplicaConnectionsExhausted,
    /// It excludes many model nodes.
    ReplicasEjected,
    /// It refuses much for want of room.
    SheddingLoad,
    /// Its requests are as many as the fleet can carry now.
    AtCapacity,
    /// All model nodes are cold.
    ReplicasWarmingUp,
    /// The node list is late.
    EndpointListLate,
    /// No model node takes work.
    NoReadyReplica,
    /// No model node answers.
    ReplicasUnresponsive,
    /// No model node answers this router, and another router serves.
    IsolatedFromReplicas,
}

impl HealthCause {
    /// In words.
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

/// State, weight and cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The state.
    pub state: HealthState,
    /// The weight wanted, 1 to 100.
    pub weight: u8,
    /// The cause.
    pub cause: HealthCause,
}
