//! Stand-ins of the systems around a router, written from their public specifications, for its tests and
//! measurements. They share no code with the router: what both sides got wrong alike would not show.

pub mod balancer;
pub mod checkers;
pub mod growth;
mod lateness;
pub mod list_trial;
pub mod park;
pub mod relay;
pub mod router_process;
pub mod seeds;
pub mod shim;
pub mod trial;
mod wire;
