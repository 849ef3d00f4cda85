//! The health of a router, the weight that it advertises, and the protocols by which common balancers check both. The crate
//! does no input or output: callers pass in the time and the measurements, and carry out the results.
//!
//! - [`assessment`] decides state and weight; [`state`] defines the states and their causes.
//! - [`agent_check`], [`http_check`], [`grpc_health`] and [`load_report`] implement the protocols of the checks.
//! - [`checkers`] tracks the balancers that send checks; [`drain_sequence`] decides the phases of a drain.
//! - [`proxy_protocol`] parses the PROXY protocol; [`exit_code`] defines the exit codes of check programs.
//!
//! `docs/HEALTH-DESIGN.md` compares this design with its alternatives.

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

/// Time since the start of the program, by a monotonic clock.
pub type Uptime = std::time::Duration;
