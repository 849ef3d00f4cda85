//! Model nodes: connections to them, attempts and probes on these.

mod answer;
mod attempt;
mod pool;
mod probe;

pub use attempt::Attempt;
pub use pool::ReplicaPool;
pub use probe::probe;
