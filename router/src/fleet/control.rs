//! Interface through which the fleet agent controls and observes the router process it runs in.

use std::collections::BTreeMap;

use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{ReplicaView, UnixMs};
use tallypin_membership::AdvertisedStatus;

/// The router is shutting down, and its drain can no longer be started or reverted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the router is shutting down")]
pub struct ShuttingDown;

/// Why the router could not start with a released file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidArtifact {
    /// The file is not UTF-8.
    #[error("the file is not UTF-8 text")]
    NotText,
    /// A settings file is invalid: its first problem, with the line.
    #[error("{0}")]
    Settings(String),
    /// A configuration is invalid: its first problem.
    #[error("{0}")]
    Configuration(String),
}

/// A replica that operators have returned to service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoredReplica {
    /// Id of the replica in the endpoint list.
    pub id: String,
    /// Time of its return to service, Unix ms, at which its slow start begins.
    pub restored_at_ms: UnixMs,
}

/// Operations and observations that the router process offers to the fleet agent.
pub trait RouterControl {
    /// Begins to drain the router.
    ///
    /// # Errors
    ///
    /// The router is already shutting down.
    fn begin_drain(&self) -> Result<(), ShuttingDown>;

    /// Returns the router to service after a drain.
    ///
    /// # Errors
    ///
    /// The router is already shutting down.
    fn resume_service(&self) -> Result<(), ShuttingDown>;

    /// Returns whether the router has drained and has no request in flight.
    fn is_drained(&self) -> bool;

    /// Shuts the process down.
    fn shut_down(&self);

    /// Returns the status that heartbeats advertise to the council.
    fn advertised_status(&self) -> AdvertisedStatus;

    /// Returns the counts of final answers since the start of the process.
    fn answer_counts(&self) -> AnswerCounts;

    /// Returns the listed replicas by id; `None` while the endpoint list is stale.
    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>>;

    /// Replaces the operator overrides: the drained replicas and the replicas returned to service.
    fn set_replica_overrides(&self, drained: &[String], restored: &[RestoredReplica]);

    /// Returns whether this router has requests in flight at a replica.
    fn has_in_flight(&self, replica: &str) -> bool;

    /// Checks that the router could start with these bytes as the named artifact.
    ///
    /// # Errors
    ///
    /// The bytes are not valid for the artifact.
    fn validate_artifact(&self, artifact: &str, bytes: &[u8]) -> Result<(), InvalidArtifact>;
}
