//! How healthy a router is, how much weight it wants, and how each common balancer is told so. Nothing here does I/O: the
//! time and what was measured are handed in, and what is to be said or done comes out.
//!
//! - [`assessment`] decides state and weight; [`state`] has the states and their causes.
//! - [`agent_check`], [`http_check`], [`grpc_health`] and [`load_report`] are the protocols by which balancers ask.
//! - [`checkers`] knows which balancers ask; [`drain_sequence`] decides how a drain goes.
//! - [`proxy_protocol`] reads the PROXY protocol; [`exit_code`] is for check programs.
//!
//! `docs/HEALTH-DESIGN.md` has the options weighed.

pub mod agent_check;
pub mod assessment;
pub mod checkers;
pub mod drain_sequence;
pub mod exit_code;
pub mod grpc_health;
pub mod http_check;
pub mod load_report;
pub mod proxy_protocol;
pub mod state;

/// Time since the start of the program, by a clock that only goes forward.
pub type Age = std::time::Duration;
