#![doc = include_str!("../README.md")]

pub mod api;
mod decaying_count;
pub mod decisions;
pub mod decode_rate;
pub mod deployment;
pub mod drain_notice;
pub mod effect;
pub mod first_token_wait;
mod linear_fit;
pub mod name_hash;
pub mod prefix_cache;
pub mod prefix_traffic;
pub mod ready_replicas;
mod rendezvous_hash;
pub mod replica_set;
pub mod replica_snapshot;
pub mod served_report;
pub mod start_time;
mod state;
pub mod warm_up;

pub use api::{Action, Event, Settings, SettingsError};
pub use decisions::Balancer;
