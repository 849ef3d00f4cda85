//! Mocks of the systems around a router, written from the public specifications of these systems, for tests and
//! measurements. They share no code with the router, because an error common to both sides would go unnoticed.

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
