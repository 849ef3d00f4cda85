//! A router's part in its fleet, where the settings have a section `fleet`: the routers agree on who is out of service, on
//! drained replicas and on releases.
//!
//! Decisions are made by `tallypin_membership` and `tallypin_consensus`, which do no input or output. Here are
//! connections, time, files and tasks, none of them in the path of a request:
//!
//! | module | what it does |
//! | --- | --- |
//! | `agent` | puts the parts together and owns their tasks |
//! | `wire`, `connection`, `server` | the messages; calls to council members; replies to calls |
//! | `heartbeat`, `peer_table` | reports to the council; what the others have reported |
//! | `council`, `proposer`, `submission`, `bootstrap` | the acceptors; rounds; commands of this router; joining |
//! | `known_state`, `state_follower` | what is agreed on; this router's own drains and returns |
//! | `release_controller`, `artifacts`, `release_files`, `release_plan` | releases: waves, files on disk, plans |
//! | `operator_orders`, `order_execution`, `status_report` | orders of `tallypin fleet` and their answers |
//! | `persistence`, `stored_state`, `key_reload`, `disk` | files that are read at the start or meanwhile, and written |
//! | `control`, `settings`, `local_router`, `incarnation`, `tasks` | the router that this is a part of; basics |

#![deny(clippy::too_many_lines, clippy::cognitive_complexity, clippy::missing_errors_doc)]

mod agent;
mod artifacts;
mod bootstrap;
mod connection;
mod control;
mod council;
mod disk;
#[cfg(test)]
mod file_faults;
mod heartbeat;
mod incarnation;
mod key_reload;
mod known_state;
mod local_router;
pub mod operator_orders;
mod order_execution;
mod peer_table;
mod persistence;
mod proposer;
mod release_controller;
pub mod release_files;
pub mod release_plan;
mod server;
pub mod settings;
mod state_follower;
mod status_report;
mod stored_state;
mod submission;
mod tasks;
pub mod wire;

pub use agent::{FleetAgent, StartError};
pub use control::{InvalidArtifact, RestoredReplica, RouterControl, ShuttingDown};

use tallypin_consensus::replica_drains::UnixMs;

/// The time as routers tell it each other. Of a clock before 1970: 0.
fn unix_ms() -> UnixMs {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
