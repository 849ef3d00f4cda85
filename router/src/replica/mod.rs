//! Model nodes: connections to them, attempts and probes on these.

mod answer;
mod attempt;
mod context;
mod pool;
mod probe;

pub use attempt::Attempt;
pub use context::{close_idle_connections, ReplicaContext};
pub use pool::ReplicaPool;
pub use probe::probe;
