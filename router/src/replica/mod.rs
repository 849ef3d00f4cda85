//! Connections to replicas, and the attempts and health checks on them.

mod attempt;
mod connection;
mod context;
mod pool;
mod probe;
mod relay;
mod response;

pub use attempt::Attempt;
pub use context::{close_idle_connections, ReplicaContext};
pub use pool::ReplicaPool;
pub use probe::probe;
