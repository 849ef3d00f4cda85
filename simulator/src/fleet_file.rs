//! Fleet files: plans in the syntax of the settings file. All problems of a file are reported at once, each with file, line and
//! column.

use crate::engine::NodeKind;
use crate::world::Plan;
use std::io;
use std::path::Path;
use tallypin::api::{Class, Effect, Tenant};
use tallypin_settings_schema::{
    check, closest_match, load, Checked, Directive, Kind, LoadLimits, Problem, Problems, Section, Value,
};

const DAY_MS: u64 = 86_400_000;
const TIME: &[Kind] = &[Kind::Duration(1, DAY_MS)];
const TIME_OR_0: &[Kind] = &[Kind::Duration(0, DAY_MS)];
const SHARE: &[Kind] = &[Kind::Percent(0.0, 100.0)];
const TOKENS: &[Kind] = &[Kind::Count(1, 1_000_000)];

const FLEET: Section = Section {
    name: "fleet",
    always_present: true,
    about: "how many, and what lies between them",
    directives: &[
        Directive::required("nodes", &[Kind::Count(1, 20_000)], "model nodes at the start"),
        Directive::with("routers", &[Kind::Count(1, 1_000)], &["2"], "routers"),
        Directive::with("latency", TIME_OR_0, &["500us"], "from a router to a node, each way"),
        Directive::with("list-late", TIME_OR_0, &["2s"], "the node list is so late"),
        Directive::with("peer-latency", TIME_OR_0, &["4ms"], "a message between routers takes so long"),
        Directive::with("peer-loss", SHARE, &["1%"], "and so many are lost"),
        Directive::with(
            "cold-share",
            &[Kind::Percent(1.0, 100.0)],
            &["15%"],
            "of its speed a node starts with",
        ),
        Directive::with("cold", TIME, &["23s"], "and is warm after"),
    ],
    sections: &[],
};

/// Values of the node kinds. Each directive has the kind's name as its first value.
const KINDS: Section = Section {
    name: "kinds",
    always_present: true,
    about: "kinds of model nodes; each line names one",
    directives: &[
        Directive::optional(
            "kind",
            &[Kind::Text, Kind::Count(1, 1_000)],
            "a kind, and its part of the fleet",
        )
        .many(),
        Directive::optional("slots", &[Kind::Text, Kind::Count(1, 4_096)], "requests in a batch").many(),
        Directive::optional("queue", &[Kind::Text, Kind::Count(0, 65_536)], "requests that may wait").many(),
        Directive::optional("memory", &[Kind::Text, Kind::Count(1_000, 100_000_000)], "tokens").many(),
        Directive::optional("block", &[Kind::Text, Kind::Count(1, 1_024)], "tokens kept or given up at once")
            .many(),
        Directive::optional("chunk", &[Kind::Text, Kind::Count(1, 65_536)], "prompt tokens read in a step")
            .many(),
        Directive::optional("step", &[Kind::Text, Kind::Duration(0, 10_000)], "a step by itself").many(),
        Directive::optional(
            "per-request",
            &[Kind::Text, Kind::Duration(0, 1_000)],
            "each running request adds",
        )
        .many(),
        Directive::optional(
            "per-1000-context",
            &[Kind::Text, Kind::Duration(0, 1_000)],
            "1,000 tokens of context add",
        )
        .many(),
        Directive::optional(
            "read",
            &[Kind::Text, Kind::Count(10, 10_000_000)],
            "prompt tokens read a second",
        )
        .many(),
        Directive::optional("keeps-answers", &[Kind::Text, Kind::Switch], "complete answers are kept, too")
            .many(),
        Directive::optional(
            "crowded",
            &[Kind::Text, Kind::Percent(1.0, 100.0)],
            "slower beyond this share of room",
        )
        .many(),
    ],
    sections: &[],
};

const LOAD: Section = Section {
    name: "load",
    always_present: true,
    about: "what clients ask for",
    directives: &[
        Directive::required("rate", &[Kind::Count(1, 1_000_000)], "requests a second"),
        Directive::with("length", TIME, &["60s"], "for so long they come"),
        Directive::required("sessions", &[Kind::Count(1, 10_000_000)], "sessions at once"),
        Directive::with("prefixes", &[Kind::Count(1, 1_000_000)], &["100"], "shared beginnings"),
        Directive::with("prefix-tokens", TOKENS, &["2000"], "tokens of one"),
        Directive::with("turn-tokens", TOKENS, &["300"], "median of what a turn adds"),
        Directive::with("answer-tokens", TOKENS, &["120"], "median of an answer"),
        Directive::with("most-prompt", TOKENS, &["8000"], "a longer session begins anew"),
    ],
    sections: &[],
};

const PARTNERS: Section = Section {
    name: "partners",
    always_present: true,
    about: "whose requests they are; without any there are no shares",
    directives: &[Directive::optional(
        "partner",
        &[Kind::Text, Kind::Count(1, 1_000_000)],
        "its share, requests a second",
    )
    .many()],
    sections: &[],
};

const CLASSES: Section = Section {
    name: "classes",
    always_present: true,
    about: "classes of requests",
    directives: &[
        Directive::optional(
            "class",
            &[Kind::Text, Kind::Duration(1, DAY_MS), Kind::Duration(1, DAY_MS)],
            "the aim for its first token, and when its client gives up",
        )
        .many(),
        Directive::with("per-1000-tokens", TIME_OR_0, &["45ms"], "of a prompt add so much to the aim"),
        Directive::with("token-aim", TIME, &["80ms"], "the wanted gap between tokens"),
    ],
    sections: &[],
};

const TROUBLES: Section = Section {
    name: "troubles",
    always_present: true,
    about: "what goes wrong",
    directives: &[
        Directive::optional(
            "deploy",
            &[Kind::Duration(0, DAY_MS), Kind::Duration(0, DAY_MS), Kind::Percent(0.0, 100.0)],
            "from, to, share of the nodes replaced",
        ),
        Directive::with("drain", TIME, &["4s"], "a node that is replaced drains for so long"),
        Directive::optional(
            "slow",
            &[
                Kind::Duration(0, DAY_MS),
                Kind::Duration(0, DAY_MS),
                Kind::Percent(0.0, 100.0),
                Kind::Count(1, 1_000),
            ],
            "from, to, share of the nodes, times as slow",
        ),
    ],
    sections: &[],
};

static FILE: Section = Section {
    name: "",
    always_present: true,
    about: "",
    directives: &[],
    sections: &[FLEET, KINDS, LOAD, PARTNERS, CLASSES, TROUBLES],
};

/// Reads a fleet file and the files that it includes.
pub fn read(path: &Path, seed: u64) -> Result<Plan, Problems> {
    read_with(path, seed, &|path| std::fs::read_to_string(path))
}

/// Reads a fleet file and its includes with the function `read_file`.
pub fn read_with(
    path: &Path,
    seed: u64,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
) -> Result<Plan, Problems> {
    let (tree, sources, mut problems) = load(path, LoadLimits::default(), read_file);
    let checked = check(&tree, &FILE, &mut problems);
    let plan = build_plan(&checked, seed, &mut problems);
    match plan.filter(|_| problems.is_empty()) {
        Some(plan) => Ok(plan),
        None => Err(Problems::new(sources, problems)),
    }
}

fn ns(value: Option<&Value>) -> u64 {
    match value {
        Some(Value::Duration(d)) => d.as_nanos() as u64,
        _ => 0,
    }
}

fn number(value: Option<&Value>) -> u64 {
    match value {
        Some(Value::Count(n)) => *n,
        _ => 0,
    }
}

fn share(value: Option<&Value>) -> f64 {
    match value {
        Some(Value::Percent(p)) => p / 100.0,
        _ => 0.0,
    }
}

/// Builds the plan. Returns `None` only if a section is missing, which the check has reported.
fn build_plan(file: &Checked, seed: u64, problems: &mut Vec<Problem>) -> Option<Plan> {
    let (fleet, load) = (file.subsection("fleet")?, file.subsection("load")?);
    let (partners, classes) = (file.subsection("partners")?, file.subsection("classes")?);
    let faults = file.subsection("troubles")?;
    let time = |s: &Checked, name: &str| s.duration(name).as_nanos() as u64;
    let duration = time(load, "length");
    let mut period = |name: &str| {
        let entry = faults.entry(name)?;
        let (from, to) = (ns(entry.values.first()), ns(entry.values.get(1)));
        if from >= to || to > duration {
            let what = format!("`{name}` must end after it begins and within the length of the load");
            problems.push(Problem::new(entry.span_of(2), what));
        }
        Some((from, to, share(entry.values.get(2)), number(entry.values.get(3)) as f64))
    };
    let (deploy, slow_period) = (period("deploy"), period("slow"));
    let kinds = read_kinds(file.subsection("kinds")?, problems);
    let mut class = |e: &tallypin_settings_schema::Entry| {
        let (objective, deadline) = (ns(e.values.get(1)), ns(e.values.get(2)));
        if deadline < objective {
            problems.push(Problem::new(e.span_of(3), "a client gives up before the aim"));
        }
        let per_1000 = time(classes, "per-1000-tokens");
        let token_interval = time(classes, "token-aim");
        (
            Class {
                latency_objective: objective,
                latency_objective_per_1000_tokens: per_1000,
                token_interval_objective: token_interval,
                effect: Effect::Idempotent,
                priority_weight: 1.0,
                late_value_share: 0.0,
            },
            deadline,
        )
    };
    let (request_classes, deadlines): (Vec<Class>, Vec<u64>) =
        classes.entries_of("class").map(&mut class).unzip();
    if request_classes.is_empty() {
        problems.push(Problem::new(classes.span, "section `classes` lacks `class`"));
    }
    let quota = |e: &tallypin_settings_schema::Entry| Tenant { quota_per_s: number(e.values.get(1)) as f64 };
    Some(Plan {
        seed,
        routers: fleet.number("routers") as u32,
        nodes: fleet.number("nodes") as u32,
        kinds,
        tenants: partners.entries_of("partner").map(quota).collect(),
        classes: request_classes,
        deadlines,
        rate_per_s: load.number("rate") as f64,
        duration,
        sessions: load.number("sessions") as u32,
        prefixes: load.number("prefixes") as u32,
        prefix_tokens: load.number("prefix-tokens") as u32,
        median_turn_tokens: load.number("turn-tokens") as f64,
        median_answer_tokens: load.number("answer-tokens") as f64,
        max_prompt_tokens: load.number("most-prompt") as u32,
        latency: time(fleet, "latency"),
        list_delay: time(fleet, "list-late"),
        peer_latency: time(fleet, "peer-latency"),
        peer_loss: fleet.share("peer-loss"),
        initial_speed_share: fleet.share("cold-share"),
        warm_up_time: time(fleet, "cold"),
        deploy: deploy.map(|(from, to, share, _)| (from, to, share)),
        drain_time: time(faults, "drain"),
        slow_period,
    })
}

/// Reads the node kinds and repeats each according to its part of the fleet, evenly interleaved.
fn read_kinds(section: &Checked, problems: &mut Vec<Problem>) -> Vec<NodeKind> {
    let names: Vec<&str> = section.entries_of("kind").map(|e| e.text(0)).collect();
    if names.is_empty() {
        problems.push(Problem::new(section.span, "section `kinds` lacks `kind`"));
    }
    for entry in section.entries.iter().filter(|e| !names.contains(&e.text(0))) {
        let what = format!("no kind of node is named `{}`", entry.text(0));
        let mut problem = Problem::new(entry.span_of(1), what);
        problem.help =
            closest_match(entry.text(0), names.iter().copied()).map(|near| format!("did you mean `{near}`?"));
        problems.push(problem);
    }
    let defaults = crate::plans::default_kind();
    let mut parts: Vec<(u64, NodeKind)> = Vec::new();
    for kind in section.entries_of("kind") {
        let value = |name: &str| {
            section.entries_of(name).find(|e| e.text(0) == kind.text(0)).and_then(|e| e.values.get(1))
        };
        let count = |name: &str, default: u64| value(name).map_or(default, |v| number(Some(v)));
        let time = |name: &str, default: f64| value(name).map_or(default, |v| ns(Some(v)) as f64);
        let node = NodeKind {
            max_batch_size: count("slots", u64::from(defaults.max_batch_size)) as u32,
            max_waiting: count("queue", u64::from(defaults.max_waiting)) as u32,
            memory_tokens: count("memory", defaults.memory_tokens),
            block_tokens: count("block", u64::from(defaults.block_tokens)) as u32,
            prefill_chunk_tokens: count("chunk", u64::from(defaults.prefill_chunk_tokens)) as u32,
            step_base_ns: time("step", defaults.step_base_ns),
            per_request_ns: time("per-request", defaults.per_request_ns),
            per_context_token_ns: time("per-1000-context", defaults.per_context_token_ns * 1e3) / 1e3,
            per_prefill_token_ns: value("read")
                .map_or(defaults.per_prefill_token_ns, |v| 1e9 / number(Some(v)).max(1) as f64),
            caches_answers: value("keeps-answers")
                .map_or(defaults.caches_answers, |v| *v == Value::Switch(true)),
            crowding_threshold: value("crowded").map_or(defaults.crowding_threshold, |v| share(Some(v))),
        };
        if node.step_base_ns + node.per_request_ns + node.per_prefill_token_ns < 1_000.0 {
            problems
                .push(Problem::new(kind.span_of(1), "its steps take no time: nodes would answer at once"));
        }
        parts.push((number(kind.values.get(1)), node));
    }
    interleave(&parts)
}

/// Repeats each kind according to its part, evenly interleaved: the next kind is the one furthest behind its part.
fn interleave(parts: &[(u64, NodeKind)]) -> Vec<NodeKind> {
    let total: u64 = parts.iter().map(|p| p.0).sum();
    let mut placed = vec![0u64; parts.len()];
    let mut kinds = Vec::new();
    for n in 1..=total {
        let behind = |i: &usize| (parts[*i].0 * n) as i64 - (placed[*i] * total) as i64;
        let Some(next) = (0..parts.len()).max_by_key(behind) else { break };
        placed[next] += 1;
        kinds.push(parts[next].1.clone());
    }
    kinds
}

#[cfg(test)]
mod tests;
