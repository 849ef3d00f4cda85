//! Validation of a deployment's settings.

use std::collections::BTreeSet;
use std::fmt;

use super::{ClassInfo, Deployment};
use crate::api::{is_finite_non_negative, Class, Tenant};

/// A field with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Path of the field in the object, such as `Profiles[1].GoalTimeNs`.
    pub path: String,
    /// What the field must be.
    pub expected: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: expected {}", self.path, self.expected)
    }
}

impl std::error::Error for InvalidSetting {}

/// Returns an error for the field at `path` unless `valid`.
fn require(valid: bool, path: &str, expected: &'static str) -> Result<(), InvalidSetting> {
    match valid {
        true => Ok(()),
        false => Err(InvalidSetting { path: path.into(), expected }),
    }
}

impl Deployment {
    /// Checks the fields in the order in which they are documented for operators. Unknown fields and unused names are
    /// valid.
    ///
    /// # Errors
    /// Returns an error for the first missing or invalid field.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.validate_classes()?;
        self.validate_tenants()?;
        self.validate_own_position()?;
        let settings = &self.decision_settings;
        require(settings.max_attempts != 0, "Limits.TryLimit", "1 or more")?;
        require((0.0..=1.0).contains(&settings.initial_capacity_share), "Rules.ColdShare", "0 to 1")?;
        require(
            is_finite_non_negative(settings.overload_multiple),
            "Rules.FallMultiple",
            "a number of 0 or more",
        )?;
        require(is_finite_non_negative(settings.cross_zone_cost), "Prices.CrossZone", "a number of 0 or more")
    }

    fn validate_classes(&self) -> Result<(), InvalidSetting> {
        let classes = &self.decision_settings.classes;
        require(!classes.is_empty(), "Profiles", "at least one class")?;
        for (i, (class, info)) in classes.iter().zip(&self.classes).enumerate() {
            validate_class(i, class, info)?;
        }
        validate_unique("Profiles", self.classes.iter().map(|info| info.name.as_str()))
    }

    fn validate_tenants(&self) -> Result<(), InvalidSetting> {
        for (i, (tenant, name)) in self.decision_settings.tenants.iter().zip(&self.tenant_names).enumerate() {
            validate_tenant(i, tenant, name)?;
        }
        validate_unique("Tenants", self.tenant_names.iter().map(String::as_str))
    }

    /// Checks the router's index, the number of routers, and the router's zone.
    fn validate_own_position(&self) -> Result<(), InvalidSetting> {
        let settings = &self.decision_settings;
        require(settings.router_count != 0, "ReplicasOfMe", "1 or more")?;
        require(settings.own_index.0 < settings.router_count, "Me", "a number below ReplicasOfMe")?;
        let zones = self.zones.len().max(1);
        require((settings.zone.0 as usize) < zones, "MyZone", "an index into Zones, counted from 0")
    }
}

fn validate_class(index: usize, class: &Class, info: &ClassInfo) -> Result<(), InvalidSetting> {
    let path = |field: &str| format!("Profiles[{index}].{field}");
    require(!info.name.is_empty(), &path("Name"), "a name")?;
    require(class.latency_objective != 0, &path("GoalTimeNs"), "a time above 0, ns")?;
    require(info.deadline != 0, &path("DeadlineNs"), "a time above 0, ns")?;
    require(is_finite_non_negative(class.priority_weight), &path("Worth"), "a number of 0 or more")?;
    require((0.0..=1.0).contains(&class.late_value_share), &path("LateShare"), "0 to 1")
}

fn validate_tenant(index: usize, tenant: &Tenant, name: &str) -> Result<(), InvalidSetting> {
    let path = |field: &str| format!("Tenants[{index}].{field}");
    require(!name.is_empty(), &path("Name"), "a name")?;
    let quota = is_finite_non_negative(tenant.quota_per_s) && tenant.quota_per_s > 0.0;
    require(quota, &path("QuotaPerS"), "a number of requests per second above 0")
}

/// Returns an error for the first name of a list that occurs in it before.
fn validate_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), InvalidSetting> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        require(seen.insert(name), &format!("{list}[{i}].Name"), "a name that occurs once in the list")?;
    }
    Ok(())
}
