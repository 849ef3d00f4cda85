//! How healthy a router is, how much weight it wants, and how each common balancer is told so. Nothing here
//! does I/O: the time and what was measured are handed in, and what is to be said or done comes out.
//!
//! [`state`] decides; [`agent`], [`http`], [`grpc`] and [`orca`] put it into the words of a protocol;
//! [`askers`] and [`plan`] decide how a drain goes; [`preface`] reads the PROXY protocol; [`exit`] is for check
//! programs. `docs/HEALTH-DESIGN.md` has the options weighed.

pub mod agent;
pub mod askers;
pub mod exit;
pub mod grpc;
pub mod http;
pub mod orca;
pub mod plan;
pub mod preface;
pub mod state;

/// Time since the start of the program, by a clock that only goes forward.
pub type Age = std::time::Duration;
