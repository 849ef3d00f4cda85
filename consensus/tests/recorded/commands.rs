//! A script of commands, and judgements of the release monitor between them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde_json::{from_value, json, Value as Json};
use tallypin_consensus::fleet_state::{Command, CouncilView, DrainLimits, FleetState};
use tallypin_consensus::release_monitor::{AnswerCounts, ReleaseMonitor, RouterReport};
use tallypin_consensus::replica_drains::{Limit, ReplicaLimits, ReplicaView};

use crate::record::{compare, json, parse, read, round_trip, variant};

const NANOS_PER_MS: u64 = 1_000_000;

fn limit(of: &Json) -> Limit {
    let text = of.as_str().expect("a text");
    let number = text.trim_end_matches('%').parse().expect("a number");
    match text.ends_with('%') {
        true => Limit::Percent(number),
        false => Limit::Count(number),
    }
}

fn limits(of: &Json) -> DrainLimits {
    let field = |name: &str| of[name].clone();
    DrainLimits {
        names: from_value(field("names")).expect("names"),
        zones: from_value(field("zones")).expect("zones"),
        total: from_value(field("all")).expect("all"),
        per_zone: from_value(field("zone")).expect("zone"),
        council: from_value(field("council")).expect("council"),
        replicas: of["nodes"].as_object().map(|nodes| ReplicaLimits {
            total: limit(&nodes["all"]),
            per_zone: limit(&nodes["zone"]),
            per_kind: limit(&nodes["kind"]),
        }),
    }
}

fn view(of: &Json) -> CouncilView {
    type Listed = BTreeMap<String, (String, String, bool)>;
    let listed: Option<Listed> = from_value(of["nodes"].clone()).expect("nodes");
    let replica = |(id, (zone, kind, out_of_service))| (id, ReplicaView { zone, kind, out_of_service });
    CouncilView {
        informed_members: from_value(of["knowing"].clone()).expect("knowing"),
        majority: from_value(of["wanted"].clone()).expect("wanted"),
        out_of_service: from_value(of["out"].clone()).expect("out"),
        replicas: listed.map(|listed| listed.into_iter().map(replica).collect()),
        unix_ms: from_value(of["now_ms"].clone()).expect("now_ms"),
    }
}

fn start(name: &str) -> FleetState {
    let known =
        || FleetState { version: 41, recent_orders: ["o".to_string()].into(), ..FleetState::default() };
    match name {
        "running" => FleetState::default(),
        "first" => FleetState::bootstrap(None),
        "first-of-known" => FleetState::bootstrap(Some(&known())),
        "first-of-first" => FleetState::bootstrap(Some(&FleetState::bootstrap(None))),
        "last-version" => FleetState { version: u64::MAX - 2, ..FleetState::default() },
        other => panic!("no start {other}"),
    }
}

/// The state of the script.
struct Script {
    state: FleetState,
    limits: DrainLimits,
    view: CouncilView,
    monitor: ReleaseMonitor,
    rejections: BTreeSet<String>,
    transcript: String,
}

impl Script {
    fn command(&mut self, text: &str) {
        let command: Command = parse(text);
        let result = match self.state.apply(&command, &self.limits, &self.view) {
            Ok(state) => {
                self.state = state;
                "ok".to_string()
            }
            Err(rejection) => {
                let rejection = round_trip(&rejection);
                self.rejections.insert(variant(&rejection));
                rejection
            }
        };
        let (command, state) = (round_trip(&command), round_trip(&self.state));
        let out = self.state.out_of_service(&self.view);
        writeln!(self.transcript, "{command}\n= {result}\n{state}\nout {out:?}").expect("text");
    }

    fn monitor(&mut self, text: &str) {
        let of: Json = parse(text);
        let reports: Vec<Option<RouterReport>> = of["heard"]
            .as_array()
            .expect("a list")
            .iter()
            .map(|one| {
                let counts: AnswerCounts = from_value(one.get("counts")?.clone()).expect("counts");
                Some(RouterReport { incarnation: one["life"].as_u64().expect("a life"), counts })
            })
            .collect();
        let now = of["now_ms"].as_u64().expect("a time") * NANOS_PER_MS;
        let command = self.monitor.next_command(now, &self.state, &self.limits, &reports);
        writeln!(self.transcript, "watch {text}\n= {}", json(&command)).expect("text");
    }

    /// Records only the last of many like commands.
    fn repeat(&mut self, text: &str) {
        let (times, command) = text.split_once(' ').expect("a number and a command");
        let times: usize = times.parse().expect("a number");
        let before = self.transcript.len();
        for k in 0..times {
            self.transcript.truncate(before);
            self.command(&command.replace("{k}", &k.to_string()));
        }
    }

    fn line(&mut self, line: &str) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "section" => {
                self.monitor = ReleaseMonitor::default();
                writeln!(self.transcript, "# {rest}").expect("text");
            }
            "start" => {
                self.state = start(rest);
                writeln!(self.transcript, "start {}", round_trip(&self.state)).expect("text");
            }
            "bounds" => self.limits = limits(&parse(rest)),
            "view" => self.view = view(&parse(rest)),
            "command" => self.command(rest),
            "watch" => self.monitor(rest),
            "repeat" => self.repeat(rest),
            other => panic!("no such line: {other}"),
        }
    }
}

#[test]
fn commands_have_their_recorded_effects() {
    let mut script = Script {
        state: FleetState::default(),
        limits: limits(&json!({"names": [], "zones": [], "all": 0, "zone": 0, "council": []})),
        view: CouncilView::default(),
        monitor: ReleaseMonitor::default(),
        rejections: BTreeSet::new(),
        transcript: String::new(),
    };
    read("script.txt").lines().for_each(|line| script.line(line));
    compare("effects.txt", &script.transcript);
    assert_eq!(script.rejections.len(), 17, "every rejection has been provoked: {:?}", script.rejections);
}
