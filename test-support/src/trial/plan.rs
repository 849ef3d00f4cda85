//! What happens in a trial: settings, replicas, clients, signals and faults of system calls.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::shim::SocketFaults;

/// What repeating a request of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Pure,
    /// Replicas of the group drop repeats within the window.
    Token(Group, Duration),
    /// The effect happens again.
    SideEffect,
}

/// The replicas that drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What repeating does.
    pub effect: Effect,
    /// How long its clients wait for a first event.
    pub wait: Duration,
}

/// What a replica does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers: the first event after so long, then so many more, one every gap.
    Serve {
        /// Before the first event.
        first: Duration,
        /// Further events.
        events: u32,
        /// Between two of them.
        gap: Duration,
    },
    /// Takes it, and says nothing until its connection ends.
    Hang,
    /// Turns it away unseen.
    Decline,
    /// Answers 500.
    Error,
    /// Ends the connection without an answer.
    Reset,
    /// Ends the connection after the first event.
    BreakOff,
    /// Serves it, and some milliseconds later says on its own that it declines.
    SecondAnswer,
}

/// A replica: where it is, what it does, and when it hangs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaPlan {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: usize,
    /// What it does, drawn evenly.
    pub behaviours: Vec<Behaviour>,
    /// From so long after SIGTERM it takes requests and never answers.
    pub hangs_after: Option<Duration>,
    /// It closes connections that carry nothing after so long.
    pub idle_close: Duration,
}

/// What happens to a replica at a time, counted from the first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// When.
    pub at: Duration,
    /// To which replica.
    pub replica: usize,
    /// What.
    pub what: ChangeKind,
}

/// What can happen to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The list says that it takes no more work.
    Leaves,
    /// It ends all its connections, and every new one, for so long.
    Fails(Duration),
}

/// A signal, and how long after the first SIGTERM it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Signal {
    /// As `kill` takes it.
    pub name: &'static str,
    /// How long after the first SIGTERM.
    pub after: Duration,
}

/// What happens in a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Draws whatever the plan leaves open.
    pub seed: u64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The most attempts for a request.
    pub try_limit: u32,
    /// Two attempts may be out at once.
    pub parallel: bool,
    /// Attempts can be called off.
    pub cancel: bool,
    /// Clients ask for the rest of a broken stream.
    pub resume: bool,
    /// The routers that the settings tell of.
    pub routers: u32,
    /// The replicas.
    pub replicas: Vec<ReplicaPlan>,
    /// What happens to them.
    pub changes: Vec<Change>,
    /// With each SIGHUP the configuration changes: the order of its classes, and where the list is.
    pub reloads: bool,
    /// Clients that ask.
    pub clients: usize,
    /// Clients that connect and say nothing.
    pub crowd: usize,
    /// From the first request to SIGTERM.
    pub quiet: Duration,
    /// In the middle of that nobody asks for so long.
    pub lull: Duration,
    /// The list falls silent so long after the first request, for so long.
    pub outage: Option<(Duration, Duration)>,
    /// Signals after SIGTERM.
    pub signals: Vec<Signal>,
    /// The router is held up for so long, so many times after SIGTERM.
    pub stops: Vec<(Duration, Duration)>,
    /// SIGKILL comes so much later than it may.
    pub grace: Duration,
    /// Faults of system calls.
    pub shim: Option<SocketFaults>,
}

/// The longest wait that counts for the kill.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// SIGKILL comes no sooner than this after that wait.
const KILL_MARGIN: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Plan {
    /// The plan of the reported incident: a lone router whose replicas all take requests and never answer from SIGTERM on.
    pub fn hanging_replicas(seed: u64) -> Plan {
        let class = |name: &str, effect| Class { name: name.into(), effect, wait: ms(1200) };
        let answer = Behaviour::Serve { first: ms(5), events: 3, gap: ms(5) };
        let replica = |cell| ReplicaPlan {
            zone: 0,
            cell,
            behaviours: vec![answer],
            hangs_after: Some(ms(700)),
            idle_close: ms(5000),
        };
        Plan {
            seed,
            classes: vec![
                class("pure", Effect::Pure),
                class("side", Effect::SideEffect),
                class("cell", Effect::Token(Group::Cell, ms(5000))),
                class("all", Effect::Token(Group::All, ms(5000))),
            ],
            try_limit: 4,
            parallel: true,
            cancel: true,
            resume: true,
            routers: 1,
            replicas: (0..4).map(replica).collect(),
            changes: Vec::new(),
            reloads: false,
            clients: 24,
            crowd: 0,
            quiet: ms(500),
            lull: Duration::ZERO,
            outage: None,
            signals: Vec::new(),
            stops: Vec::new(),
            grace: Duration::ZERO,
            shim: None,
        }
    }

    /// A plan drawn by a seed.
    pub fn drawn(seed: u64) -> Plan {
        let rng = &mut fastrand::Rng::with_seed(seed);
        let long = rng.u8(..6) == 0;
        let classes = drawn_classes(rng, long);
        let replicas = rng.usize(3..8);
        let all_hang = rng.u8(..3) == 0;
        let replicas: Vec<_> = (0..replicas).map(|n| drawn_replica(rng, n, all_hang)).collect();
        let signals = (0..rng.usize(..5))
            .map(|_| Signal { name: ["-TERM", "-HUP", "-INT"][rng.usize(..3)], after: ms(rng.u64(1..1500)) });
        let signals = signals.collect();
        let stops = (0..rng.usize(..3) * rng.usize(..2)).map(|_| (ms(rng.u64(..2500)), ms(rng.u64(20..140))));
        let stops = stops.collect();
        Plan {
            seed,
            classes,
            try_limit: rng.u32(1..5),
            parallel: rng.bool(),
            cancel: rng.u8(..4) > 0,
            resume: rng.u8(..4) > 0,
            routers: rng.u32(1..4),
            changes: drawn_changes(rng, &replicas),
            replicas,
            reloads: rng.bool(),
            clients: rng.usize(8..48),
            crowd: if rng.u8(..4) == 0 { rng.usize(50..400) } else { 0 },
            quiet: ms(rng.u64(150..900)),
            lull: drawn_lull(seed),
            outage: drawn_outage(seed),
            signals,
            stops,
            grace: ms(rng.u64(..60)),
            shim: None,
        }
    }

    /// The earliest moment of SIGKILL after SIGTERM.
    pub fn kill_after(&self) -> Duration {
        let longest = self.classes.iter().map(|c| c.wait).max().unwrap_or_default();
        longest.min(LONGEST_WAIT) + KILL_MARGIN
    }

    /// A replica's row of the list.
    pub fn row(&self, number: usize, at: SocketAddr, leaves: bool) -> String {
        let of = &self.replicas[number];
        let state = if leaves { "leaving" } else { "active" };
        json!({"id": format!("s-{number}"), "addr": at, "zone": zone(of.zone), "kind": "k", "cell": of.cell,
            "state": state, "weight": 1.0, "started_ms": 0})
        .to_string()
    }

    /// The router's configuration, its classes moved on by so many places.
    pub fn configuration(&self, listen: SocketAddr, list: SocketAddr, moved: usize) -> Value {
        let mut classes = self.classes.clone();
        classes.rotate_left(moved % self.classes.len());
        let class = |c: &Class| {
            let (effect, group, window) = match c.effect {
                Effect::Pure => ("pure", "all", Duration::ZERO),
                Effect::SideEffect => ("side_effect", "all", Duration::ZERO),
                Effect::Token(Group::All, window) => ("token", "all", window),
                Effect::Token(Group::Zone, window) => ("token", "zone", window),
                Effect::Token(Group::Cell, window) => ("token", "cell", window),
            };
            json!({"Name": c.name, "Effect": effect, "Group": group, "WindowNs": window.as_nanos() as u64,
                "DeadlineNs": c.wait.as_nanos() as u64, "GoalTimeNs": c.wait.as_nanos() as u64 / 3, "Worth": 1.0})
        };
        json!({
            "name": "n0", "listen": listen, "discovery": list, "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "peers": [],
            "settings": {
                "Discovery": "on_request", "Family": "llm", "FamilyInfo": {"Resume": self.resume},
                "Kinds": ["k"], "Zones": [zone(0), zone(1)], "Me": 0, "MyZone": 0, "ReplicasOfMe": self.routers,
                "Limits": {"Cancel": self.cancel, "ConnectTimeoutNs": 150_000_000u64, "IdleCloseNs": 5_000_000_000u64,
                    "MaxRetryAfterNs": 2_000_000_000u64, "MostHeld": 1000, "ParallelTries": self.parallel,
                    "Peers": false, "Probes": false, "RetryAfter": true, "TryLimit": self.try_limit},
                "Profiles": classes.iter().map(class).collect::<Vec<_>>(),
                "Report": {"Fields": [], "Via": "none"},
                "Rules": {"AnswerSlackNs": 16_000_000u64, "ColdNs": 1_000_000_000u64, "ColdShare": 0.5,
                    "MustAskInNs": 10_000_000_000u64},
                "Tenants": [{"Name": "t", "QuotaPerS": 100_000.0}],
            }
        })
    }
}

/// One plan in eight has a lull, some of them longer than connections may rest.
fn drawn_lull(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(40));
    if rng.u8(..8) == 0 {
        ms(rng.u64(500..4500))
    } else {
        Duration::ZERO
    }
}

/// One plan in four has an outage of the list.
fn drawn_outage(seed: u64) -> Option<(Duration, Duration)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(41));
    (rng.u8(..4) == 0).then(|| (ms(rng.u64(..1500)), ms(rng.u64(300..6000))))
}

fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

fn drawn_classes(rng: &mut fastrand::Rng, long: bool) -> Vec<Class> {
    let group = [Group::All, Group::Zone, Group::Cell][rng.usize(..3)];
    let window = ms(rng.u64(200..1500));
    let effects = [Effect::SideEffect, Effect::Token(group, window), Effect::Pure];
    let waits: &[u64] = if long { &[1200, 2400, 4000] } else { &[500, 800, 1200] };
    let class = |(n, effect)| Class { name: format!("c{n}"), effect, wait: ms(waits[rng.usize(..3)]) };
    effects.into_iter().enumerate().map(class).collect()
}

fn drawn_changes(rng: &mut fastrand::Rng, replicas: &[ReplicaPlan]) -> Vec<Change> {
    let count = rng.usize(..5);
    let change = |_| {
        let what = match rng.bool() {
            true => ChangeKind::Leaves,
            false => ChangeKind::Fails(ms(rng.u64(5..600))),
        };
        Change { at: ms(rng.u64(..2500)), replica: rng.usize(1..replicas.len()), what }
    };
    let mut changes: Vec<Change> = (0..count).map(change).collect();
    changes.sort_by_key(|c| c.at);
    changes
}

fn drawn_replica(rng: &mut fastrand::Rng, number: usize, all_hang: bool) -> ReplicaPlan {
    let serve = |rng: &mut fastrand::Rng| Behaviour::Serve {
        first: ms(rng.u64(1..120)),
        events: rng.u32(1..12),
        gap: ms(rng.u64(1..60)),
    };
    let mut behaviours: Vec<_> = (0..rng.usize(1..6)).map(|_| serve(rng)).collect();
    let troubles = [
        Behaviour::Hang,
        Behaviour::Decline,
        Behaviour::Error,
        Behaviour::Reset,
        Behaviour::BreakOff,
        Behaviour::SecondAnswer,
    ];
    behaviours.extend((0..rng.usize(..4)).map(|_| troubles[rng.usize(..troubles.len())]));
    ReplicaPlan {
        zone: number % 2,
        cell: number / 2,
        behaviours,
        hangs_after: (all_hang || rng.u8(..4) == 0).then(|| ms(rng.u64(..900))),
        idle_close: ms(rng.u64(50..4000)),
    }
}
