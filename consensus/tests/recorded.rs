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
use tallypin_consensus::document::{Act, Bounds, Document, Entry, No, Stage, View};
use tallypin_consensus::leave::{halt_holds, Figures, Leaver, Next, Own};
use tallypin_consensus::nodes::{unclear, Follows, Most, NodeBounds, NodeSeen, NodesFull};
use tallypin_consensus::register::{agreed, first, Answer, Ask, Ballot, Keeper, Round, Step, Value};
use tallypin_consensus::release::Plan;
use tallypin_consensus::watch::{Counts, Heard, Watch};
use tallypin_membership::{Figures as BeatFigures, Presence, Says, Standing};

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

fn plan() -> Plan {
    Plan { watch_ms: 1, ready_ms: 2, failed_most: 3, late_most: 4, refused_most: 5, enough: 6, back: true }
}

fn commands() -> Vec<Act> {
    let (o, c) = (|| "an order".to_string(), || "a \"cause\"".to_string());
    let nodes = || vec!["n1".to_string(), "n2".to_string()];
    let (what, digest, waves) = ("settings".into(), "abc".into(), vec![vec![0, 2], vec![1]]);
    vec![
        Act::Look,
        Act::Join(6, u64::MAX),
        Act::Drain { order: o(), routers: vec![0, 65535] },
        Act::PutBack { order: o(), routers: vec![] },
        Act::Halt { order: o(), cause: c() },
        Act::Resume { order: o() },
        Act::TakeOut { order: o(), nodes: nodes(), until: None },
        Act::TakeOut { order: o(), nodes: nodes(), until: Some(1_800_000_000_000) },
        Act::PutBackNodes { order: o(), nodes: nodes() },
        Act::Node("n1".into()),
        Act::Release { order: o(), what, digest, waves, plan: plan() },
        Act::Undo { order: o(), cause: c() },
        Act::Wave(63),
        Act::Fail(1, c()),
        Act::Has(3),
        Act::Unfit(3, c()),
        Act::Again(3, 9),
        Act::LeaveFrom(3, 9, "abc".into()),
        Act::Leave(3, 9),
        Act::Going(3, 9),
        Act::GiveUp(3, 9),
        Act::Serves(3, 9),
    ]
}

fn rejections() -> Vec<No> {
    let full = |out: &[&str]| NodesFull {
        of: "zone a".into(),
        most: 2,
        all: 7,
        out: out.iter().map(ToString::to_string).collect(),
    };
    vec![
        No::Halted("late answers".into()),
        No::Full(2),
        No::ZoneFull(1),
        No::CouncilFull(2),
        No::Unseen,
        No::Unknown(9),
        No::Nothing,
        No::Words,
        No::NodesFull(full(&[])),
        No::NodesFull(full(&["n1", "n2"])),
        No::NoNodes,
        No::NoList,
        No::UnknownNode("n9".into()),
        No::TooMany,
        No::Busy("v2".into()),
        No::Taken("north".into(), "d".into()),
        No::Waves,
        No::NotSeen,
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
    let orders = commands().into_iter().filter(|act| act.is_order()).map(|act| kind(&json(&act)));
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

fn most(of: &Json) -> Most {
    let text = of.as_str().expect("a text");
    let number = text.trim_end_matches('%').parse().expect("a number");
    if text.ends_with('%') {
        Most::Share(number)
    } else {
        Most::Number(number)
    }
}

fn bounds(of: &Json) -> Bounds {
    let list = |name: &str| of[name].clone();
    Bounds {
        names: from_value(list("names")).expect("names"),
        zones: from_value(list("zones")).expect("zones"),
        all: from_value(list("all")).expect("all"),
        zone: from_value(list("zone")).expect("zone"),
        council: from_value(list("council")).expect("council"),
        nodes: of["nodes"].as_object().map(|n| NodeBounds {
            all: most(&n["all"]),
            zone: most(&n["zone"]),
            kind: most(&n["kind"]),
        }),
    }
}

fn view(of: &Json) -> View {
    type Listed = BTreeMap<String, (String, String, bool)>;
    let nodes: Option<Listed> = from_value(of["nodes"].clone()).expect("nodes");
    let seen = |(id, (zone, kind, out))| (id, NodeSeen { zone, kind, out });
    View {
        knowing: from_value(of["knowing"].clone()).expect("knowing"),
        wanted: from_value(of["wanted"].clone()).expect("wanted"),
        out: from_value(of["out"].clone()).expect("out"),
        nodes: nodes.map(|nodes| nodes.into_iter().map(seen).collect()),
        now_ms: from_value(of["now_ms"].clone()).expect("now_ms"),
    }
}

fn start(name: &str) -> Document {
    let known = || Document { version: 41, orders: ["o".to_string()].into(), ..Document::default() };
    match name {
        "running" => Document::default(),
        "first" => Document::first(None),
        "first-of-known" => Document::first(Some(&known())),
        "first-of-first" => Document::first(Some(&Document::first(None))),
        "last-version" => Document { version: u64::MAX - 2, ..Document::default() },
        other => panic!("no start {other}"),
    }
}

/// Where the script is.
struct Play {
    document: Document,
    bounds: Bounds,
    view: View,
    watch: Watch,
    rejected: BTreeSet<String>,
    says: String,
}

impl Play {
    fn command(&mut self, command: &str) {
        let act: Act = from_str(command).unwrap_or_else(|e| panic!("{command}: {e}"));
        let result = match self.document.changed(&act, &self.bounds, &self.view) {
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
        let out = self.document.out(&self.view);
        writeln!(self.says, "{command}\n= {result}\n{document}\nout {out:?}").expect("text");
    }

    fn watched(&mut self, text: &str) {
        let of: Json = from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        let heard: Vec<Option<Heard>> = of["heard"]
            .as_array()
            .expect("a list")
            .iter()
            .map(|one| {
                let counts: Counts = from_value(one.get("counts")?.clone()).expect("counts");
                Some(Heard { life: one["life"].as_u64().expect("a life"), counts })
            })
            .collect();
        let now = of["now_ms"].as_u64().expect("a time") * 1_000_000;
        let asks = self.watch.next(now, &self.document, &self.bounds, &heard);
        writeln!(self.says, "watch {text}\n= {}", json(&asks)).expect("text");
    }

    fn line(&mut self, line: &str) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let value = || from_str::<Json>(rest).unwrap_or_else(|e| panic!("{rest}: {e}"));
        match word {
            "section" => {
                self.watch = Watch::default();
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
        document: Document::default(),
        bounds: bounds(&json!({"names": [], "zones": [], "all": 0, "zone": 0, "council": []})),
        view: View::default(),
        watch: Watch::default(),
        rejected: BTreeSet::new(),
        says: String::new(),
    };
    read("script.txt").lines().for_each(|line| play.line(line));
    compare("effects.txt", &play.says);
    assert_eq!(play.rejected.len(), 17, "every rejection has been provoked: {:?}", play.rejected);
}

type Small = Value<u64>;

fn ballot(number: u64, by: u16, life: u64) -> Ballot {
    Ballot { number, by, life }
}

fn small(lives: &[u64], document: u64) -> Small {
    Value { lives: lives.to_vec(), document }
}

#[test]
fn messages_of_the_register_have_their_recorded_form() {
    let (b, v) = (ballot(3, 1, 7), small(&[1, 2, 3], 44));
    let asks = [Ask::Look, Ask::Prepare(b), Ask::Take(b, v.clone()), Ask::Found(b, v.clone())];
    let answers = [
        Answer::Has { life: 7, taken: None },
        Answer::Has { life: 7, taken: Some((b, v.clone())) },
        Answer::Promised { life: 7, taken: None },
        Answer::Promised { life: 7, taken: Some((b, v.clone())) },
        Answer::Taken { life: 7 },
        Answer::Newer(b),
        Answer::Blank { life: 7, stored: None },
        Answer::Blank { life: 7, stored: Some(44) },
    ];
    let whole = Ask::Take(b, Value { lives: vec![1], document: Document::first(None) });
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
            "document" => as_read::<Document>(text),
            "entry" => as_read::<Entry>(text),
            "command" => as_read::<Act>(text),
            "rejection" => as_read::<No>(text),
            "answer" => as_read::<Answer<u64>>(text),
            "ask" => as_read::<Ask<u64>>(text),
            "plan" => as_read::<Plan>(text),
            "counts" => as_read::<Counts>(text),
            "follows" => as_read::<Follows>(text),
            "says" => as_read::<Says>(text),
            "standing" => as_read::<Standing>(text),
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
        let mut keeper: Keeper<u64> = Keeper::blank(7).storing(stored);
        writeln!(says, "blank, stored {}", json(&stored)).expect("text");
        for line in read("asks.txt").lines() {
            if let Some(join) = line.strip_prefix("join ") {
                let (ballot, value): (Ballot, Small) = from_str(join).expect("a ballot and a value");
                keeper.join(ballot, value);
                writeln!(says, "{line}").expect("text");
            } else {
                let ask: Ask<u64> = from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
                writeln!(says, "{}\n= {}", both_ways(&ask), both_ways(&keeper.asked(ask))).expect("text");
            }
            let (joined, taken) = (keeper.joined(), json(&keeper.taken()));
            writeln!(says, "  joined {joined}, taken {taken}").expect("text");
        }
    }
    compare("member-answers.txt", &says);
}

fn step(step: Step<u64>) -> String {
    match step {
        Step::Wait => "wait".into(),
        Step::Change(n) => format!("change {n}"),
        Step::Agreed(value) => format!("agreed {}", json(&value)),
        Step::Lost(ballot) => format!("lost {}", json(&ballot)),
    }
}

/// One round that is told these answers; it adds one to what it is to change.
#[test]
fn a_round_goes_on_as_recorded() {
    let mut says = String::new();
    let mut round: Round<u64> = Round::new(ballot(5, 9, 1), 3);
    let mut before = round.ask();
    for line in read("rounds.txt").lines() {
        if let Some(joins) = line.strip_prefix("round ") {
            let joins: Vec<(u8, u64)> = from_str(joins).expect("members and lives");
            round = match joins.is_empty() {
                true => Round::new(ballot(5, 9, 1), 3),
                false => Round::joining(ballot(5, 9, 1), 3, joins),
            };
            before = round.ask();
            writeln!(says, "{line}\n  asks {}", both_ways(&round.ask())).expect("text");
            continue;
        }
        let (late, line) = line.strip_prefix("late ").map_or((false, line), |line| (true, line));
        let (from, answer): (u8, Answer<u64>) = from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        let ask = if late { before.clone() } else { round.ask() };
        let next = round.heard(from, &ask, answer);
        if let Step::Change(n) = &next {
            before = round.ask();
            round.propose(n + 1);
        }
        writeln!(says, "{line}\n= {}\n  asks {}", step(next), both_ways(&round.ask())).expect("text");
    }
    compare("rounds-played.txt", &says);
}

/// All that three members can have told, of two values and two lives each.
#[test]
fn what_is_agreed_on_and_the_first_value_are_as_recorded() {
    let values = [
        None,
        Some((ballot(2, 0, 0), small(&[1, 2, 3], 10))),
        Some((ballot(4, 1, 0), small(&[11, 2, 3], 20))),
    ];
    let told = |member: u64, k: usize| match k {
        0 => None,
        k => Some((if k < 4 { member + 1 } else { member + 11 }, values[(k - 1) % 3].clone())),
    };
    let mut says = String::new();
    for k in 0..7 * 7 * 7 {
        let all: Vec<_> = [k / 49, k / 7 % 7, k % 7].into_iter().zip(0..).map(|(k, m)| told(m, k)).collect();
        let found = agreed(&all).map(|(ballot, value)| (ballot.number, value.document));
        let begins = first(&all, |known| known.map_or(0, |d| d + 1));
        writeln!(says, "{} {} {}", json(&all.len()), json(&found), json(&begins)).expect("text");
    }
    let above = ballot(0, 3, 9).above(ballot(7, 8, 1));
    let last = ballot(u64::MAX, 3, 9).above(ballot(7, 8, 1));
    writeln!(says, "{} {}", json(&above), json(&last)).expect("text");
    compare("register-look-ups.txt", &says);
}

const S: u64 = 1_000_000_000;
const FIGURES: Figures = Figures { lease: 5 * S, drift: 20, again: S };

fn next(next: Next) -> String {
    match next {
        Next::Rest => "rest".into(),
        Next::Ask(act) => json(&act),
        Next::GoOut => "goes out".into(),
        Next::Serve => "serves".into(),
        Next::Swap(digest) => format!("swaps {digest}"),
    }
}

/// Each stage of an entry, by what the router does and runs and what became of its leave.
#[test]
fn a_router_goes_by_its_leave_as_recorded() {
    let leaver = |asked: Option<(u64, u64, Act, bool)>| {
        let mut leaver = Leaver::new(FIGURES, 3, 9);
        if let Some((at, now, act, done)) = asked {
            leaver.asked(at, now, &act, done);
        }
        leaver
    };
    // Looked at after 10 s: not asked for, granted in time and at the very end of it, refused of late and long ago.
    let leavers = [
        leaver(None),
        leaver(Some((6 * S, 7 * S, Act::Leave(3, 9), true))),
        leaver(Some((5 * S + 1, 6 * S, Act::LeaveFrom(3, 9, "old".into()), true))),
        leaver(Some((5 * S, 6 * S, Act::Leave(3, 9), true))),
        leaver(Some((9 * S, 9 * S + 1, Act::Leave(3, 9), false))),
        leaver(Some((8 * S, 9 * S, Act::LeaveFrom(3, 9, "old".into()), false))),
        leaver(Some((9 * S, 9 * S, Act::Going(3, 9), false))),
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
            for (own, halted) in
                [(Own::Serving, false), (Own::Serving, true), (Own::Out, false), (Own::Out, true)]
            {
                let mut document = Document { halted: halted.then(|| "x".into()), ..Document::default() };
                let stage: Option<Stage> = from_str(stage).expect("a stage");
                let entry = stage.map(|stage| Entry {
                    stage,
                    order: "d".into(),
                    to: to.map(str::to_string),
                    tries: 0,
                });
                document.entries.extend(entry.map(|e| (3, e)));
                let serves = if own == Own::Serving { "serving" } else { "out" };
                let stage = json(&stage);
                writeln!(says, "{stage} to {to:?} runs {runs:?} {serves} halted {halted}").expect("text");
                let all = leavers.iter().map(|l| next(l.next(10 * S, &document, own, runs)));
                writeln!(says, "  {}", all.collect::<Vec<_>>().join(" | ")).expect("text");
                let holds = [0, FIGURES.over(), FIGURES.over() + 1];
                writeln!(says, "  {:?}", holds.map(|since| halt_holds(&FIGURES, since, &document)))
                    .expect("text");
            }
        }
    }
    let over = [FIGURES.over(), Figures { drift: 0, ..FIGURES }.over()];
    writeln!(says, "a leave is over after {over:?}").expect("text");
    compare("leave.txt", &says);
}

#[test]
fn who_keeps_a_model_node_from_being_clear_is_as_recorded() {
    let said = |text: &str| from_str::<Follows>(text).expect("what a router says");
    let said = [
        said(r#"{"version":4,"open":[]}"#),
        said(r#"{"version":5,"open":["n1"]}"#),
        said(r#"{"version":6,"open":["n2","n3"]}"#),
    ];
    let mut says = lines(&said);
    let mut rows: Vec<_> = said.iter().flat_map(|f| [(Some(f), false), (Some(f), true)]).collect();
    rows.extend([(None, false), (None, true)]);
    for (node, since) in [("n1", 5), ("n2", 5), ("n4", 5), ("n4", 7), ("n1", 0)] {
        writeln!(says, "{node} out since {since}: {:?}", unclear(node, since, &rows)).expect("text");
    }
    compare("unclear.txt", &says);
}

#[test]
fn beats_are_believed_as_recorded() {
    let every = [Says::Serving, Says::Starting, Says::Draining, Says::Ending];
    let standings: Vec<_> =
        [Standing::Unknown, Standing::Silent].into_iter().chain(every.map(Standing::Here)).collect();
    let mut says = lines(&every) + &lines(&standings);
    standings.iter().for_each(|s| writeln!(says, "{} out {}", json(s), s.out()).expect("text"));
    let mut presence = Presence::new(BeatFigures { every: S / 2, silent: 2 * S }, 5, 0);
    // By half seconds: router 0 beats on, 1 stops, 2 ends, 3 starts anew and is heard late, 4 never is. The member
    // that listens is stopped itself from 8 s to 14 s.
    for half in (0..=16).chain(28..=36) {
        let now = half * S / 2;
        let mut beat = |from, life, tells| presence.beat(now, from, life, tells);
        let mut taken = vec![beat(0, 7, Says::Serving)];
        if half < 5 {
            taken.push(beat(1, 7, Says::Draining));
            taken.push(beat(2, 7, if half < 4 { Says::Serving } else { Says::Ending }));
        }
        if half % 3 == 0 {
            taken.push(beat(3, half, Says::Starting));
            taken.push(beat(3, half.saturating_sub(1), Says::Serving));
            taken.push(beat(5, 1, Says::Serving));
        }
        let standings: Vec<_> = (0..6).map(|r| presence.standing(now, r)).collect();
        let here: Vec<_> = (0..6).map(|r| presence.here(now, r)).collect();
        let gone: Vec<_> = (0..6).map(|r| presence.gone(now, r)).collect();
        let (knows, out) = (presence.knows(now), presence.out(now));
        writeln!(says, "{half}: taken {taken:?} knows {knows} out {out:?} gone {gone:?}").expect("text");
        writeln!(says, "  {}\n  {}", json(&standings), json(&here)).expect("text");
    }
    compare("beats.txt", &says);
}
