//! Status that a router advertises, and status that others derive from its heartbeats.

use serde::{Deserialize, Serialize};

/// Status that a router advertises in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertisedStatus {
    /// The router serves requests.
    Serving,
    /// The router has just started and does not serve requests yet.
    Starting,
    /// The router is draining or has drained.
    Draining,
    /// The router shuts down as planned; its silence is expected from then on.
    Ending,
}

/// Status of a router as derived from its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStatus {
    /// The router has sent no heartbeat yet, but not for long enough to count as silent.
    Unknown,
    /// The router advertised the contained status in its latest heartbeat, and has not been silent since for longer than the
    /// silence limit while this member listened. A router that announced its end stays `Alive(Ending)` until its next
    /// heartbeat, however long it is silent: it is out of service as planned, so its silence means no failure.
    #[serde(rename = "here")]
    Alive(AdvertisedStatus),
    /// The router has sent no heartbeat for longer than the silence limit.
    Silent,
}

impl PeerStatus {
    /// Returns whether the router counts as out of service: true unless it is serving or its status is unknown.
    pub fn is_out_of_service(self) -> bool {
        !matches!(self, PeerStatus::Alive(AdvertisedStatus::Serving) | PeerStatus::Unknown)
    }
}
