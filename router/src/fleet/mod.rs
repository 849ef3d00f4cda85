//! Fleet membership of a router, enabled by section `fleet` of the settings: the routers agree on which routers are out of
//! service, on drained replicas and on releases.
//!
//! `tallypin_membership` and `tallypin_consensus` make the decisions and do no input or output. The modules here handle
//! connections, time, files and tasks. None of them is in the path of a request:
//!
//! | module | what it does |
//! | --- | --- |
//! | `agent` | builds the components and owns their tasks |
//! | `wire`, `connection`, `server` | the messages; calls to council members; replies to calls |
//! | `heartbeat`, `peer_table` | heartbeats to the council; heartbeats received from other routers |
//! | `council`, `proposer`, `submission`, `bootstrap` | acceptors; proposal rounds; this router's commands; joining |
//! | `known_state`, `state_follower` | the agreed fleet state; this router's own drain and return to service |
//! | `release_controller`, `artifacts`, `release_files`, `release_plan` | releases: waves, files on disk, plans |
//! | `operator_orders`, `order_execution`, `status_report` | orders of `tallypin fleet` and their answers |
//! | `persistence`, `stored_state`, `key_reload`, `disk` | the stored fleet state, the key file, file operations |
//! | `control`, `settings`, `local_router`, `incarnation`, `tasks` | interface to the router process; shared basics |

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

/// Returns the current Unix time in ms, the unit of times in messages; 0 if the clock is set before 1970.
fn unix_ms() -> UnixMs {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
