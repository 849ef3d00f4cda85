//! Settings files with one directive per line, sections in braces, `#` comments, quotes, units and `include`.
//!
//! A [`schema`] declares the sections and directives of a file. A file is checked completely, so that one run reports all
//! problems, each with its position and the closest known name.
//!
//! ```text
//! include common.conf          # relative to this file
//! checks {
//!     agent 127.0.0.1:8701     # an address
//!     budget 50ms              # a time; also us, s, m, h
//! }
//! ```
//!
//! Layers: [`lines`] splits lines into tokens, [`mod@load`] follows includes and builds a tree of sections, [`schema`] and
//! [`value`] declare what is allowed, [`checked`] holds the checked values, [`mod@print`] writes them as text, [`mod@describe`]
//! writes the schema as help text, and [`problem`] reports errors.

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
pub use load::{load, LoadLimits, SectionTree};
pub use print::print;
pub use problem::{closest_match, Problem, Problems, SourceSpan};
pub use schema::{Directive, Presence, Repeat, Section, TakesEffect};
pub use value::{Kind, Value};
