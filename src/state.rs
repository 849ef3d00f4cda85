//! What a router remembers about replicas and requests. [`crate::decisions`] reads and writes this state;
//! nothing is decided here.

pub(crate) mod affinity;
pub(crate) mod recent_drains;
pub(crate) mod replica;
pub(crate) mod replica_statistics;
pub(crate) mod replica_table;
pub(crate) mod request;
pub(crate) mod smoothing;
