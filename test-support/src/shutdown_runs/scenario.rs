//! The scenario of a run: settings, replicas, clients, signals and faults of system calls.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::fault_injection::SocketFaults;

/// The effect of running a request of a class twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running it twice has no effect.
    Pure,
    /// The replicas of the group drop repeats within this window.
    Token(Group, Duration),
    /// The effect happens once more.
    SideEffect,
}

/// The set of replicas that drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All replicas.
    All,
    /// The replicas of one zone.
    Zone,
    /// The replicas of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Effect of running a request twice.
    pub effect: Effect,
    /// Time within which clients expect the first event.
    pub deadline: Duration,
}

/// How a replica handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// Streams a response.
    Serve {
        /// Time before the first event, varied by up to half.
        first_event_after: Duration,
        /// Number of further events.
        events: u32,
        /// Interval between events.
        gap: Duration,
    },
    /// Accepts the request and sends nothing until the connection ends.
    Hang,
    /// Declines the request before running it.
    Decline,
    /// Responds with status 500.
    Error,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection after the first event.
    CloseMidStream,
    /// Responds, and some milliseconds later sends an unsolicited response that declines.
    SecondResponse,
}

/// A replica: its place, its behaviours, and when it hangs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaScenario {
    /// Zone of the replica.
    pub zone: usize,
    /// Cell of the replica.
    pub cell: usize,
    /// Behaviours, chosen uniformly for each request.
    pub behaviours: Vec<ReplicaBehaviour>,
    /// Time after SIGTERM from which the replica accepts requests and never responds.
    pub hangs_after: Option<Duration>,
    /// Time after which the replica closes idle connections.
    pub idle_close: Duration,
}

/// An event at a replica; times count from the first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// When it happens.
    pub at: Duration,
    /// Index of the replica.
    pub replica: usize,
    /// What happens.
    pub kind: ChangeKind,
}

/// The kind of an event at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The endpoint list shows the replica as draining.
    Drains,
    /// The replica closes all its connections, and every new one for this long.
    Fails(Duration),
}

/// A signal to the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Signal {
    /// Signal option of `kill`.
    pub name: &'static str,
    /// Time after the first SIGTERM at which it is sent.
    pub after: Duration,
}

/// What happens in a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub parallel_attempts: bool,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    /// Whether clients request the rest of a broken stream.
    pub resume: bool,
    /// Number of routers in the settings.
    pub router_count: u32,
    /// The replicas.
    pub replicas: Vec<ReplicaScenario>,
    /// Events at replicas, in order of time.
    pub changes: Vec<Change>,
    /// Whether the configuration changes with each SIGHUP: the order of its classes, and the address of the replica
    /// list.
    pub reloads: bool,
    /// Number of clients that send requests.
    pub clients: usize,
    /// Number of clients that connect and send nothing.
    pub idle_clients: usize,
    /// Time from the first request to SIGTERM, without the idle period.
    pub load_time: Duration,
    /// Length of the period without new requests in the middle of `load_time`.
    pub idle_period: Duration,
    /// Outage of the endpoint list: its start after the first request, and its length.
    pub list_outage: Option<(Duration, Duration)>,
    /// Signals after SIGTERM.
    pub signals: Vec<Signal>,
    /// Pauses of the router by SIGSTOP and SIGCONT: start after SIGTERM, and length.
    pub pauses: Vec<(Duration, Duration)>,
    /// Delay of SIGKILL after the earliest moment that the protocol allows.
    pub kill_delay: Duration,
    /// Faults of system calls on sockets.
    pub socket_faults: Option<SocketFaults>,
}

/// Longest deadline that delays SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time between that deadline and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Scenario {
    /// The reported incident: a single router whose replicas, from SIGTERM on, accept requests and never respond.
    pub fn hanging_replicas(seed: u64) -> Scenario {
        let class = |name: &str, effect| Class { name: name.into(), effect, deadline: ms(1200) };
        let answer = ReplicaBehaviour::Serve { first_event_after: ms(5), events: 3, gap: ms(5) };
        let replica = |cell| ReplicaScenario {
            zone: 0,
            cell,
            behaviours: vec![answer],
            hangs_after: Some(ms(700)),
            idle_close: ms(5000),
        };
        Scenario {
            seed,
            classes: vec![
                class("pure", Effect::Pure),
                class("side", Effect::SideEffect),
                class("cell", Effect::Token(Group::Cell, ms(5000))),
                class("all", Effect::Token(Group::All, ms(5000))),
            ],
            max_attempts: 4,
            parallel_attempts: true,
            cancel: true,
            resume: true,
            router_count: 1,
            replicas: (0..4).map(replica).collect(),
            changes: Vec::new(),
            reloads: false,
            clients: 24,
            idle_clients: 0,
            load_time: ms(500),
            idle_period: Duration::ZERO,
            list_outage: None,
            signals: Vec::new(),
            pauses: Vec::new(),
            kill_delay: Duration::ZERO,
            socket_faults: None,
        }
    }

    /// Returns the random scenario of a seed.
    pub fn random(seed: u64) -> Scenario {
        let rng = &mut fastrand::Rng::with_seed(seed);
        let long_deadlines = rng.u8(..6) == 0;
        let classes = random_classes(rng, long_deadlines);
        let replicas = rng.usize(3..8);
        let all_hang = rng.u8(..3) == 0;
        let replicas: Vec<_> = (0..replicas).map(|n| random_replica(rng, n, all_hang)).collect();
        let signals = (0..rng.usize(..5))
            .map(|_| Signal { name: ["-TERM", "-HUP", "-INT"][rng.usize(..3)], after: ms(rng.u64(1..1500)) });
        let signals = signals.collect();
        let pauses =
            (0..rng.usize(..3) * rng.usize(..2)).map(|_| (ms(rng.u64(..2500)), ms(rng.u64(20..140))));
        let pauses = pauses.collect();
        Scenario {
            seed,
            classes,
            max_attempts: rng.u32(1..5),
            parallel_attempts: rng.bool(),
            cancel: rng.u8(..4) > 0,
            resume: rng.u8(..4) > 0,
            router_count: rng.u32(1..4),
            changes: random_changes(rng, &replicas),
            replicas,
            reloads: rng.bool(),
            clients: rng.usize(8..48),
            idle_clients: if rng.u8(..4) == 0 { rng.usize(50..400) } else { 0 },
            load_time: ms(rng.u64(150..900)),
            idle_period: random_idle_period(seed),
            list_outage: random_list_outage(seed),
            signals,
            pauses,
            kill_delay: ms(rng.u64(..60)),
            socket_faults: None,
        }
    }

    /// Returns the earliest time of SIGKILL after SIGTERM.
    pub fn kill_after(&self) -> Duration {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        longest.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// Returns a replica's row of the endpoint list.
    pub fn row(&self, number: usize, at: SocketAddr, draining: bool) -> String {
        let replica = &self.replicas[number];
        let state = if draining { "leaving" } else { "active" };
        json!({"id": format!("s-{number}"), "addr": at, "zone": zone(replica.zone), "kind": "k", "cell": replica.cell,
            "state": state, "weight": 1.0, "started_ms": 0})
        .to_string()
    }

    /// Returns the router's configuration with its classes rotated by `rotation` places.
    pub fn configuration(&self, listen: SocketAddr, list: SocketAddr, rotation: usize) -> Value {
        let mut classes = self.classes.clone();
        classes.rotate_left(rotation % self.classes.len());
        let class = |c: &Class| {
            let (effect, group, window) = match c.effect {
                Effect::Pure => ("pure", "all", Duration::ZERO),
                Effect::SideEffect => ("side_effect", "all", Duration::ZERO),
                Effect::Token(Group::All, window) => ("token", "all", window),
                Effect::Token(Group::Zone, window) => ("token", "zone", window),
                Effect::Token(Group::Cell, window) => ("token", "cell", window),
            };
            json!({"Name": c.name, "Effect": effect, "Group": group, "WindowNs": window.as_nanos() as u64,
                "DeadlineNs": c.deadline.as_nanos() as u64, "GoalTimeNs": c.deadline.as_nanos() as u64 / 3, "Worth": 1.0})
        };
        json!({
            "name": "n0", "listen": listen, "discovery": list, "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "peers": [],
            "settings": {
                "Discovery": "on_request", "Family": "llm", "FamilyInfo": {"Resume": self.resume},
                "Kinds": ["k"], "Zones": [zone(0), zone(1)], "Me": 0, "MyZone": 0, "ReplicasOfMe": self.router_count,
                "Limits": {"Cancel": self.cancel, "ConnectTimeoutNs": 150_000_000u64, "IdleCloseNs": 5_000_000_000u64,
                    "MaxRetryAfterNs": 2_000_000_000u64, "MostHeld": 1000, "ParallelTries": self.parallel_attempts,
                    "Peers": false, "Probes": false, "RetryAfter": true, "TryLimit": self.max_attempts},
                "Profiles": classes.iter().map(class).collect::<Vec<_>>(),
                "Report": {"Fields": [], "Via": "none"},
                "Rules": {"AnswerSlackNs": 16_000_000u64, "ColdNs": 1_000_000_000u64, "ColdShare": 0.5,
                    "MustAskInNs": 10_000_000_000u64},
                "Tenants": [{"Name": "t", "QuotaPerS": 100_000.0}],
            }
        })
    }
}

/// Returns the idle period: one scenario in eight has one, in some of them longer than connections may stay idle.
fn random_idle_period(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(40));
    if rng.u8(..8) == 0 {
        ms(rng.u64(500..4500))
    } else {
        Duration::ZERO
    }
}

/// Returns the outage of the endpoint list that one scenario in four has.
fn random_list_outage(seed: u64) -> Option<(Duration, Duration)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(41));
    (rng.u8(..4) == 0).then(|| (ms(rng.u64(..1500)), ms(rng.u64(300..6000))))
}

fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

fn random_classes(rng: &mut fastrand::Rng, long_deadlines: bool) -> Vec<Class> {
    let group = [Group::All, Group::Zone, Group::Cell][rng.usize(..3)];
    let window = ms(rng.u64(200..1500));
    let effects = [Effect::SideEffect, Effect::Token(group, window), Effect::Pure];
    let deadlines_ms: &[u64] = if long_deadlines { &[1200, 2400, 4000] } else { &[500, 800, 1200] };
    let class =
        |(n, effect)| Class { name: format!("c{n}"), effect, deadline: ms(deadlines_ms[rng.usize(..3)]) };
    effects.into_iter().enumerate().map(class).collect()
}

fn random_changes(rng: &mut fastrand::Rng, replicas: &[ReplicaScenario]) -> Vec<Change> {
    let count = rng.usize(..5);
    let change = |_| {
        let kind = match rng.bool() {
            true => ChangeKind::Drains,
            false => ChangeKind::Fails(ms(rng.u64(5..600))),
        };
        Change { at: ms(rng.u64(..2500)), replica: rng.usize(1..replicas.len()), kind }
    };
    let mut changes: Vec<Change> = (0..count).map(change).collect();
    changes.sort_by_key(|c| c.at);
    changes
}

fn random_replica(rng: &mut fastrand::Rng, number: usize, all_hang: bool) -> ReplicaScenario {
    let serve = |rng: &mut fastrand::Rng| ReplicaBehaviour::Serve {
        first_event_after: ms(rng.u64(1..120)),
        events: rng.u32(1..12),
        gap: ms(rng.u64(1..60)),
    };
    let mut behaviours: Vec<_> = (0..rng.usize(1..6)).map(|_| serve(rng)).collect();
    let faults = [
        ReplicaBehaviour::Hang,
        ReplicaBehaviour::Decline,
        ReplicaBehaviour::Error,
        ReplicaBehaviour::Close,
        ReplicaBehaviour::CloseMidStream,
        ReplicaBehaviour::SecondResponse,
    ];
    behaviours.extend((0..rng.usize(..4)).map(|_| faults[rng.usize(..faults.len())]));
    ReplicaScenario {
        zone: number % 2,
        cell: number / 2,
        behaviours,
        hangs_after: (all_hang || rng.u8(..4) == 0).then(|| ms(rng.u64(..900))),
        idle_close: ms(rng.u64(50..4000)),
    }
}
