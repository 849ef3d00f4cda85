//! The scenario of a run: changes of the endpoint list, router restarts, and how well discovery can be reached.

use std::time::Duration;

use crate::fault_injection::SocketFaults;

/// A router counts as notified of a change at most this long after discovery had the change and could be reached.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// Time within which clients expect the first event.
pub(super) const CLIENT_DEADLINE: Duration = Duration::from_secs(2);

/// The kind of a endpoint list change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The replica drains: it accepts no new requests.
    Drains,
    /// The replica is removed from the list.
    Removed,
}

/// A change of the endpoint list after which no router may send to the replica; times count from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// When it happens.
    pub at: Duration,
    /// Index of the replica in the list.
    pub replica: usize,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// How routers are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// By SIGKILL.
    Killed,
    /// By SIGTERM, followed by SIGKILL as soon as the protocol allows it.
    Terminated,
}

/// A simultaneous stop of several routers, which start again with the list of their first configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restart {
    /// When it happens.
    pub at: Duration,
    /// Number of routers: the first ones of a random order.
    pub routers: usize,
    /// How they are stopped.
    pub stop: Stop,
    /// Time from the stop to the next start.
    pub downtime: Duration,
}

/// A move of discovery to another address, which all routers learn from a new configuration and SIGHUP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryMove {
    /// When the routers get SIGHUP.
    pub at: Duration,
    /// Time from SIGHUP until the former address stops accepting calls.
    pub former_ends_after: Duration,
    /// Whether watches at the former address then stay open without messages; otherwise they are closed.
    pub former_falls_silent: bool,
}

/// Faults of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Discovery cannot be reached: each call is closed without an answer, and all watches end.
    Down {
        /// Start of the fault.
        at: Duration,
        /// Length of the fault.
        length: Duration,
    },
    /// Discovery is at capacity: it refuses each call with 503. Watches go on.
    AtCapacity {
        /// Start of the fault.
        at: Duration,
        /// Length of the fault.
        length: Duration,
    },
    /// At this time all open watches stop sending messages and stay open.
    WatchesFallSilent(Duration),
    /// At this time all open watches are closed.
    WatchesEnd(Duration),
    /// Calls are accepted and never answered.
    Hangs {
        /// Start of the fault.
        at: Duration,
        /// Length of the fault.
        length: Duration,
    },
    /// This percentage of answers stops in the middle of the list; the connection stays open.
    Truncated(u32),
    /// Like `Truncated`, but heartbeats follow the first half of the list.
    TruncatedWithHeartbeats(u32),
    /// All answers until this time stop in the middle of the list.
    TruncatedUntil(Duration),
}

/// What happens in a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Whether routers may exchange messages.
    pub peer_messages: bool,
    /// Longest time between two list calls of a router, from the settings.
    pub poll_interval: Duration,
    /// Time in which discovery answers a call; calls are answered one after the other.
    pub answer_time: Duration,
    /// Delay of changes on open watches.
    pub notice_delay: Duration,
    /// Number of replicas.
    pub replicas: usize,
    /// Whether each router has its own agent, which has the list pushed to it and answers at once.
    pub pushed: bool,
    /// Whether a call that names a version gets only what changed since, rather than the whole list.
    pub changes_only: bool,
    /// Router restarts, in order of time.
    pub restarts: Vec<Restart>,
    /// Move of discovery to another address.
    pub discovery_move: Option<DiscoveryMove>,
    /// Faults of discovery.
    pub faults: Vec<Fault>,
    /// Changes of the endpoint list, in order of time.
    pub changes: Vec<Change>,
    /// Faults of the routers' system calls.
    pub socket_faults: Option<SocketFaults>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Scenario {
    /// The incident of 2026-12-03: routers start against a discovery service that can answer only some of them at
    /// a time, a replica drains, and most routers are restarted right after that.
    pub fn crowded_restart(seed: u64) -> Scenario {
        Scenario {
            seed,
            routers: 44,
            peer_messages: true,
            poll_interval: ms(10_000),
            answer_time: ms(150),
            notice_delay: ms(300),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts: vec![Restart { at: ms(3_200), routers: 26, stop: Stop::Killed, downtime: ms(1_000) }],
            discovery_move: None,
            faults: Vec::new(),
            changes: vec![drain(ms(3_150))],
            socket_faults: None,
        }
    }

    /// The shortest scenario with the cause of the incident of 2026-12-03 (see `crowded_restart`): a fleet starts
    /// while discovery is at capacity, and a replica drains meanwhile. All routers can be notified of the drain well
    /// within the notification limit, 6 s after it.
    pub fn refused_at_start(seed: u64) -> Scenario {
        Scenario {
            seed,
            routers: 24,
            peer_messages: false,
            poll_interval: ms(14_000),
            answer_time: ms(10),
            notice_delay: ms(300),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts: Vec::new(),
            discovery_move: None,
            faults: vec![Fault::AtCapacity { at: Duration::ZERO, length: ms(5_600) }],
            changes: vec![drain(ms(500))],
            socket_faults: None,
        }
    }

    /// All watches end while discovery is at capacity, and a replica drains; no router hears of it in time. Routers that go on
    /// sending are late.
    pub fn turned_away(seed: u64) -> Scenario {
        Scenario {
            routers: 8,
            faults: vec![
                Fault::WatchesEnd(ms(1_000)),
                Fault::AtCapacity { at: ms(1_000), length: Duration::from_secs(60) },
            ],
            changes: vec![drain(ms(1_500))],
            ..Scenario::refused_at_start(seed)
        }
    }

    /// All routers are down while a replica drains, and the first answers after their start are truncated.
    pub fn truncated_after_restart(seed: u64) -> Scenario {
        Scenario {
            restarts: vec![Restart { at: ms(950), routers: 24, stop: Stop::Killed, downtime: ms(3_550) }],
            faults: vec![Fault::TruncatedUntil(ms(6_200))],
            changes: vec![drain(ms(1_000))],
            ..Scenario::refused_at_start(seed)
        }
    }

    /// Lists are pushed, a replica drains, and then all routers are killed and restarted. Their agents answer one
    /// after the other, within 0.12 s.
    pub fn pushed_restart(seed: u64) -> Scenario {
        Scenario {
            pushed: true,
            answer_time: ms(5),
            notice_delay: Duration::ZERO,
            restarts: vec![Restart { at: ms(1_200), routers: 24, stop: Stop::Killed, downtime: ms(100) }],
            faults: Vec::new(),
            changes: vec![drain(ms(600))],
            ..Scenario::refused_at_start(seed)
        }
    }

    /// Returns the random scenario of a seed.
    pub fn random(seed: u64) -> Scenario {
        let rng = &mut fastrand::Rng::with_seed(seed);
        let routers = rng.usize(1..33);
        let drain_at = ms(rng.u64(500..4_000));
        let random_restart = |rng: &mut fastrand::Rng| Restart {
            at: drain_at + ms(rng.u64(..400)),
            routers: rng.usize(1..=routers),
            stop: Stop::Killed,
            downtime: ms(rng.u64(100..1_500)),
        };
        let restarts = (0..rng.usize(..2)).map(|_| random_restart(rng)).collect();
        let faults = (0..rng.usize(..3)).map(|_| random_fault(rng, drain_at)).collect();
        Scenario {
            seed,
            routers,
            peer_messages: rng.u8(..3) > 0,
            poll_interval: ms(rng.u64(6_000..14_000)),
            // All calls are answered within about 3 s after they arrive, as no router could be notified faster.
            answer_time: ms(rng.u64(5..100) * 32 / routers.max(32) as u64),
            notice_delay: ms(rng.u64(50..2_500)),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts,
            discovery_move: None,
            faults,
            changes: vec![drain(drain_at)],
            socket_faults: None,
        }
    }

    /// Returns the random scenario of a seed with several drains, removals, SIGTERMs and a move of discovery.
    pub fn random_change_series(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let rng = &mut fastrand::Rng::with_seed(!seed);
        let first_change_at = scenario.changes[0].at;
        scenario.replicas = rng.usize(4..8);
        scenario.changes_only = rng.bool();
        scenario.changes = random_changes(rng, first_change_at, scenario.replicas - 2);
        let random_restart = |rng: &mut fastrand::Rng| Restart {
            at: first_change_at + ms(rng.u64(..2_500)),
            routers: rng.usize(1..=scenario.routers),
            stop: if rng.u8(..3) == 0 { Stop::Killed } else { Stop::Terminated },
            downtime: ms(rng.u64(..800)),
        };
        scenario.restarts.extend((0..rng.usize(..3)).map(|_| random_restart(rng)));
        scenario.restarts.sort_by_key(|restart| restart.at);
        scenario.discovery_move = rng.bool().then(|| DiscoveryMove {
            at: first_change_at + ms(rng.u64(..2_000)),
            former_ends_after: ms(rng.u64(..1_500)),
            former_falls_silent: rng.bool(),
        });
        scenario
    }

    /// Returns the random scenario of a seed in which lists are pushed: several replicas drain or are removed,
    /// routers are restarted, and the agents are down for some time, or their watches end or fall silent.
    pub fn random_pushed_lists(seed: u64) -> Scenario {
        let mut scenario = Scenario::random_change_series(seed);
        let rng = &mut fastrand::Rng::with_seed(!seed.rotate_left(7));
        let first_change_at = scenario.changes[0].at;
        (scenario.pushed, scenario.discovery_move) = (true, None);
        (scenario.answer_time, scenario.notice_delay) = (Duration::ZERO, Duration::ZERO);
        let time_around_changes = |rng: &mut fastrand::Rng| first_change_at + ms(rng.u64(..2_500));
        let random_fault = |rng: &mut fastrand::Rng| match rng.u8(..3) {
            0 => Fault::Down { at: time_around_changes(rng), length: ms(rng.u64(100..3_000)) },
            1 => Fault::WatchesEnd(time_around_changes(rng)),
            _ => Fault::WatchesFallSilent(time_around_changes(rng)),
        };
        scenario.faults = (0..rng.usize(..3)).map(|_| random_fault(rng)).collect();
        scenario
    }

    /// Returns the time from which every router counts as notified of a change.
    pub fn notified_at(&self, change: &Change) -> Duration {
        if self.pushed {
            return self.pushed_at(change);
        }
        self.outage_end(change.at).max(change.at) + NOTIFICATION_LIMIT
    }

    /// Returns the end of the outages that cover `time`; zero if there are none.
    fn outage_end(&self, time: Duration) -> Duration {
        let outage_ends = self.faults.iter().filter_map(|fault| match *fault {
            Fault::Down { at, length } | Fault::Hangs { at, length } if (at..at + length).contains(&time) => {
                Some(at + length)
            }
            _ => None,
        });
        outage_ends.max().unwrap_or_default()
    }

    /// Returns when the agents have a change, which counts as notification with pushed lists; after watches fall
    /// silent, the usual limit applies to those that were open and miss the change.
    fn pushed_at(&self, change: &Change) -> Duration {
        let limits_after_silence = self.faults.iter().filter_map(|fault| match *fault {
            Fault::WatchesFallSilent(at) if at <= change.at => Some(at + NOTIFICATION_LIMIT),
            _ => None,
        });
        limits_after_silence.max().unwrap_or_default().max(self.outage_end(change.at)).max(change.at)
    }

    /// Returns when the agent is back that was down at the start of a process; zero if it was up. Until then the
    /// process learns nothing, so it counts as notified of older changes at that time.
    pub fn agent_available_at(&self, started_at: Duration) -> Duration {
        if self.pushed {
            self.outage_end(started_at)
        } else {
            Duration::ZERO
        }
    }

    /// Returns when every router counts as notified of every change.
    pub fn all_notified_at(&self) -> Duration {
        self.changes.iter().map(|change| self.notified_at(change)).max().unwrap_or_default()
    }
}

/// Returns a drain of the first replica.
fn drain(at: Duration) -> Change {
    Change { at, replica: 0, kind: ChangeKind::Drains }
}

/// Returns random changes of up to `replicas` replicas, the first one at `first`; some replicas that drain are
/// removed later.
fn random_changes(rng: &mut fastrand::Rng, first: Duration, replicas: usize) -> Vec<Change> {
    let mut changes = Vec::new();
    for replica in 0..rng.usize(1..=replicas) {
        let at = if replica == 0 { first } else { first + ms(rng.u64(..3_000)) };
        let kind = if rng.u8(..3) == 0 { ChangeKind::Removed } else { ChangeKind::Drains };
        changes.push(Change { at, replica, kind });
        if kind == ChangeKind::Drains && rng.bool() {
            changes.push(Change { at: at + ms(rng.u64(50..2_000)), replica, kind: ChangeKind::Removed });
        }
    }
    changes.sort_by_key(|change| change.at);
    changes
}

fn random_fault(rng: &mut fastrand::Rng, drain_at: Duration) -> Fault {
    let time_around_changes =
        |rng: &mut fastrand::Rng| (drain_at + ms(rng.u64(..1_000))).saturating_sub(ms(500));
    match rng.u8(..7) {
        0 => Fault::Down { at: time_around_changes(rng), length: ms(rng.u64(500..4_000)) },
        1 => Fault::WatchesFallSilent(time_around_changes(rng)),
        2 => Fault::WatchesEnd(time_around_changes(rng)),
        3 => Fault::Hangs { at: time_around_changes(rng), length: ms(rng.u64(500..2_500)) },
        4 => Fault::AtCapacity { at: time_around_changes(rng), length: ms(rng.u64(500..4_500)) },
        5 => Fault::Truncated(rng.u32(5..40)),
        _ => Fault::TruncatedWithHeartbeats(rng.u32(5..40)),
    }
}
