//! What a fleet sends, stores and answers, byte for byte as recorded in `tests/recorded/fleet`. Written anew by
//! `RECORD=1 cargo test -p tallypin-router --test recorded_fleet`, never by a test that fails.
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
