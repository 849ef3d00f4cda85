//! The settings object of a deployment: what the simulator's first message and a real router's
//! configuration both hold, as JSON. Keys that are not known are skipped; what is absent gets the
//! safe default.

use serde::Deserialize;

use crate::api::*;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Profile {
    name: String,
    goal_time_ns: u64,
    deadline_ns: u64,
    effect: String,
    group: String,
    window_ns: u64,
    worth: f64,
    late_share: f64,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            name: String::new(),
            goal_time_ns: 0,
            deadline_ns: 0,
            effect: "side_effect".into(),
            group: "cell".into(),
            window_ns: 0,
            worth: 1.0,
            // Who states none is not taken to mean that late answers are worth less.
            late_share: 1.0,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct TenantInfo {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancel: bool,
    connect_timeout_ns: u64,
    idle_close_ns: u64,
    max_retry_after_ns: u64,
    most_held: usize,
    parallel_tries: bool,
    peers: bool,
    probes: bool,
    retry_after: bool,
    try_limit: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: false,
            connect_timeout_ns: SECOND / 4,
            idle_close_ns: 5 * SECOND,
            max_retry_after_ns: SECOND,
            most_held: 10_000,
            parallel_tries: false,
            peers: false,
            probes: false,
            retry_after: false,
            try_limit: 1,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    answer_slack_ns: u64,
    cold_ns: u64,
    cold_share: f64,
    fall_multiple: f64,
    fall_ns: u64,
    must_ask_in_ns: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ns: 0,
            cold_ns: 30 * SECOND,
            cold_share: 0.1,
            // Under the 2.5 of the protocol's example: who states none may have less.
            fall_multiple: 2.0,
            fall_ns: 2 * SECOND,
            must_ask_in_ns: 10 * SECOND,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    #[serde(rename = "AimUsPer1000PromptTokens")]
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    token_aim_ns: Vec<u64>,
    resume: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ReportInfo {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Object {
    discovery: String,
    family_info: FamilyInfo,
    kinds: Vec<String>,
    limits: Limits,
    me: u32,
    my_zone: u32,
    prices: Prices,
    profiles: Vec<Profile>,
    replicas_of_me: u32,
    report: ReportInfo,
    rules: Rules,
    tenants: Vec<TenantInfo>,
    zones: Vec<String>,
}

/// A request class as clients name it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// How long its clients wait for a first token at the most.
    pub deadline: Nanos,
}

/// The settings of a deployment: what decisions go by, and what only a router's sockets need.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// What the decision module is told.
    pub decisions: Settings,
    /// The classes, in the order of [`Settings::classes`].
    pub classes: Vec<ClassTerms>,
    /// The partners' names, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of kinds of machines.
    pub kinds: Vec<String>,
    /// The names of the values in a load report, in the order of [`Settings::report`].
    pub report_field_names: Vec<String>,
    /// A connection that is not up by then counts as refused.
    pub connect_timeout: Nanos,
    /// Model nodes close a connection idle for so long.
    pub replica_idle_timeout: Nanos,
    /// The most open requests.
    pub max_in_flight: usize,
    /// So long after a client's deadline a final answer still counts.
    pub deadline_slack: Nanos,
    /// Clients whose stream broke come back for the rest.
    pub resumes_streams: bool,
}

/// What is wrong with the object: the path to the field, and why.
pub type ParseError = serde_path_to_error::Error<serde_json::Error>;

/// Reads the object.
pub fn parse(text: &str) -> Result<Deployment, ParseError> {
    let d: Object = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    let class = |(i, p): (usize, &Profile)| {
        let effect = match p.effect.as_str() {
            "pure" => Effect::Idempotent,
            "token" => {
                let group = match p.group.as_str() {
                    "all" => DeduplicationScope::AllReplicas,
                    "zone" => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                };
                Effect::IdempotentByKey { scope: group, window: p.window_ns }
            }
            _ => Effect::NotIdempotent,
        };
        let per_1000 = d.family_info.aim_us_per_1000_prompt_tokens.get(i).copied().unwrap_or(0.0);
        Class {
            latency_objective: p.goal_time_ns,
            latency_objective_per_1000_tokens: (per_1000.max(0.0) * 1000.0) as Nanos,
            token_interval_objective: d.family_info.token_aim_ns.get(i).copied().unwrap_or(0),
            effect,
            priority_weight: p.worth,
            late_value_share: p.late_share,
        }
    };
    let field = |name: &String| match name.as_str() {
        "q" => LoadField::Queue,
        "busy" => LoadField::Utilization,
        "x1" => LoadField::PrefillBacklogThousands,
        _ => LoadField::Other,
    };
    let decisions = Settings {
        own_index: PeerId(d.me),
        router_count: d.replicas_of_me,
        zone: ZoneId(d.my_zone),
        tenants: d.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        digest: TenantsDigest::of_tenants(d.tenants.iter().map(|t| t.name.as_str())),
        classes: d.profiles.iter().enumerate().map(class).collect(),
        max_attempts: d.limits.try_limit,
        concurrent_attempts: d.limits.parallel_tries,
        can_cancel: d.limits.cancel,
        has_peers: d.limits.peers,
        can_probe: d.limits.probes,
        max_retry_after: if d.limits.retry_after { d.limits.max_retry_after_ns } else { 0 },
        list_mode: match d.discovery.as_str() {
            "on_request" => EndpointListMode::Polled { max_poll_interval: d.rules.must_ask_in_ns },
            _ => EndpointListMode::Pushed,
        },
        report_fields: d.report.fields.iter().map(field).collect(),
        initial_capacity_share: d.rules.cold_share,
        warm_up_time: d.rules.cold_ns,
        overload_window: d.rules.fall_ns,
        overload_multiple: d.rules.fall_multiple,
        cross_zone_cost: d.prices.cross_zone,
        idle_timeout: d.limits.idle_close_ns,
    };
    let class = |p: Profile| ClassTerms { name: p.name, deadline: p.deadline_ns };
    Ok(Deployment {
        decisions,
        classes: d.profiles.into_iter().map(class).collect(),
        tenant_names: d.tenants.into_iter().map(|t| t.name).collect(),
        zones: d.zones,
        kinds: d.kinds,
        report_field_names: d.report.fields,
        connect_timeout: d.limits.connect_timeout_ns,
        replica_idle_timeout: d.limits.idle_close_ns,
        max_in_flight: d.limits.most_held,
        deadline_slack: d.rules.answer_slack_ns,
        resumes_streams: d.family_info.resume,
    })
}

/// A field that no gateway can go by: its path in the object, and what is wanted there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The path, as `Profiles[1].GoalTimeNs`.
    pub path: String,
    /// What it has to be.
    pub expected: &'static str,
}

impl Deployment {
    /// The first field that is missing or that no gateway can go by, in the order of the page. Unknown fields, and names
    /// that nobody uses, are no fault.
    pub fn first_invalid(&self) -> Option<InvalidSetting> {
        let set = &self.decisions;
        let twice = |names: &mut dyn Iterator<Item = &str>| {
            let mut seen = std::collections::BTreeSet::new();
            names.enumerate().find(|(_, name)| !seen.insert(*name)).map(|(i, _)| i)
        };
        let fault =
            |wrong: bool, path: &str, expected| wrong.then(|| InvalidSetting { path: path.into(), expected });
        let class = |(i, (c, name)): (usize, (&Class, &ClassTerms))| {
            let at = |field: &str| format!("Profiles[{i}].{field}");
            fault(name.name.is_empty(), &at("Name"), "a name")
                .or(fault(c.latency_objective == 0, &at("GoalTimeNs"), "a time above 0, ns"))
                .or(fault(name.deadline == 0, &at("DeadlineNs"), "a time above 0, ns"))
                .or(fault(!usable(c.priority_weight), &at("Worth"), "a number of 0 or more"))
                .or(fault(!(0.0..=1.0).contains(&c.late_value_share), &at("LateShare"), "0 to 1"))
        };
        let tenant = |(i, (t, name)): (usize, (&Tenant, &String))| {
            let at = |field: &str| format!("Tenants[{i}].{field}");
            let quota = usable(t.quota_per_s) && t.quota_per_s > 0.0;
            fault(name.is_empty(), &at("Name"), "a name").or(fault(
                !quota,
                &at("QuotaPerS"),
                "requests a second, above 0",
            ))
        };
        let pairs = set.classes.iter().zip(&self.classes);
        fault(set.classes.is_empty(), "Profiles", "one class at least")
            .or_else(|| pairs.enumerate().find_map(class))
            .or_else(|| {
                let i = twice(&mut self.classes.iter().map(|c| &*c.name))?;
                fault(true, &format!("Profiles[{i}].Name"), "a name of its own")
            })
            .or_else(|| set.tenants.iter().zip(&self.tenant_names).enumerate().find_map(tenant))
            .or_else(|| {
                let i = twice(&mut self.tenant_names.iter().map(|p| &**p))?;
                fault(true, &format!("Tenants[{i}].Name"), "a name of its own")
            })
            .or(fault(set.router_count == 0, "ReplicasOfMe", "1 or more"))
            .or(fault(set.own_index.0 >= set.router_count, "Me", "a number below ReplicasOfMe"))
            .or(fault(
                set.zone.0 as usize >= self.zones.len().max(1),
                "MyZone",
                "a place in Zones, counted from 0",
            ))
            .or(fault(set.max_attempts == 0, "Limits.TryLimit", "1 or more"))
            .or(fault(!(0.0..=1.0).contains(&set.initial_capacity_share), "Rules.ColdShare", "0 to 1"))
            .or(fault(!usable(set.overload_multiple), "Rules.FallMultiple", "a number of 0 or more"))
            .or(fault(!usable(set.cross_zone_cost), "Prices.CrossZone", "a number of 0 or more"))
    }
}
