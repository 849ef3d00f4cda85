//! The settings of a deployment: what the simulator's first message and a router's configuration file both hold, as one
//! JSON object. [`parse`] reads it, [`Deployment::validate`] says whether a router can go by it.

mod document;
mod validation;

use crate::api::{Nanos, Settings};

pub use validation::InvalidSetting;

/// A request class as clients name it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// The longest that its clients wait for a first token.
    pub deadline: Nanos,
}

/// The settings of a deployment: what the decisions go by, and what only a router's sockets need.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// What the decision module gets.
    pub decisions: Settings,
    /// The classes, in the order of [`Settings::classes`].
    pub classes: Vec<ClassTerms>,
    /// The tenants' names, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// The names of zones; a [`crate::api::ZoneId`] is an index into them.
    pub zones: Vec<String>,
    /// The names of kinds of machines.
    pub kinds: Vec<String>,
    /// The names of the values in a load report, in the order of [`Settings::report_fields`].
    pub report_field_names: Vec<String>,
    /// A connection to a replica that is not established within this counts as refused.
    pub connect_timeout: Nanos,
    /// Replicas close a connection that has been idle for so long.
    pub replica_idle_timeout: Nanos,
    /// The most requests in flight.
    pub max_in_flight: usize,
    /// A final answer still counts so long after its client's deadline.
    pub deadline_slack: Nanos,
    /// Clients whose stream broke come back for the rest.
    pub resumes_streams: bool,
}

/// Why an object can't be read: the path to the field, and the error there as its source.
pub type ParseError = serde_path_to_error::Error<serde_json::Error>;

/// Reads the object. Unknown keys are skipped, absent ones get a safe default, and unknown words the safest meaning.
///
/// # Errors
/// The text is not JSON, or a value has another type than its field.
pub fn parse(text: &str) -> Result<Deployment, ParseError> {
    let document: document::Document =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    Ok(document.into())
}
