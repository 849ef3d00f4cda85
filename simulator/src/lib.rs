//! Discrete-event simulator of routers and their fleet of inference nodes, for fleets that are too large to run with sockets.
//! `docs/SIMULATOR-DESIGN.md` describes the design options and the limits of the model.
//!
//! Modules: [`draw`] has the random streams, [`queue`] the event queue, [`kept`] the prefix cache, [`engine`] the node,
//! [`policy`] the routing policies, [`world`] the simulation, [`mod@file`] and [`plans`] its parameters, [`compare`] the
//! comparison of policies over many runs.

pub mod compare;
pub mod draw;
pub mod engine;
pub mod file;
pub mod kept;
pub mod plans;
pub mod policy;
pub mod queue;
pub mod world;
