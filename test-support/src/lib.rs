//! Mocks of the systems around a router, written from the public specifications of these systems, for tests and
//! measurements. They share no code with the router, because an error common to both sides would go unnoticed.

pub mod balancer;
pub mod discovery_runs;
pub mod fault_injection;
mod harness_delay;
pub mod health_checks;
mod http_connection;
pub mod mock_services;
pub mod relay;
pub mod resource_usage;
pub mod router_process;
pub mod seeds;
pub mod shutdown_runs;
