//! The settings that a router decides by, given once at its start.

use std::fmt;

use super::endpoint::EndpointListMode;
use super::ids::{Nanos, PeerId, ZoneId};
use crate::effect::Effect;
use crate::served_report::TenantsDigest;

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// A first token within this time has its full value.
    pub latency_objective: Nanos,
    /// Added to that for every 1,000 tokens of the prompt.
    pub latency_objective_per_1000_tokens: Nanos,
    /// The objective for the time between two tokens; 0 if none is stated.
    pub token_interval_objective: Nanos,
    /// What repeating a request does.
    pub effect: Effect,
    /// What one request is worth against others, in any unit common to all classes.
    pub priority_weight: f64,
    /// The part of it that an answer after the latency objective has, 0 to 1.
    pub late_value_share: f64,
}

impl Class {
    /// The latency objective for a prompt of so many tokens, ns.
    pub fn latency_objective_for(&self, prompt_tokens: u32) -> f64 {
        self.latency_objective as f64
            + self.latency_objective_per_1000_tokens as f64 * f64::from(prompt_tokens) / 1000.0
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second that it may have, over all routers together. Above zero.
    pub quota_per_s: f64,
}

/// A value in a replica's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests queued.
    Queue,
    /// Share of the replica's capacity in use, 0 to 1.
    Utilization,
    /// Thousands of prompt tokens that it has yet to read.
    PrefillBacklogThousands,
    /// Anything else: skipped.
    Other,
}

/// What a router decides by, given once at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This router's index among the routers.
    pub own_index: PeerId,
    /// How many routers there are.
    pub router_count: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Stands for what their numbers mean: a peer's reports count only where it is the same.
    pub digest: TenantsDigest,
    /// The classes; at least one.
    pub classes: Vec<Class>,
    /// The most attempts for a request. At least one.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub concurrent_attempts: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Messages to peers are possible.
    pub has_peers: bool,
    /// Health checks are possible.
    pub can_probe: bool,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Nanos,
    /// How the endpoint list comes.
    pub list_mode: EndpointListMode,
    /// The values of a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// A replica starts at this share of its capacity or more, 0 to 1.
    pub initial_capacity_share: f64,
    /// It is warm after this time.
    pub warm_up_time: Nanos,
    /// A warming replica that is overloaded for this time fails.
    pub overload_window: Nanos,
    /// Overloaded: sent more than so many times what it can do then.
    pub overload_multiple: f64,
    /// What crossing zones costs, as a share of a request's priority weight.
    pub cross_zone_cost: f64,
    /// An idle connection to a replica is closed after this.
    pub idle_timeout: Nanos,
}

impl Settings {
    /// Whether a router can decide by these.
    ///
    /// # Errors
    ///
    /// The first setting, in the order of the checks, that nothing can be decided by.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.tenants.iter().any(|tenant| !usable(tenant.quota_per_s) || tenant.quota_per_s == 0.0) {
            return Err(SettingsError::BadNumber("quota_per_s"));
        }
        if !usable(self.overload_multiple) {
            return Err(SettingsError::BadNumber("fall_multiple"));
        }
        if self.classes.iter().any(|class| class.latency_objective == 0) {
            return Err(SettingsError::BadNumber("aim"));
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::BadNumber("try_limit"));
        }
        for (value, name) in
            [(self.initial_capacity_share, "cold_share"), (self.cross_zone_cost, "cross_zone_price")]
        {
            if !usable(value) {
                return Err(SettingsError::BadNumber(name));
            }
        }
        if self.router_count == 0 || self.own_index.0 >= self.router_count {
            return Err(SettingsError::InvalidRouterIndex);
        }
        Ok(())
    }
}

/// Whether a number can be one of the settings.
pub(crate) fn usable(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// What is wrong with [`Settings`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// A number is missing, zero where it must not be, negative or not finite. Names the setting.
    BadNumber(&'static str),
    /// This router's index is not below the number of routers.
    InvalidRouterIndex,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "no class of requests"),
            SettingsError::BadNumber(name) => write!(f, "{name}: not a usable number"),
            SettingsError::InvalidRouterIndex => write!(f, "me: not among the routers"),
        }
    }
}

impl std::error::Error for SettingsError {}
