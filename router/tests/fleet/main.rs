//! Several processes of the program that agree on who goes out of service, with links cut and stalled between them and
//! processes killed and stopped. Who is out is seen from outside, as balancers see it.
#![allow(missing_docs)]

mod council_restarts;
mod drains;
mod failed_releases;
#[path = "../fleet_rig/mod.rs"]
mod fleet_rig;
mod messages;
mod network_faults;
mod release_rig;
mod releases;
mod replica_drains;
