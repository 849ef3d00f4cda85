//! Compares the messages, stored files and answers of a fleet byte for byte with `tests/recorded/fleet`. Only
//! `RECORD=1 cargo test -p tallypin-router --test recorded_fleet` writes those files.
#![allow(missing_docs)]

mod bootstrap_rounds;
mod command_line;
mod commands;
mod files;
#[path = "../fleet_processes/mod.rs"]
mod fleet_processes;
mod invalid_input;
mod messages;
mod recorded_files;
mod stored_files;
