//! The messages of the endpoint list as discovery sends them, and their translation for the decision module. Names of
//! fields and states are the protocol's.

use std::net::SocketAddr;

use serde::Deserialize;
use tallypin::api::{EndpointEntry, EndpointState, Nanos, ZoneId};
use tallypin::deployment::Deployment;
use tallypin::name_hash;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: Nanos = 1_000_000;

/// One object of the list: the whole of it, or what changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointListMessage {
    /// The version that it leads to.
    pub version: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub full: bool,
    /// The replicas.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One replica of the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// The replica's name, the same at every router.
    pub id: String,
    /// Where this router reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its state: `active`, `left`, or any other, which takes no new requests.
    pub state: String,
    /// When it last started: Unix time in milliseconds, 0 if long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl EndpointRecord {
    /// The record as the decision module reads it.
    pub fn to_entry(&self, deployment: &Deployment) -> EndpointEntry {
        EndpointEntry {
            replica: name_hash::replica_id(&self.id),
            state: match self.state.as_str() {
                "active" => EndpointState::Ready,
                "left" => EndpointState::Gone,
                // A state that is not known is no invitation to send.
                _ => EndpointState::Draining,
            },
            started_at: (self.started_ms as Nanos).saturating_mul(NANOS_PER_MILLI),
            zone: ZoneId(index_of(&deployment.zones, &self.zone)),
            cell: self.cell,
            kind: index_of(&deployment.kinds, &self.kind),
        }
    }
}

/// The index of a name in a list of the settings. A name that the list lacks is none of its entries: not the first zone,
/// which may be the own one. An empty name is of a deployment that tells none apart.
fn index_of(names: &[String], name: &str) -> u32 {
    match name {
        "" => 0,
        _ => names.iter().position(|known| known == name).unwrap_or(names.len()) as u32,
    }
}
