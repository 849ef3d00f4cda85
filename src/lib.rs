#![doc = include_str!("../README.md")]

pub mod api;
pub mod choice;
pub mod effect;
pub mod estimate;
pub mod kept;
pub mod membership;
pub mod names;
pub mod report;
pub mod settings;
pub mod start;
mod state;
mod stats;
pub mod view;

pub use api::{Action, Event, Settings, SettingsError};
pub use choice::Balancer;
