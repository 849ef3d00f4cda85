//! Several router processes agree on which routers go out of service, while links between them are cut or stalled and
//! processes are killed or stopped. The tests see who is out of service through the agent check, as balancers do.
#![allow(missing_docs)]

mod council_restarts;
mod drains;
mod failed_releases;
#[path = "../fleet_processes/mod.rs"]
mod fleet_processes;
mod killed_routers;
mod messages;
mod network_faults;
mod release_setup;
mod releases;
mod replica_drains;
