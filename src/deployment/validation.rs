//! Whether a router can go by a deployment's settings.

use std::collections::BTreeSet;
use std::fmt;

use super::{ClassTerms, Deployment};
use crate::api::{usable, Class, Tenant};

/// A field that no router can go by: its path in the object, and what is expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The path, as `Profiles[1].GoalTimeNs`.
    pub path: String,
    /// What the field has to be.
    pub expected: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: wanted: {}", self.path, self.expected)
    }
}

impl std::error::Error for InvalidSetting {}

/// An error about the field at `path` unless `valid`.
fn require(valid: bool, path: &str, expected: &'static str) -> Result<(), InvalidSetting> {
    match valid {
        true => Ok(()),
        false => Err(InvalidSetting { path: path.into(), expected }),
    }
}

impl Deployment {
    /// Checks the fields in the order of the operators' page. Unknown fields, and names that nobody uses, are no fault.
    ///
    /// # Errors
    /// The first field that is missing or that no router can go by.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.validate_classes()?;
        self.validate_tenants()?;
        self.validate_own_position()?;
        let settings = &self.decisions;
        require(settings.max_attempts != 0, "Limits.TryLimit", "1 or more")?;
        require((0.0..=1.0).contains(&settings.initial_capacity_share), "Rules.ColdShare", "0 to 1")?;
        require(usable(settings.overload_multiple), "Rules.FallMultiple", "a number of 0 or more")?;
        require(usable(settings.cross_zone_cost), "Prices.CrossZone", "a number of 0 or more")
    }

    fn validate_classes(&self) -> Result<(), InvalidSetting> {
        let classes = &self.decisions.classes;
        require(!classes.is_empty(), "Profiles", "one class at least")?;
        for (i, (class, terms)) in classes.iter().zip(&self.classes).enumerate() {
            validate_class(i, class, terms)?;
        }
        validate_unique("Profiles", self.classes.iter().map(|terms| terms.name.as_str()))
    }

    fn validate_tenants(&self) -> Result<(), InvalidSetting> {
        for (i, (tenant, name)) in self.decisions.tenants.iter().zip(&self.tenant_names).enumerate() {
            validate_tenant(i, tenant, name)?;
        }
        validate_unique("Tenants", self.tenant_names.iter().map(String::as_str))
    }

    /// Which router and which zone this is, among how many.
    fn validate_own_position(&self) -> Result<(), InvalidSetting> {
        let settings = &self.decisions;
        require(settings.router_count != 0, "ReplicasOfMe", "1 or more")?;
        require(settings.own_index.0 < settings.router_count, "Me", "a number below ReplicasOfMe")?;
        let zones = self.zones.len().max(1);
        require((settings.zone.0 as usize) < zones, "MyZone", "a place in Zones, counted from 0")
    }
}

fn validate_class(index: usize, class: &Class, terms: &ClassTerms) -> Result<(), InvalidSetting> {
    let path = |field: &str| format!("Profiles[{index}].{field}");
    require(!terms.name.is_empty(), &path("Name"), "a name")?;
    require(class.latency_objective != 0, &path("GoalTimeNs"), "a time above 0, ns")?;
    require(terms.deadline != 0, &path("DeadlineNs"), "a time above 0, ns")?;
    require(usable(class.priority_weight), &path("Worth"), "a number of 0 or more")?;
    require((0.0..=1.0).contains(&class.late_value_share), &path("LateShare"), "0 to 1")
}

fn validate_tenant(index: usize, tenant: &Tenant, name: &str) -> Result<(), InvalidSetting> {
    let path = |field: &str| format!("Tenants[{index}].{field}");
    require(!name.is_empty(), &path("Name"), "a name")?;
    let quota = usable(tenant.quota_per_s) && tenant.quota_per_s > 0.0;
    require(quota, &path("QuotaPerS"), "requests a second, above 0")
}

/// An error about the first name of a list that stands in it before.
fn validate_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), InvalidSetting> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        require(seen.insert(name), &format!("{list}[{i}].Name"), "a name of its own")?;
    }
    Ok(())
}
