//! One document that a fleet of routers agrees on, and the leave to go out of service that it grants. No input or
//! output: messages, time and lives are handed in. `docs/FLEET-DESIGN.md` has the options weighed and the invariants.
//!
//! - [`register`]: a register that changes by compare-and-set, kept by a council of a few routers (CASPaxos: Rystsov,
//!   *CASPaxos: Replicated State Machines without logs*, 2018), whose members forget everything when they restart.
//! - [`fleet_state`]: what it holds, and which changes the bounds allow.
//! - [`replica_drains`]: model nodes that are out by order. [`release`]: a release in waves, and the way back. [`release_monitor`]: when a wave
//!   is done, and when it has failed.
//! - [`drain_lease`]: what one router does about its own entry, and until when it may.

pub mod drain_lease;
pub mod fleet_state;
mod json_array;
pub mod register;
pub mod release;
pub mod release_monitor;
pub mod replica_drains;
