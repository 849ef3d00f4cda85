//! What the fleet needs of the router that it runs in.

use std::collections::BTreeMap;

use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{ReplicaView, UnixMs};
use tallypin_membership::AdvertisedStatus;

/// The router's shutdown has gone too far to be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the router is shutting down")]
pub struct ShuttingDown;

/// Why a router could not start with a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidArtifact {
    /// It is not UTF-8.
    #[error("not text")]
    NotText,
    /// The first problem of a settings file, with its line.
    #[error("{0}")]
    Settings(String),
    /// The first problem of a configuration.
    #[error("{0}")]
    Configuration(String),
}

/// A replica that operators have put back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoredReplica {
    /// Its id in the endpoint list.
    pub id: String,
    /// When it was put back, Unix ms: it warms up from then on.
    pub at: UnixMs,
}

/// What the fleet can have a router do, and ask of it.
pub trait RouterControl {
    /// Begins to drain.
    ///
    /// # Errors
    ///
    /// It is shutting down already.
    fn begin_drain(&self) -> Result<(), ShuttingDown>;

    /// Takes new requests again.
    ///
    /// # Errors
    ///
    /// It is shutting down already.
    fn resume_service(&self) -> Result<(), ShuttingDown>;

    /// Whether it has drained: nothing that it took before is in flight.
    fn is_drained(&self) -> bool;

    /// Shuts the process down.
    fn shut_down(&self);

    /// The status that it advertises to the council.
    fn advertised_status(&self) -> AdvertisedStatus;

    /// Its final answers since its start.
    fn answer_counts(&self) -> AnswerCounts;

    /// The listed replicas by id; `None`: the endpoint list is stale.
    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>>;

    /// Replaces the operator overrides: which replicas are drained, and which were put back.
    fn set_replica_overrides(&self, drained: &[String], restored: &[RestoredReplica]);

    /// Whether it has requests in flight at a replica.
    fn has_in_flight(&self, replica: &str) -> bool;

    /// Checks that it could start with these bytes as its file of this kind.
    ///
    /// # Errors
    ///
    /// What is wrong with them.
    fn validate_artifact(&self, artifact: &str, bytes: &[u8]) -> Result<(), InvalidArtifact>;
}
