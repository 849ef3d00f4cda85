//! The messages of the endpoint list as the discovery service sends them, and their conversion for the decision module. The
//! names of fields and states are those of the protocol.

use std::net::SocketAddr;

use serde::Deserialize;
use tallypin::api::{EndpointEntry, EndpointState, Nanos, ZoneId};
use tallypin::deployment::Deployment;
use tallypin::name_hash;

/// Nanoseconds per millisecond.
const NANOS_PER_MILLI: Nanos = 1_000_000;

/// One message: the full list, or the records that changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointListMessage {
    /// The version of the list after this message.
    pub version: u64,
    /// Whether the message contains the full list.
    #[serde(default)]
    pub full: bool,
    /// The records of the replicas.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// The record of one replica.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// The replica's name, which is the same at every router.
    pub id: String,
    /// The address at which this router reaches the replica.
    pub addr: SocketAddr,
    /// The replica's zone.
    #[serde(default)]
    pub zone: String,
    /// The replica's kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The replica's cell.
    #[serde(default)]
    pub cell: u32,
    /// The replica's state: `active`, `left`, or another one, in which it accepts no new requests.
    pub state: String,
    /// When the replica last started, in Unix milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl EndpointRecord {
    /// Converts the record for the decision module.
    pub fn to_entry(&self, deployment: &Deployment) -> EndpointEntry {
        EndpointEntry {
            replica: name_hash::replica_id(&self.id),
            state: match self.state.as_str() {
                "active" => EndpointState::Ready,
                "left" => EndpointState::Gone,
                // A replica in an unknown state gets no new requests.
                _ => EndpointState::Draining,
            },
            started_at: (self.started_ms as Nanos).saturating_mul(NANOS_PER_MILLI),
            zone: ZoneId(index_of(&deployment.zones, &self.zone)),
            cell: self.cell,
            kind: index_of(&deployment.kinds, &self.kind),
        }
    }
}

/// Returns the index of a name in a list of the settings. A name that the list lacks gets an index past its end, and not 0,
/// which may be the router's own zone. An empty name gets 0: the deployment then has no such names.
fn index_of(names: &[String], name: &str) -> u32 {
    match name {
        "" => 0,
        _ => names.iter().position(|known| known == name).unwrap_or(names.len()) as u32,
    }
}
