//! The JSON object as written, its defaults, and its conversion to settings. The names of fields and values are
//! documented for operators and must not change.

use serde::Deserialize;

use super::{ClassInfo, Deployment};
use crate::api::{
    Class, DeduplicationScope, Effect, EndpointListMode, LoadField, Nanos, PeerId, Settings, Tenant,
    TenantsDigest, ZoneId, SECOND,
};

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: f64 = 1000.0;

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
            // Without a stated share, late answers keep their full value.
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
    drain_grace_ns: u64,
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
            drain_grace_ns: 0,
            // Below the protocol's example of 2.5, as a deployment that states no multiple may have a lower one.
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

/// The JSON object.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Document {
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

impl From<Document> for Deployment {
    fn from(document: Document) -> Self {
        let decision_settings = document.decision_settings();
        let class = |profile: Profile| ClassInfo { name: profile.name, deadline: profile.deadline_ns };
        Deployment {
            decision_settings,
            classes: document.profiles.into_iter().map(class).collect(),
            tenant_names: document.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: document.zones,
            kinds: document.kinds,
            report_field_names: document.report.fields,
            connect_timeout: document.limits.connect_timeout_ns,
            replica_idle_timeout: document.limits.idle_close_ns,
            max_in_flight: document.limits.most_held,
            deadline_slack: document.rules.answer_slack_ns,
            resumes_streams: document.family_info.resume,
        }
    }
}

impl Document {
    fn decision_settings(&self) -> Settings {
        let (limits, rules) = (&self.limits, &self.rules);
        Settings {
            own_index: PeerId(self.me),
            router_count: self.replicas_of_me,
            zone: ZoneId(self.my_zone),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            tenants_digest: TenantsDigest::from_names(self.tenants.iter().map(|tenant| tenant.name.as_str())),
            classes: self.profiles.iter().enumerate().map(|(i, profile)| self.class(i, profile)).collect(),
            max_attempts: limits.try_limit,
            concurrent_attempts: limits.parallel_tries,
            can_cancel: limits.cancel,
            has_peers: limits.peers,
            can_probe: limits.probes,
            max_retry_after: if limits.retry_after { limits.max_retry_after_ns } else { 0 },
            list_mode: match self.discovery.as_str() {
                "on_request" => EndpointListMode::Polled { max_poll_interval: rules.must_ask_in_ns },
                _ => EndpointListMode::Pushed,
            },
            drain_grace: rules.drain_grace_ns,
            report_fields: self.report.fields.iter().map(|name| load_field(name)).collect(),
            initial_capacity_share: rules.cold_share,
            warm_up_time: rules.cold_ns,
            overload_window: rules.fall_ns,
            overload_multiple: rules.fall_multiple,
            cross_zone_cost: self.prices.cross_zone,
            idle_timeout: limits.idle_close_ns,
        }
    }

    /// Returns the class at `index`, whose token objectives are in separate lists.
    fn class(&self, index: usize, profile: &Profile) -> Class {
        let family = &self.family_info;
        let micros_per_1000_tokens = family.aim_us_per_1000_prompt_tokens.get(index).copied().unwrap_or(0.0);
        Class {
            latency_objective: profile.goal_time_ns,
            latency_objective_per_1000_tokens: (micros_per_1000_tokens.max(0.0) * NANOS_PER_MICRO) as Nanos,
            token_interval_objective: family.token_aim_ns.get(index).copied().unwrap_or(0),
            effect: profile.parse_effect(),
            priority_weight: profile.worth,
            late_value_share: profile.late_share,
        }
    }
}

impl Profile {
    /// Parses the document's word for what a repeat of a request does.
    fn parse_effect(&self) -> Effect {
        match self.effect.as_str() {
            "pure" => Effect::Idempotent,
            "token" => {
                let scope = match self.group.as_str() {
                    "all" => DeduplicationScope::AllReplicas,
                    "zone" => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                };
                Effect::IdempotentByKey { scope, window: self.window_ns }
            }
            _ => Effect::NotIdempotent,
        }
    }
}

fn load_field(name: &str) -> LoadField {
    match name {
        "q" => LoadField::Queue,
        "busy" => LoadField::Utilization,
        "x1" => LoadField::PrefillBacklogThousands,
        _ => LoadField::Other,
    }
}
