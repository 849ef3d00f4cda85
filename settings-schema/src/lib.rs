//! A settings file in the manner of classic daemons: one directive a line, sections in braces, `#` comments,
//! quotes, units, `include`. What may stand in it is a table ([`schema`]); the file is checked against it as a
//! whole, so that all that is wrong is told in one run, each with its place and the nearest word that is known.
//!
//! ```text
//! include common.conf          # relative to this file
//! checks {
//!     agent 127.0.0.1:8701     # an address
//!     budget 50ms              # a time; also us, s, m, h
//! }
//! ```
//!
//! Layers: [`lines`] cuts a text into words with their places, [`mod@load`] follows includes and builds the tree,
//! [`schema`] and [`value`] say what is allowed, [`checked`] is the result, [`mod@print`] writes it back and
//! [`problem`] tells what is wrong.

pub mod checked;
pub mod describe;
pub mod lines;
pub mod load;
pub mod print;
pub mod problem;
pub mod schema;
pub mod value;

pub use checked::{changes, check, Change, Checked, Entry};
pub use describe::describe;
pub use load::{load, Bounds, Tree};
pub use print::print;
pub use problem::{nearest, Place, Problem, Problems};
pub use schema::{Directive, Need, Repeat, Section, Takes};
pub use value::{Kind, Value};
