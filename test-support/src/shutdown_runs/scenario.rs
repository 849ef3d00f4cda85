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

impl ReplicaBehaviour {
    /// The same behaviour with answers that take `factor` times as long.
    pub(super) fn slowed_by(self, factor: u32) -> ReplicaBehaviour {
        match self {
            ReplicaBehaviour::Serve { first_event_after, events, gap } => ReplicaBehaviour::Serve {
                first_event_after: first_event_after * factor,
                events,
                gap: gap * factor,
            },
            other => other,
        }
    }
}

/// A replica: its place, its behaviours, and when it hangs or becomes slower.
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
    /// Factor by which the replica's answers are slower from SIGTERM on; 1 if it stays as fast.
    pub slowdown: u32,
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
    /// One request in this many is written in two parts with a pause between them.
    pub slow_writes_one_in: u8,
    /// Upper bound of that pause.
    pub max_write_pause: Duration,
    /// Number of bytes of further requests that some clients send at once before they leave; 0 for none.
    pub max_sent_ahead: usize,
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

/// Upper bounds of the longest answer of any replica; one event carries one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongestAnswer {
    /// Number of tokens.
    pub tokens: u32,
    /// Time between two tokens.
    pub token_interval: Duration,
}

/// Bytes that clients send ahead in random scenarios: more than the system passes on to a router that does not read.
pub(super) const MAX_SENT_AHEAD: usize = 500_000;
/// One request in this many is written slowly, unless a scenario says otherwise.
pub(super) const SLOW_WRITES_ONE_IN: u8 = 12;
/// Upper bound of the pause in a slow write.
pub(super) const MAX_WRITE_PAUSE: Duration = Duration::from_millis(700);
/// The same for scenarios with long pauses: a router allows 2.5 s for reading a request.
pub(super) const LONG_MAX_WRITE_PAUSE: Duration = Duration::from_millis(2000);
/// Largest factor by which a replica becomes slower.
pub(super) const MAX_SLOWDOWN: u32 = 8;
/// Longest deadline that delays SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time between that deadline and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);

pub(super) fn ms(ms: u64) -> Duration {
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
            slowdown: 1,
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
            slow_writes_one_in: SLOW_WRITES_ONE_IN,
            max_write_pause: MAX_WRITE_PAUSE,
            max_sent_ahead: 0,
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

    /// Clients that write slowly into the shutdown, and cannot resume an answer that the kill cuts.
    pub fn slow_writers(seed: u64) -> Scenario {
        let answer = ReplicaBehaviour::Serve { first_event_after: ms(20), events: 100, gap: ms(30) };
        let replica = |cell| ReplicaScenario {
            zone: 0,
            cell,
            behaviours: vec![answer],
            hangs_after: None,
            slowdown: 1,
            idle_close: ms(5000),
        };
        Scenario {
            classes: vec![Class { name: "pure".into(), effect: Effect::Pure, deadline: ms(4000) }],
            resume: false,
            replicas: (0..4).map(replica).collect(),
            slow_writes_one_in: 2,
            max_write_pause: LONG_MAX_WRITE_PAUSE,
            ..Scenario::hanging_replicas(seed)
        }
    }

    /// The same clients, whose answers could end in time if one of the replicas did not become slower.
    pub fn slow_replica(seed: u64) -> Scenario {
        let answer = ReplicaBehaviour::Serve { first_event_after: ms(20), events: 20, gap: ms(30) };
        let mut scenario = Scenario::slow_writers(seed);
        for replica in &mut scenario.replicas {
            replica.behaviours = vec![answer];
        }
        scenario.replicas[0].slowdown = MAX_SLOWDOWN;
        (scenario.clients, scenario.slow_writes_one_in) = (80, 1);
        scenario
    }

    /// Returns the earliest time of SIGKILL after SIGTERM.
    pub fn kill_after(&self) -> Duration {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        longest.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// The longest answers that the replicas give.
    pub fn longest_answer(&self) -> LongestAnswer {
        let behaviours = self.replicas.iter().flat_map(|replica| &replica.behaviours);
        let streams = behaviours.filter_map(|behaviour| match *behaviour {
            ReplicaBehaviour::Serve { events, gap, .. } => Some((events, gap)),
            _ => None,
        });
        let none = LongestAnswer { tokens: 1, token_interval: ms(1) };
        streams.fold(none, |longest, (events, gap)| LongestAnswer {
            tokens: longest.tokens.max(events + 1),
            token_interval: longest.token_interval.max(gap),
        })
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
        let token_interval_ns = self.longest_answer().token_interval.as_nanos() as u64;
        json!({
            "name": "n0", "listen": listen, "discovery": list, "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "peers": [],
            "settings": {
                "Discovery": "on_request", "Family": "llm", "FamilyInfo": {"Resume": self.resume,
                    "TokenAimNs": vec![token_interval_ns; classes.len()]},
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

fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}
