//! Compares the serialized forms and the decisions of the fleet state, the register, the drain lease and the release monitor
//! with recorded files. Routers of different versions exchange, store and decide the same, byte for byte.
//!
//! `script.txt`, `forms.txt`, `asks.txt` and `rounds.txt` are input, in the JSON of the wire; the other files are expected
//! output. `RECORD=1 cargo test` writes the output files again; do this only for an intended change of behaviour.
#![allow(missing_docs)]

mod commands;
mod drain_lease;
mod forms;
mod membership;
mod record;
mod register;
