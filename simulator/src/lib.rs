//! Discrete-event simulator of routers and their fleet of inference nodes, for fleets that are too large to run with sockets.
//! `docs/SIMULATOR-DESIGN.md` describes the design options and the limits of the model.
//!
//! Modules: [`random_streams`] has the random streams, [`queue`] the event queue, [`prefix_cache`] the prefix cache,
//! [`engine`] the node, [`policy`] the routing policies, [`world`] the simulation, [`fleet_file`] and [`plans`] its
//! parameters, [`compare`] the comparison of policies over many runs.

pub mod compare;
pub mod engine;
pub mod fleet_file;
pub mod plans;
pub mod policy;
pub mod prefix_cache;
pub mod queue;
pub mod random_streams;
pub mod world;
