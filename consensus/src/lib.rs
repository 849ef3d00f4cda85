//! The state that a fleet of routers agrees on, and the drain lease that it grants. The crate does no input or output:
//! callers pass in messages, clocks and incarnations.
//!
//! # Overview
//!
//! A few routers of the fleet form the *council*. Each member is an *acceptor* of one replicated register, and any of them
//! can be the *proposer* of a change. The register is CASPaxos (Rystsov, *CASPaxos: Replicated State Machines without
//! logs*, 2018), without a log and without a leader. A change is one round:
//!
//! 1. **Prepare.** The proposer picks a ballot higher than any that it has seen. Acceptors promise to accept nothing
//!    lower, and report the proposal that they accepted last.
//! 2. **Change.** Once a majority has promised, the proposer takes the newest value reported and applies commands to it:
//!    [`fleet_state::FleetState::apply`].
//! 3. **Accept.** Acceptors accept the result unless they have promised a higher ballot since. Once a majority has, it is
//!    chosen, and no later round can lose it.
//!
//! Reading needs no round while a majority reports the same proposal ([`register::chosen_value`]). Acceptors keep their
//! state in memory only. A restarted acceptor is *uninitialized* until a round of the others has named its new incarnation;
//! if a majority restarts at once, the council starts again, halted until an operator resumes
//! ([`register::bootstrap_value`]).
//!
//! # The drain lease
//!
//! A router leaves service only with the *drain lease*. An operator's order or a release puts a drain on the fleet state
//! as *requested*. The router requests its lease; the state grants it while the limits of the fleet, the zone and the
//! council hold, counting failed routers as well, and while the fleet is not halted. The lease expires some seconds after
//! the request, by the router's own clock: [`drain_lease`]. A drain that stays *requested* waits for one of these
//! conditions; the [`fleet_state::Rejection`] of its request names the condition.
//!
//! # Modules
//!
//! - [`register`]: the replicated register, independent of the type of its content.
//! - [`fleet_state`]: the content of the register, and which commands the limits allow.
//! - [`drain_lease`]: one router's side of its own drain, and the expiry of its lease.
//! - [`replica_drains`]: replicas that are out of service by order.
//! - [`release`]: a release in waves, and its roll-back. [`release_monitor`]: when a wave is complete or has failed.
//!
//! `docs/FLEET-DESIGN.md` compares this design with its alternatives.

pub mod drain_lease;
pub mod fleet_state;
mod json_array;
pub mod register;
pub mod release;
pub mod release_monitor;
pub mod replica_drains;
