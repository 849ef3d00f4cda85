#![doc = include_str!("../README.md")]

pub mod api;
pub mod choice;
pub mod deployment;
pub mod effect;
pub mod estimate;
pub mod name_hash;
pub mod prefix_cache;
pub mod ready_replicas;
pub mod served_report;
pub mod start_time;
mod state;
mod statistics;
pub mod view;

pub use api::{Action, Event, Settings, SettingsError};
pub use choice::Balancer;
