//! Compares the messages, stored files and answers of a fleet byte for byte with `tests/recorded/fleet`. Only
//! `RECORD=1 cargo test -p tallypin-router --test recorded_fleet` writes those files.
#![allow(missing_docs)]

mod command_line;
mod data;
mod files;
#[path = "../fleet_rig/mod.rs"]
mod fleet_rig;
mod invalid_input;
mod messages;
mod orders;
mod stored_folder;
