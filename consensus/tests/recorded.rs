//! The forms and the decisions of the agreed document, the register, the leave and the watch, as recorded from the program
//! in use: what routers of two versions send each other, store and decide has to stay byte for byte as it is.
//!
//! `recorded/script.txt` holds the commands, as JSON; the other files hold what came of them. `RECORD=1 cargo test` writes
//! these anew, which is right only for a change that is meant to alter what the program does.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};
use std::path::Path;

use serde::{de::DeserializeOwned, Serialize};
use serde_json::{from_str, from_value, json, to_string, Value as Json};
use tallypin_consensus::drain_lease::{
    halt_is_effective, LeaseHolder, LeaseTiming, LocalPhase, NextStep, SubmitOutcome,
};
use tallypin_consensus::fleet_state::{
    Command, CouncilView, DrainEntry, DrainLimits, DrainStage, FleetState, Rejection, ReleaseOrder,
};
use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember,
    MemberReport, Proposal, Proposer, RegisterValue, RoundStep,
};
use tallypin_consensus::release::ReleasePlan;
use tallypin_consensus::release_monitor::{AnswerCounts, ReleaseMonitor, RouterReport};
use tallypin_consensus::replica_drains::{
    routers_not_clear, AppliedState, Limit, ReplicaLimitExceeded, ReplicaLimits, ReplicaUse, ReplicaView,
};
use tallypin_membership::{AdvertisedStatus, FailureDetector, HeartbeatTiming as BeatFigures, PeerStatus};

fn file(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

fn read(name: &str) -> String {
    std::fs::read_to_string(file(name)).unwrap_or_else(|e| panic!("recorded file {name}: {e}"))
}

/// Fails at the first line that is not as recorded, and when there is no record.
fn compare(name: &str, now: &str) {
    if std::env::var_os("RECORD").is_some_and(|v| v == "1") {
        std::fs::write(file(name), now).unwrap_or_else(|e| panic!("{name}: {e}"));
    }
    let recorded = read(name);
    let mut lines = (1..).zip(recorded.lines().zip(now.lines()));
    if let Some((line, (was, is))) = lines.find(|(_, (was, is))| was != is) {
        panic!("{name}:{line}:\nrecorded {was}\nnow      {is}");
    }
    assert!(recorded == now, "{name}: {} bytes recorded, {} now", recorded.len(), now.len());
}

fn json<T: Serialize>(value: &T) -> String {
    to_string(value).expect("it has a JSON form")
}

/// The JSON of a value, which is read back as the same value.
fn both_ways<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T) -> String {
    let text = json(value);
    assert_eq!(&from_str::<T>(&text).unwrap_or_else(|e| panic!("{text}: {e}")), value, "{text}");
    text
}

fn lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    values.iter().map(|v| both_ways(v) + "\n").collect()
}

fn plan() -> ReleasePlan {
    ReleasePlan {
        watch_ms: 1,
        ready_ms: 2,
        max_extra_failed: 3,
        max_extra_late: 4,
        max_extra_rejected: 5,
        min_answers: 6,
        rolls_back: true,
    }
}

fn commands() -> Vec<Command> {
    let (o, c) = (|| "an order".to_string(), || "a \"cause\"".to_string());
    let nodes = || vec!["n1".to_string(), "n2".to_string()];
    let (artifact, digest, waves) = ("settings".into(), "abc".into(), vec![vec![0, 2], vec![1]]);
    vec![
        Command::Read,
        Command::JoinCouncil((6, u64::MAX).into()),
        Command::Drain { order: o(), routers: vec![0, 65535] },
        Command::Restore { order: o(), routers: vec![] },
        Command::Halt { order: o(), cause: c() },
        Command::Resume { order: o() },
        Command::DrainReplicas { order: o(), replicas: nodes(), until: None },
        Command::DrainReplicas { order: o(), replicas: nodes(), until: Some(1_800_000_000_000) },
        Command::RestoreReplicas { order: o(), replicas: nodes() },
        Command::AdvanceReplica("n1".into()),
        Command::BeginRelease(ReleaseOrder { order: o(), artifact, digest, waves, plan: plan() }),
        Command::RollBack { order: o(), cause: c() },
        Command::CompleteWave(63),
        Command::FailWave((1, c()).into()),
        Command::ReportUpToDate(3),
        Command::ReportUnfit((3, c()).into()),
        Command::RetryRelease((3, 9).into()),
        Command::AcquireReleaseLease((3, 9, "abc".into()).into()),
        Command::AcquireLease((3, 9).into()),
        Command::UseLease((3, 9).into()),
        Command::ReturnLease((3, 9).into()),
        Command::ReportServing((3, 9).into()),
    ]
}

fn rejections() -> Vec<Rejection> {
    let full = |out: &[&str]| ReplicaLimitExceeded {
        group: "zone a".into(),
        limit: 2,
        total: 7,
        out_of_service: out.iter().map(ToString::to_string).collect(),
    };
    vec![
        Rejection::Halted("late answers".into()),
        Rejection::FleetLimitReached(2),
        Rejection::ZoneLimitReached(1),
        Rejection::CouncilLimitReached(2),
        Rejection::ViewIncomplete,
        Rejection::UnknownRouter(9),
        Rejection::NothingToChange,
        Rejection::InvalidText,
        Rejection::ReplicaLimitReached(full(&[])),
        Rejection::ReplicaLimitReached(full(&["n1", "n2"])),
        Rejection::ReplicaOrdersDisabled,
        Rejection::EndpointListStale,
        Rejection::UnknownReplica("n9".into()),
        Rejection::TooManyReplicas,
        Rejection::ReleaseInProgress("v2".into()),
        Rejection::HeldByOtherOrder(("north".into(), "d".into()).into()),
        Rejection::InvalidWaves,
        Rejection::NotSeenServing,
    ]
}

/// The name of a variant, which is the whole JSON or its only key.
fn kind(json: &str) -> String {
    match from_str(json).expect("it is JSON") {
        Json::String(name) => name,
        Json::Object(map) => map.keys().next().expect("it has a key").clone(),
        other => panic!("no variant: {other}"),
    }
}

#[test]
fn commands_have_their_recorded_form() {
    let kinds: BTreeSet<_> = commands().iter().map(|act| kind(&json(act))).collect();
    assert_eq!(kinds.len(), 21, "each variant is here: {kinds:?}");
    let orders = commands().into_iter().filter(|act| act.is_operator_order()).map(|act| kind(&json(&act)));
    let orders: BTreeSet<_> = orders.collect();
    compare("commands.txt", &format!("{}orders {orders:?}\n", lines(&commands())));
}

#[test]
fn rejections_have_their_recorded_form_and_text() {
    let kinds: BTreeSet<_> = rejections().iter().map(|no| kind(&json(no))).collect();
    assert_eq!(kinds.len(), 17, "each variant is here: {kinds:?}");
    let each = rejections().iter().map(|no| format!("{}\n  {no}\n", both_ways(no))).collect::<String>();
    compare("rejections.txt", &each);
}

fn most(of: &Json) -> Limit {
    let text = of.as_str().expect("a text");
    let number = text.trim_end_matches('%').parse().expect("a number");
    if text.ends_with('%') {
        Limit::Percent(number)
    } else {
        Limit::Count(number)
    }
}

fn bounds(of: &Json) -> DrainLimits {
    let list = |name: &str| of[name].clone();
    DrainLimits {
        names: from_value(list("names")).expect("names"),
        zones: from_value(list("zones")).expect("zones"),
        total: from_value(list("all")).expect("all"),
        per_zone: from_value(list("zone")).expect("zone"),
        council: from_value(list("council")).expect("council"),
        replicas: of["nodes"].as_object().map(|n| ReplicaLimits {
            total: most(&n["all"]),
            per_zone: most(&n["zone"]),
            per_kind: most(&n["kind"]),
        }),
    }
}

fn view(of: &Json) -> CouncilView {
    type Listed = BTreeMap<String, (String, String, bool)>;
    let nodes: Option<Listed> = from_value(of["nodes"].clone()).expect("nodes");
    let seen = |(id, (zone, kind, out))| (id, ReplicaView { zone, kind, out_of_service: out });
    CouncilView {
        informed_members: from_value(of["knowing"].clone()).expect("knowing"),
        majority: from_value(of["wanted"].clone()).expect("wanted"),
        out_of_service: from_value(of["out"].clone()).expect("out"),
        replicas: nodes.map(|nodes| nodes.into_iter().map(seen).collect()),
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

/// Where the script is.
struct Play {
    document: FleetState,
    bounds: DrainLimits,
    view: CouncilView,
    watch: ReleaseMonitor,
    rejected: BTreeSet<String>,
    says: String,
}

impl Play {
    fn command(&mut self, command: &str) {
        let act: Command = from_str(command).unwrap_or_else(|e| panic!("{command}: {e}"));
        let result = match self.document.apply(&act, &self.bounds, &self.view) {
            Ok(document) => {
                self.document = document;
                "ok".to_string()
            }
            Err(no) => {
                let no = both_ways(&no);
                self.rejected.insert(kind(&no));
                no
            }
        };
        let (command, document) = (both_ways(&act), both_ways(&self.document));
        let out = self.document.out_of_service(&self.view);
        writeln!(self.says, "{command}\n= {result}\n{document}\nout {out:?}").expect("text");
    }

    fn watched(&mut self, text: &str) {
        let of: Json = from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        let heard: Vec<Option<RouterReport>> = of["heard"]
            .as_array()
            .expect("a list")
            .iter()
            .map(|one| {
                let counts: AnswerCounts = from_value(one.get("counts")?.clone()).expect("counts");
                Some(RouterReport { incarnation: one["life"].as_u64().expect("a life"), counts })
            })
            .collect();
        let now = of["now_ms"].as_u64().expect("a time") * 1_000_000;
        let asks = self.watch.next_command(now, &self.document, &self.bounds, &heard);
        writeln!(self.says, "watch {text}\n= {}", json(&asks)).expect("text");
    }

    fn line(&mut self, line: &str) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let value = || from_str::<Json>(rest).unwrap_or_else(|e| panic!("{rest}: {e}"));
        match word {
            "section" => {
                self.watch = ReleaseMonitor::default();
                writeln!(self.says, "# {rest}").expect("text");
            }
            "start" => {
                self.document = start(rest);
                writeln!(self.says, "start {}", both_ways(&self.document)).expect("text");
            }
            "bounds" => self.bounds = bounds(&value()),
            "view" => self.view = view(&value()),
            "command" => self.command(rest),
            "watch" => self.watched(rest),
            "repeat" => {
                let (times, command) = rest.split_once(' ').expect("a number and a command");
                let times: usize = times.parse().expect("a number");
                let before = self.says.len();
                for k in 0..times {
                    self.says.truncate(before);
                    self.command(&command.replace("{k}", &k.to_string()));
                }
            }
            other => panic!("no such line: {other}"),
        }
    }
}

#[test]
fn commands_have_their_recorded_effects() {
    let mut play = Play {
        document: FleetState::default(),
        bounds: bounds(&json!({"names": [], "zones": [], "all": 0, "zone": 0, "council": []})),
        view: CouncilView::default(),
        watch: ReleaseMonitor::default(),
        rejected: BTreeSet::new(),
        says: String::new(),
    };
    read("script.txt").lines().for_each(|line| play.line(line));
    compare("effects.txt", &play.says);
    assert_eq!(play.rejected.len(), 17, "every rejection has been provoked: {:?}", play.rejected);
}

type Small = RegisterValue<u64>;

fn ballot(number: u64, by: u16, life: u64) -> Ballot {
    Ballot { number, proposer: by, incarnation: life }
}

fn small(lives: &[u64], document: u64) -> Small {
    RegisterValue { incarnations: lives.to_vec(), state: document }
}

#[test]
fn messages_of_the_register_have_their_recorded_form() {
    let (b, v) = (ballot(3, 1, 7), small(&[1, 2, 3], 44));
    let asks = [
        AcceptorRequest::Read,
        AcceptorRequest::Prepare(b),
        AcceptorRequest::Accept((b, v.clone()).into()),
        AcceptorRequest::Bootstrap((b, v.clone()).into()),
    ];
    let answers = [
        AcceptorReply::Current { incarnation: 7, accepted: None },
        AcceptorReply::Current { incarnation: 7, accepted: Some((b, v.clone()).into()) },
        AcceptorReply::Promised { incarnation: 7, accepted: None },
        AcceptorReply::Promised { incarnation: 7, accepted: Some((b, v.clone()).into()) },
        AcceptorReply::Accepted { incarnation: 7 },
        AcceptorReply::Superseded(b),
        AcceptorReply::Uninitialized { incarnation: 7, stored: None },
        AcceptorReply::Uninitialized { incarnation: 7, stored: Some(44) },
    ];
    let whole = AcceptorRequest::Accept(
        (b, RegisterValue { incarnations: vec![1], state: FleetState::bootstrap(None) }).into(),
    );
    compare("register-messages.txt", &(lines(&asks) + &lines(&answers) + &lines(&[whole])));
}

/// What is read, in forms of earlier versions too, and how it is written then.
#[test]
fn forms_with_absent_fields_are_read_as_recorded() {
    fn as_read<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> String {
        from_str::<T>(text).map_or_else(|_| "not read".into(), |value| both_ways(&value))
    }
    let mut says = String::new();
    for line in read("forms.txt").lines() {
        let (what, text) = line.split_once(' ').expect("a kind and JSON");
        let form = match what {
            "document" => as_read::<FleetState>(text),
            "entry" => as_read::<DrainEntry>(text),
            "command" => as_read::<Command>(text),
            "rejection" => as_read::<Rejection>(text),
            "answer" => as_read::<AcceptorReply<u64>>(text),
            "ask" => as_read::<AcceptorRequest<u64>>(text),
            "plan" => as_read::<ReleasePlan>(text),
            "counts" => as_read::<AnswerCounts>(text),
            "follows" => as_read::<AppliedState>(text),
            "says" => as_read::<AdvertisedStatus>(text),
            "standing" => as_read::<PeerStatus>(text),
            other => panic!("no such kind: {other}"),
        };
        writeln!(says, "{what} {text}\n= {form}").expect("text");
    }
    compare("forms-read.txt", &says);
}

/// One member that starts blank, is asked this, and answers that.
#[test]
fn a_member_of_the_council_answers_as_recorded() {
    let mut says = String::new();
    for stored in [None, Some(5)] {
        let mut keeper: Acceptor<u64> = Acceptor::new(7).with_stored(stored);
        writeln!(says, "blank, stored {}", json(&stored)).expect("text");
        for line in read("asks.txt").lines() {
            if let Some(join) = line.strip_prefix("join ") {
                let (ballot, value): (Ballot, Small) = from_str(join).expect("a ballot and a value");
                keeper.join((ballot, value).into());
                writeln!(says, "{line}").expect("text");
            } else {
                let ask: AcceptorRequest<u64> = from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
                writeln!(says, "{}\n= {}", both_ways(&ask), both_ways(&keeper.handle(ask))).expect("text");
            }
            let (joined, taken) = (keeper.joined(), json(&keeper.accepted()));
            writeln!(says, "  joined {joined}, taken {taken}").expect("text");
        }
    }
    compare("member-answers.txt", &says);
}

fn step(step: RoundStep<u64>) -> String {
    match step {
        RoundStep::Wait => "wait".into(),
        RoundStep::Propose(n) => format!("change {n}"),
        RoundStep::Chosen(value) => format!("agreed {}", json(&value)),
        RoundStep::Superseded(ballot) => format!("lost {}", json(&ballot)),
    }
}

/// One round that is told these answers; it adds one to what it is to change.
#[test]
fn a_round_goes_on_as_recorded() {
    let mut says = String::new();
    let mut round: Proposer<u64> = Proposer::new(ballot(5, 9, 1), 3);
    let mut before = round.request();
    for line in read("rounds.txt").lines() {
        if let Some(joins) = line.strip_prefix("round ") {
            let joins: Vec<CouncilMember> = from_str(joins).expect("members and lives");
            round = match joins.is_empty() {
                true => Proposer::new(ballot(5, 9, 1), 3),
                false => Proposer::joining(ballot(5, 9, 1), 3, joins),
            };
            before = round.request();
            writeln!(says, "{line}\n  asks {}", both_ways(&round.request())).expect("text");
            continue;
        }
        let (late, line) = line.strip_prefix("late ").map_or((false, line), |line| (true, line));
        let (from, answer): (u8, AcceptorReply<u64>) =
            from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        let ask = if late { before.clone() } else { round.request() };
        let next = round.handle_reply(from, &ask, answer);
        if let RoundStep::Propose(n) = &next {
            before = round.request();
            round.propose(n + 1);
        }
        writeln!(says, "{line}\n= {}\n  asks {}", step(next), both_ways(&round.request())).expect("text");
    }
    compare("rounds-played.txt", &says);
}

/// All that three members can have told, of two values and two lives each.
#[test]
fn what_is_agreed_on_and_the_first_value_are_as_recorded() {
    let values: [Option<Proposal<u64>>; 3] = [
        None,
        Some((ballot(2, 0, 0), small(&[1, 2, 3], 10)).into()),
        Some((ballot(4, 1, 0), small(&[11, 2, 3], 20)).into()),
    ];
    let told = |member: u64, k: usize| match k {
        0 => None,
        k => Some(MemberReport {
            incarnation: if k < 4 { member + 1 } else { member + 11 },
            accepted: values[(k - 1) % 3].clone(),
        }),
    };
    let mut says = String::new();
    for k in 0..7 * 7 * 7 {
        let all: Vec<_> = [k / 49, k / 7 % 7, k % 7].into_iter().zip(0..).map(|(k, m)| told(m, k)).collect();
        let found = chosen_value(&all).map(|chosen| (chosen.ballot.number, chosen.value.state));
        let begins = bootstrap_value(&all, |known| known.map_or(0, |d| d + 1));
        writeln!(says, "{} {} {}", json(&all.len()), json(&found), json(&begins)).expect("text");
    }
    let above = ballot(0, 3, 9).above(ballot(7, 8, 1));
    let last = ballot(u64::MAX, 3, 9).above(ballot(7, 8, 1));
    writeln!(says, "{} {}", json(&above), json(&last)).expect("text");
    compare("register-look-ups.txt", &says);
}

const S: u64 = 1_000_000_000;
const FIGURES: LeaseTiming = LeaseTiming { duration: 5 * S, drift_divisor: 20, retry_after: S };

fn next(next: NextStep) -> String {
    match next {
        NextStep::Wait => "rest".into(),
        NextStep::Submit(act) => json(&act),
        NextStep::BeginDrain => "goes out".into(),
        NextStep::ResumeService => "serves".into(),
        NextStep::InstallAndRestart(digest) => format!("swaps {digest}"),
    }
}

/// Each stage of an entry, by what the router does and runs and what became of its leave.
#[test]
fn a_router_goes_by_its_leave_as_recorded() {
    let leaver = |asked: Option<(u64, u64, Command, bool)>| {
        let mut leaver = LeaseHolder::new(FIGURES, 3, 9);
        if let Some((at, now, act, done)) = asked {
            let outcome = if done { SubmitOutcome::Applied } else { SubmitOutcome::NotApplied };
            leaver.record_outcome(at, now, &act, outcome);
        }
        leaver
    };
    // Looked at after 10 s: not asked for, granted in time and at the very end of it, refused of late and long ago.
    let leavers = [
        leaver(None),
        leaver(Some((6 * S, 7 * S, Command::AcquireLease((3, 9).into()), true))),
        leaver(Some((5 * S + 1, 6 * S, Command::AcquireReleaseLease((3, 9, "old".into()).into()), true))),
        leaver(Some((5 * S, 6 * S, Command::AcquireLease((3, 9).into()), true))),
        leaver(Some((9 * S, 9 * S + 1, Command::AcquireLease((3, 9).into()), false))),
        leaver(Some((8 * S, 9 * S, Command::AcquireReleaseLease((3, 9, "old".into()).into()), false))),
        leaver(Some((9 * S, 9 * S, Command::UseLease((3, 9).into()), false))),
    ];
    let stages = [
        "null",
        r#""wanted""#,
        r#"{"leave":9}"#,
        r#"{"leave":8}"#,
        r#"{"out":9}"#,
        r#"{"out":8}"#,
        r#"{"back":9}"#,
        r#"{"back":8}"#,
    ];
    let mut says = String::new();
    for stage in stages {
        for (to, runs) in [(None, None), (None, Some("old")), (Some("new"), None)]
            .into_iter()
            .chain([(Some("new"), Some("old")), (Some("new"), Some("new"))])
        {
            for (own, halted) in [
                (LocalPhase::Serving, false),
                (LocalPhase::Serving, true),
                (LocalPhase::OutOfService, false),
                (LocalPhase::OutOfService, true),
            ] {
                let mut document = FleetState { halted: halted.then(|| "x".into()), ..FleetState::default() };
                let stage: Option<DrainStage> = from_str(stage).expect("a stage");
                let entry = stage.map(|stage| DrainEntry {
                    stage,
                    order: "d".into(),
                    target_digest: to.map(str::to_string),
                    attempts: 0,
                });
                document.drains.extend(entry.map(|e| (3, e)));
                let serves = if own == LocalPhase::Serving { "serving" } else { "out" };
                let stage = json(&stage);
                writeln!(says, "{stage} to {to:?} runs {runs:?} {serves} halted {halted}").expect("text");
                let all = leavers.iter().map(|l| next(l.next_step(10 * S, &document, own, runs)));
                writeln!(says, "  {}", all.collect::<Vec<_>>().join(" | ")).expect("text");
                let holds = [0, FIGURES.safe_expiry(), FIGURES.safe_expiry() + 1];
                writeln!(says, "  {:?}", holds.map(|since| halt_is_effective(&FIGURES, since, &document)))
                    .expect("text");
            }
        }
    }
    let over = [FIGURES.safe_expiry(), LeaseTiming { drift_divisor: 0, ..FIGURES }.safe_expiry()];
    writeln!(says, "a leave is over after {over:?}").expect("text");
    compare("leave.txt", &says);
}

#[test]
fn who_keeps_a_model_node_from_being_clear_is_as_recorded() {
    let said = |text: &str| from_str::<AppliedState>(text).expect("what a router says");
    let said = [
        said(r#"{"version":4,"open":[]}"#),
        said(r#"{"version":5,"open":["n1"]}"#),
        said(r#"{"version":6,"open":["n2","n3"]}"#),
    ];
    let mut says = lines(&said);
    let mut rows: Vec<_> = said.iter().flat_map(|f| [(Some(f), false), (Some(f), true)]).collect();
    rows.extend([(None, false), (None, true)]);
    for (node, since) in [("n1", 5), ("n2", 5), ("n4", 5), ("n4", 7), ("n1", 0)] {
        writeln!(
            says,
            "{node} out since {since}: {:?}",
            routers_not_clear(
                node,
                since,
                &rows.iter().map(|&(applied, has_left)| ReplicaUse { applied, has_left }).collect::<Vec<_>>()
            )
        )
        .expect("text");
    }
    compare("unclear.txt", &says);
}

#[test]
fn beats_are_believed_as_recorded() {
    let every = [
        AdvertisedStatus::Serving,
        AdvertisedStatus::Starting,
        AdvertisedStatus::Draining,
        AdvertisedStatus::Ending,
    ];
    let standings: Vec<_> =
        [PeerStatus::Unknown, PeerStatus::Silent].into_iter().chain(every.map(PeerStatus::Alive)).collect();
    let mut says = lines(&every) + &lines(&standings);
    standings.iter().for_each(|s| writeln!(says, "{} out {}", json(s), s.is_out_of_service()).expect("text"));
    let mut presence = FailureDetector::new(BeatFigures { interval: S / 2, silence_limit: 2 * S }, 5, 0);
    // By half seconds: router 0 beats on, 1 stops, 2 ends, 3 starts anew and is heard late, 4 never is. The member
    // that listens is stopped itself from 8 s to 14 s.
    for half in (0..=16).chain(28..=36) {
        let now = half * S / 2;
        let mut beat = |from, life, tells| presence.record_heartbeat(now, from, life, tells).is_ok();
        let mut taken = vec![beat(0, 7, AdvertisedStatus::Serving)];
        if half < 5 {
            taken.push(beat(1, 7, AdvertisedStatus::Draining));
            taken.push(beat(
                2,
                7,
                if half < 4 { AdvertisedStatus::Serving } else { AdvertisedStatus::Ending },
            ));
        }
        if half % 3 == 0 {
            taken.push(beat(3, half, AdvertisedStatus::Starting));
            taken.push(beat(3, half.saturating_sub(1), AdvertisedStatus::Serving));
            taken.push(beat(5, 1, AdvertisedStatus::Serving));
        }
        let standings: Vec<_> = (0..6).map(|r| presence.status(now, r)).collect();
        let here: Vec<_> =
            (0..6).map(|r| presence.live_peer(now, r).map(|peer| (peer.incarnation, peer.serving))).collect();
        let gone: Vec<_> = (0..6).map(|r| presence.has_left(now, r)).collect();
        let (knows, out) = (presence.can_detect_silence(now), presence.out_of_service(now));
        writeln!(says, "{half}: taken {taken:?} knows {knows} out {out:?} gone {gone:?}").expect("text");
        writeln!(says, "  {}\n  {}", json(&standings), json(&here)).expect("text");
    }
    compare("beats.txt", &says);
}
