//! An emulator of a fleet of model nodes and of the routers in front of it, in virtual time: for designs at sizes that
//! sockets don't reach. `docs/SIMULATOR-DESIGN.md` has the options weighed and what the model leaves out.
//!
//! Layers: [`draw`] and [`queue`] are chance and time, [`kept`] and [`engine`] the model node, [`policy`] who decides,
//! [`world`] the rest, [`mod@file`] and [`plans`] what is played, [`compare`] many days at once.

pub mod compare;
pub mod draw;
pub mod engine;
pub mod file;
pub mod kept;
pub mod plans;
pub mod policy;
pub mod queue;
pub mod world;
