//! Settings of a deployment: one JSON object, which both the simulator's first message and a router's configuration
//! file contain. [`parse`] reads it, and [`Deployment::validate`] checks it.

mod document;
mod validation;

use crate::api::{Nanos, Settings};

pub use validation::InvalidSetting;

/// Name and deadline of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassInfo {
    /// Name of the class, as clients send it.
    pub name: String,
    /// Maximum time that clients of the class wait for a first token.
    pub deadline: Nanos,
}

/// Settings of a deployment: those of the decisions, and those that only a router's sockets need.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Settings of the decisions.
    pub decision_settings: Settings,
    /// Request classes, in the order of [`Settings::classes`].
    pub classes: Vec<ClassInfo>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// Names of the zones, indexed by [`crate::api::ZoneId`].
    pub zones: Vec<String>,
    /// Names of the kinds of machines.
    pub kinds: Vec<String>,
    /// Names of the fields of a load report, in the order of [`Settings::report_fields`].
    pub report_field_names: Vec<String>,
    /// Time after which a connection to a replica that is not established counts as refused.
    pub connect_timeout: Nanos,
    /// Time after which replicas close an idle connection.
    pub replica_idle_timeout: Nanos,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Time after a client's deadline within which a final answer still counts.
    pub deadline_slack: Nanos,
    /// Whether clients whose stream broke request the rest of it.
    pub resumes_streams: bool,
}

/// Why an object can't be read: the path to the field, with the error as its source.
pub type ParseError = serde_path_to_error::Error<serde_json::Error>;

/// Reads the object. Unknown keys are ignored, absent ones get a safe default, and unknown values get the safest
/// meaning.
///
/// # Errors
/// The text is not JSON, or a value has another type than its field.
pub fn parse(text: &str) -> Result<Deployment, ParseError> {
    let document: document::Document =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    Ok(document.into())
}
