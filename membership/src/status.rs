//! What a router says of its own state, and what others believe of it.

use serde::{Deserialize, Serialize};

/// What a router says of itself in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertisedStatus {
    /// It serves.
    Serving,
    /// It has just started and does not serve yet.
    Starting,
    /// It drains, or has drained.
    Draining,
    /// It ends as planned: from now on silence is expected.
    Ending,
}

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStatus {
    /// It has sent no heartbeat yet, and there was not enough time to call that silence.
    Unknown,
    /// It advertised this status recently, or it has ended as it said it would.
    #[serde(rename = "here")]
    Alive(AdvertisedStatus),
    /// It has sent no heartbeat for too long.
    Silent,
}

impl PeerStatus {
    /// Whether the router counts as out of service: all do but one that serves, or of which nothing is known yet.
    pub fn is_out_of_service(self) -> bool {
        !matches!(self, PeerStatus::Alive(AdvertisedStatus::Serving) | PeerStatus::Unknown)
    }
}
