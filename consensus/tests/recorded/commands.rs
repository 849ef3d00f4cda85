//! Replays a script: commands that are applied to the fleet state, and steps of the release monitor.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde_json::{from_value, json, Value as Json};
use tallypin_consensus::fleet_state::{Command, CouncilView, DrainLimits, FleetState};
use tallypin_consensus::release_monitor::{AnswerCounts, ReleaseMonitor, RouterReport};
use tallypin_consensus::replica_drains::{Limit, ReplicaLimits, ReplicaView};

use crate::record::{compare, json, parse, read, round_trip, variant};

const NANOS_PER_MS: u64 = 1_000_000;

fn parse_limit(json: &Json) -> Limit {
    let text = json.as_str().expect("limit is a string");
    let number = text.trim_end_matches('%').parse().expect("limit has a number");
    match text.ends_with('%') {
        true => Limit::Percent(number),
        false => Limit::Count(number),
    }
}

fn parse_limits(json: &Json) -> DrainLimits {
    let field = |name: &str| json[name].clone();
    DrainLimits {
        names: from_value(field("names")).expect("names"),
        zones: from_value(field("zones")).expect("zones"),
        total: from_value(field("all")).expect("all"),
        per_zone: from_value(field("zone")).expect("zone"),
        council: from_value(field("council")).expect("council"),
        replicas: json["nodes"].as_object().map(|nodes| ReplicaLimits {
            total: parse_limit(&nodes["all"]),
            per_zone: parse_limit(&nodes["zone"]),
            per_kind: parse_limit(&nodes["kind"]),
        }),
    }
}

fn parse_view(json: &Json) -> CouncilView {
    type Listed = BTreeMap<String, (String, String, bool)>;
    let listed: Option<Listed> = from_value(json["nodes"].clone()).expect("nodes");
    let replica = |(id, (zone, kind, out_of_service))| (id, ReplicaView { zone, kind, out_of_service });
    CouncilView {
        informed_members: from_value(json["knowing"].clone()).expect("knowing"),
        majority: from_value(json["wanted"].clone()).expect("wanted"),
        out_of_service: from_value(json["out"].clone()).expect("out"),
        replicas: listed.map(|listed| listed.into_iter().map(replica).collect()),
        unix_ms: from_value(json["now_ms"].clone()).expect("now_ms"),
    }
}

fn start_state(name: &str) -> FleetState {
    let known =
        || FleetState { version: 41, recent_orders: ["o".to_string()].into(), ..FleetState::default() };
    match name {
        "running" => FleetState::default(),
        "first" => FleetState::bootstrap(None),
        "first-of-known" => FleetState::bootstrap(Some(&known())),
        "first-of-first" => FleetState::bootstrap(Some(&FleetState::bootstrap(None))),
        "last-version" => FleetState { version: u64::MAX - 2, ..FleetState::default() },
        other => panic!("unknown start state {other}"),
    }
}

/// State of the replay.
struct Script {
    state: FleetState,
    limits: DrainLimits,
    view: CouncilView,
    monitor: ReleaseMonitor,
    rejections: BTreeSet<String>,
    transcript: String,
}

impl Script {
    fn apply_command(&mut self, text: &str) {
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
        let out_of_service = self.state.out_of_service(&self.view);
        writeln!(self.transcript, "{command}\n= {result}\n{state}\nout {out_of_service:?}")
            .expect("writes to a string");
    }

    fn step_monitor(&mut self, text: &str) {
        let input: Json = parse(text);
        let reports: Vec<Option<RouterReport>> = input["heard"]
            .as_array()
            .expect("`heard` is a list")
            .iter()
            .map(|report| {
                let counts: AnswerCounts = from_value(report.get("counts")?.clone()).expect("counts");
                Some(RouterReport {
                    incarnation: report["life"].as_u64().expect("`life` is a number"),
                    counts,
                })
            })
            .collect();
        let now = input["now_ms"].as_u64().expect("`now_ms` is a number") * NANOS_PER_MS;
        let command = self.monitor.next_command(now, &self.state, &self.limits, &reports);
        writeln!(self.transcript, "watch {text}\n= {}", json(&command)).expect("writes to a string");
    }

    /// Applies a command many times and records only the last result.
    fn repeat(&mut self, text: &str) {
        let (times, command) = text.split_once(' ').expect("a count and a command");
        let times: usize = times.parse().expect("a count");
        let before = self.transcript.len();
        for k in 0..times {
            self.transcript.truncate(before);
            self.apply_command(&command.replace("{k}", &k.to_string()));
        }
    }

    fn run_line(&mut self, line: &str) {
        let (directive, rest) = line.split_once(' ').unwrap_or((line, ""));
        match directive {
            "section" => {
                self.monitor = ReleaseMonitor::default();
                writeln!(self.transcript, "# {rest}").expect("writes to a string");
            }
            "start" => {
                self.state = start_state(rest);
                writeln!(self.transcript, "start {}", round_trip(&self.state)).expect("writes to a string");
            }
            "bounds" => self.limits = parse_limits(&parse(rest)),
            "view" => self.view = parse_view(&parse(rest)),
            "command" => self.apply_command(rest),
            "watch" => self.step_monitor(rest),
            "repeat" => self.repeat(rest),
            other => panic!("unknown line: {other}"),
        }
    }
}

#[test]
fn commands_have_their_recorded_effects() {
    let mut script = Script {
        state: FleetState::default(),
        limits: parse_limits(&json!({"names": [], "zones": [], "all": 0, "zone": 0, "council": []})),
        view: CouncilView::default(),
        monitor: ReleaseMonitor::default(),
        rejections: BTreeSet::new(),
        transcript: String::new(),
    };
    read("script.txt").lines().for_each(|line| script.run_line(line));
    compare("effects.txt", &script.transcript);
    assert_eq!(
        script.rejections.len(),
        17,
        "the script must provoke each kind of rejection: {:?}",
        script.rejections
    );
}
