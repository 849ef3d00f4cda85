//! Settings of the decisions, fixed when a router starts.

use std::fmt;

use super::endpoint::EndpointListMode;
use super::ids::{Nanos, PeerId, ZoneId};
use crate::effect::Effect;
use crate::served_report::TenantsDigest;

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Time from the arrival of a request within which its first token has full value.
    pub latency_objective: Nanos,
    /// Additional latency objective per 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Nanos,
    /// Objective for the time between two tokens; 0 if there is none.
    pub token_interval_objective: Nanos,
    /// Effect of repeating a request.
    pub effect: Effect,
    /// Value of a request relative to others, in any unit common to all classes.
    pub priority_weight: f64,
    /// Share of its value that an answer keeps if its first token misses the latency objective, 0 to 1.
    pub late_value_share: f64,
}

impl Class {
    /// Returns the latency objective for a prompt of `prompt_tokens` tokens, ns.
    pub fn latency_objective_for(&self, prompt_tokens: u32) -> f64 {
        self.latency_objective as f64
            + self.latency_objective_per_1000_tokens as f64 * f64::from(prompt_tokens) / 1000.0
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Maximum rate of the tenant's requests over all routers together, requests per second. Above zero.
    pub quota_per_s: f64,
}

/// A field of a replica's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Number of queued requests.
    Queue,
    /// Share of the replica's capacity in use, 0 to 1.
    Utilization,
    /// Prompt tokens yet to prefill, in thousands.
    PrefillBacklogThousands,
    /// Any other field; ignored.
    Other,
}

/// Settings of the decisions, fixed when a router starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Index of this router among all routers.
    pub own_index: PeerId,
    /// Number of routers.
    pub router_count: u32,
    /// Zone of this router.
    pub zone: ZoneId,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Digest of the tenants' names and order. A peer's reports count only if its digest is the same.
    pub tenants_digest: TenantsDigest,
    /// Request classes; at least one.
    pub classes: Vec<Class>,
    /// Maximum number of attempts per request; at least one.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub concurrent_attempts: bool,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether messages can be sent to peers.
    pub has_peers: bool,
    /// Whether health checks can be sent to replicas.
    pub can_probe: bool,
    /// Maximum Retry-After; clients ignore longer ones.
    pub max_retry_after: Nanos,
    /// How updates of the endpoint list arrive.
    pub list_mode: EndpointListMode,
    /// Time after the notification of a drain in which requests may still be sent to the replica.
    pub drain_grace: Nanos,
    /// Fields of a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// Minimum capacity of a replica at its start, as a share of its full capacity, 0 to 1.
    pub initial_capacity_share: f64,
    /// Time after its start at which a replica has its full capacity.
    pub warm_up_time: Nanos,
    /// Duration of an overload after which a warming replica fails.
    pub overload_window: Nanos,
    /// Load above which a warming replica is overloaded, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Cost of crossing zones, as a share of a request's priority weight.
    pub cross_zone_cost: f64,
    /// Time after which replicas close an idle connection.
    pub idle_timeout: Nanos,
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting, in the order of the checks.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self
            .tenants
            .iter()
            .any(|tenant| !is_finite_non_negative(tenant.quota_per_s) || tenant.quota_per_s == 0.0)
        {
            return Err(SettingsError::InvalidNumber("quota_per_s"));
        }
        if !is_finite_non_negative(self.overload_multiple) {
            return Err(SettingsError::InvalidNumber("fall_multiple"));
        }
        if self.classes.iter().any(|class| class.latency_objective == 0) {
            return Err(SettingsError::InvalidNumber("aim"));
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::InvalidNumber("try_limit"));
        }
        for (value, name) in
            [(self.initial_capacity_share, "cold_share"), (self.cross_zone_cost, "cross_zone_price")]
        {
            if !is_finite_non_negative(value) {
                return Err(SettingsError::InvalidNumber(name));
            }
        }
        if self.router_count == 0 || self.own_index.0 >= self.router_count {
            return Err(SettingsError::InvalidRouterIndex);
        }
        Ok(())
    }
}

/// Returns whether a value is finite and not negative.
pub(crate) fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Why [`Settings`] are invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no request class.
    NoClasses,
    /// The named setting is missing, negative, not finite, or zero although it must be positive.
    InvalidNumber(&'static str),
    /// The index of this router is not below the number of routers.
    InvalidRouterIndex,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings: at least one request class is required"),
            SettingsError::InvalidNumber(name) => {
                write!(f, "setting {name}: missing, or not a number in its valid range")
            }
            SettingsError::InvalidRouterIndex => write!(f, "setting me: must be below the number of routers"),
        }
    }
}

impl std::error::Error for SettingsError {}
