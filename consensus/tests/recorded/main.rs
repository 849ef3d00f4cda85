//! The serialized forms and the decisions of the fleet state, the register, the drain lease and the release monitor, as
//! recorded from the program in use. What routers of two versions send each other, store and decide stays byte for byte.
//!
//! `script.txt`, `forms.txt`, `asks.txt` and `rounds.txt` are input, in the wire's JSON; the other files hold what came of
//! it. `RECORD=1 cargo test` writes these anew, which is right only for a change that is meant to alter what the program
//! does.
#![allow(missing_docs)]

mod commands;
mod drain_lease;
mod forms;
mod membership;
mod record;
mod register;
