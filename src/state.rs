//! What a router remembers of replicas and requests. Nothing is decided here: [`crate::decisions`] reads and
//! writes it.

pub(crate) mod affinity;
pub(crate) mod recent_drains;
pub(crate) mod replica;
pub(crate) mod replica_statistics;
pub(crate) mod replica_table;
pub(crate) mod request;
pub(crate) mod smoothing;
