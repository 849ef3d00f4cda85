//! What happens in a trial: changes of the list, routers that start again, and how discovery is to be reached.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::shim::SocketFaults;

/// A router counts as notified of a change at the latest this long after discovery had it and could be reached.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// How long clients wait for a first event.
pub(super) const CLIENT_DEADLINE: Duration = Duration::from_secs(2);

/// What a change of the list says of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It takes nothing new.
    Drains,
    /// It is no longer in the list.
    Removed,
}

/// A change of the list after which no router may send to a replica. All times count from the start of the trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// When.
    pub at: Duration,
    /// The replica, by its place in the list.
    pub replica: usize,
    /// What.
    pub kind: ChangeKind,
}

/// How routers are ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By SIGKILL.
    Killed,
    /// By SIGTERM, and by SIGKILL as soon as the protocol allows it.
    Terminated,
}

/// Routers that are ended at once, and start again with the list of their first configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restart {
    /// When.
    pub at: Duration,
    /// How many routers: the first ones in the order of a shuffle.
    pub routers: usize,
    /// How they are ended.
    pub end: End,
    /// They start again this long after their end.
    pub restart_after: Duration,
}

/// A new configuration, told to all routers by SIGHUP, has discovery at another address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// When the routers are told.
    pub at: Duration,
    /// So much later the former address takes no calls any more.
    pub former_ends_after: Duration,
    /// Its watches then say nothing more and stay open; else they are closed.
    pub former_falls_silent: bool,
}

/// What is wrong with discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It refuses each call with 503 for so long, and ends all watches.
    Down {
        /// From when on.
        at: Duration,
        /// For how long.
        length: Duration,
    },
    /// It has no room: it refuses each call with 503 for so long. Watches go on.
    Full {
        /// From when on.
        at: Duration,
        /// For how long.
        length: Duration,
    },
    /// All watches that are open then say nothing more, and stay open.
    WatchesFallSilent(Duration),
    /// All watches that are open then are closed.
    WatchesEnd(Duration),
    /// Calls of this time are taken and never answered.
    Hangs {
        /// From when on.
        at: Duration,
        /// For how long.
        length: Duration,
    },
    /// Of the answers, so many in a hundred stop in the middle of the list, and their connection stays open.
    Torn(u32),
    /// The same, but signs of life go on behind the half list.
    TornWithSigns(u32),
    /// All answers until then stop in the middle of the list.
    TornUntil(Duration),
}

/// What happens in a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Draws whatever the plan leaves open.
    pub seed: u64,
    /// How many routers.
    pub routers: usize,
    /// They may send each other messages.
    pub messages: bool,
    /// The longest that a router may go without a call for the list, by the settings.
    pub poll_interval: Duration,
    /// Discovery answers calls one after the other, each in this time.
    pub answer_time: Duration,
    /// Changes reach open watches after this.
    pub notice_delay: Duration,
    /// How many replicas there are.
    pub replicas: usize,
    /// Each router has an agent of its own, which has the list pushed to it and answers at once.
    pub pushed: bool,
    /// Messages on a watch have what changed; else the whole list.
    pub changes_only: bool,
    /// Routers that end and start again.
    pub restarts: Vec<Restart>,
    /// Discovery moves.
    pub moves: Option<Move>,
    /// What is wrong with discovery.
    pub troubles: Vec<Trouble>,
    /// Replicas that drain or are removed, in the order of their times.
    pub changes: Vec<Change>,
    /// Faults of the routers' system calls.
    pub faults: Option<SocketFaults>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Plan {
    /// The incident of 2026-12-03: routers that start before a discovery service that has room for a part of them at a
    /// time, a replica that drains, and a restart of most routers just behind that.
    pub fn crowded_restart(seed: u64) -> Plan {
        Plan {
            seed,
            routers: 44,
            messages: true,
            poll_interval: ms(10_000),
            answer_time: ms(150),
            notice_delay: ms(300),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts: vec![Restart {
                at: ms(3_200),
                routers: 26,
                end: End::Killed,
                restart_after: ms(1_000),
            }],
            moves: None,
            troubles: Vec::new(),
            changes: vec![drain(ms(3_150))],
            faults: None,
        }
    }

    /// The same cause in the shortest form: a fleet that starts while discovery has no room, and a replica that drains just
    /// then. All can be notified well within the time.
    pub fn refused_at_start(seed: u64) -> Plan {
        Plan {
            seed,
            routers: 24,
            messages: false,
            poll_interval: ms(14_000),
            answer_time: ms(10),
            notice_delay: ms(300),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts: Vec::new(),
            moves: None,
            troubles: vec![Trouble::Full { at: Duration::ZERO, length: ms(5_600) }],
            changes: vec![drain(ms(500))],
            faults: None,
        }
    }

    /// All routers are down while a replica drains, and the first answers after their start are torn.
    pub fn torn_after_restart(seed: u64) -> Plan {
        Plan {
            restarts: vec![Restart { at: ms(950), routers: 24, end: End::Killed, restart_after: ms(3_550) }],
            troubles: vec![Trouble::TornUntil(ms(6_200))],
            changes: vec![drain(ms(1_000))],
            ..Plan::refused_at_start(seed)
        }
    }

    /// Lists are pushed, a replica drains, and all routers are killed and start again behind that. Their agents answer one
    /// after the other, within 0.12 s.
    pub fn pushed_restart(seed: u64) -> Plan {
        Plan {
            pushed: true,
            answer_time: ms(5),
            notice_delay: Duration::ZERO,
            restarts: vec![Restart { at: ms(1_200), routers: 24, end: End::Killed, restart_after: ms(100) }],
            troubles: Vec::new(),
            changes: vec![drain(ms(600))],
            ..Plan::refused_at_start(seed)
        }
    }

    /// A plan drawn by a seed.
    pub fn drawn(seed: u64) -> Plan {
        let rng = &mut fastrand::Rng::with_seed(seed);
        let routers = rng.usize(1..33);
        let drains_at = ms(rng.u64(500..4_000));
        let restart = |rng: &mut fastrand::Rng| Restart {
            at: drains_at + ms(rng.u64(..400)),
            routers: rng.usize(1..=routers),
            end: End::Killed,
            restart_after: ms(rng.u64(100..1_500)),
        };
        let restarts = (0..rng.usize(..2)).map(|_| restart(rng)).collect();
        let troubles = (0..rng.usize(..3)).map(|_| drawn_trouble(rng, drains_at)).collect();
        Plan {
            seed,
            routers,
            messages: rng.u8(..3) > 0,
            poll_interval: ms(rng.u64(6_000..14_000)),
            // All are answered within 3 s or so, once they have called: nobody could do more than that.
            answer_time: ms(rng.u64(5..100) * 32 / routers.max(32) as u64),
            notice_delay: ms(rng.u64(50..2_500)),
            replicas: 3,
            pushed: false,
            changes_only: false,
            restarts,
            moves: None,
            troubles,
            changes: vec![drain(drains_at)],
            faults: None,
        }
    }

    /// A plan drawn by a seed in which several replicas drain or are removed, routers are told to end, and discovery moves.
    pub fn drawn_series(seed: u64) -> Plan {
        let mut plan = Plan::drawn(seed);
        let rng = &mut fastrand::Rng::with_seed(!seed);
        let first = plan.changes[0].at;
        plan.replicas = rng.usize(4..8);
        plan.changes_only = rng.bool();
        plan.changes = drawn_changes(rng, first, plan.replicas - 2);
        let restart = |rng: &mut fastrand::Rng| Restart {
            at: first + ms(rng.u64(..2_500)),
            routers: rng.usize(1..=plan.routers),
            end: if rng.u8(..3) == 0 { End::Killed } else { End::Terminated },
            restart_after: ms(rng.u64(..800)),
        };
        plan.restarts.extend((0..rng.usize(..3)).map(|_| restart(rng)));
        plan.restarts.sort_by_key(|restart| restart.at);
        plan.moves = rng.bool().then(|| Move {
            at: first + ms(rng.u64(..2_000)),
            former_ends_after: ms(rng.u64(..1_500)),
            former_falls_silent: rng.bool(),
        });
        plan
    }

    /// A plan drawn by a seed in which lists are pushed: several replicas drain or are removed, routers are restarted, and
    /// the agents are down for some time, or their watches end or fall silent.
    pub fn drawn_pushed(seed: u64) -> Plan {
        let mut plan = Plan::drawn_series(seed);
        let rng = &mut fastrand::Rng::with_seed(!seed.rotate_left(7));
        let first = plan.changes[0].at;
        (plan.pushed, plan.moves) = (true, None);
        (plan.answer_time, plan.notice_delay) = (Duration::ZERO, Duration::ZERO);
        let around = |rng: &mut fastrand::Rng| first + ms(rng.u64(..2_500));
        let trouble = |rng: &mut fastrand::Rng| match rng.u8(..3) {
            0 => Trouble::Down { at: around(rng), length: ms(rng.u64(100..3_000)) },
            1 => Trouble::WatchesEnd(around(rng)),
            _ => Trouble::WatchesFallSilent(around(rng)),
        };
        plan.troubles = (0..rng.usize(..3)).map(|_| trouble(rng)).collect();
        plan
    }

    /// From when on every router counts as notified of a change.
    pub fn notified_at(&self, change: &Change) -> Duration {
        if self.pushed {
            return self.pushed_at(change);
        }
        self.reachable_after(change.at).max(change.at) + NOTIFICATION_LIMIT
    }

    /// When the outages that cover a time have ended; zero if there are none.
    fn reachable_after(&self, time: Duration) -> Duration {
        let ends = self.troubles.iter().filter_map(|trouble| match *trouble {
            Trouble::Down { at, length } | Trouble::Hangs { at, length }
                if (at..at + length).contains(&time) =>
            {
                Some(at + length)
            }
            _ => None,
        });
        ends.max().unwrap_or_default()
    }

    /// When the agents have a change, which counts as notification then; and the limit after a silence, where watches that
    /// were open miss it.
    fn pushed_at(&self, change: &Change) -> Duration {
        let silences = self.troubles.iter().filter_map(|trouble| match *trouble {
            Trouble::WatchesFallSilent(at) if at <= change.at => Some(at + NOTIFICATION_LIMIT),
            _ => None,
        });
        silences.max().unwrap_or_default().max(self.reachable_after(change.at)).max(change.at)
    }

    /// A process that starts while its agent is down learns nothing until then: it counts as notified of what is older when
    /// the agent returns.
    pub fn agent_returns_after(&self, started_at: Duration) -> Duration {
        if self.pushed {
            self.reachable_after(started_at)
        } else {
            Duration::ZERO
        }
    }

    /// When every router counts as notified of every change.
    pub fn all_notified_at(&self) -> Duration {
        self.changes.iter().map(|change| self.notified_at(change)).max().unwrap_or_default()
    }

    /// A router's configuration.
    pub(super) fn configuration(
        &self,
        number: usize,
        front: SocketAddr,
        list: SocketAddr,
        peers: &[SocketAddr],
        rows: &[Value],
    ) -> Value {
        let nanos = |time: Duration| time.as_nanos() as u64;
        json!({
            "name": format!("n{number}"), "listen": front, "discovery": list,
            "seed": format!("{:x}", self.seed * 1_000 + number as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "peer_listen": peers[number], "peers": peers,
            "known": {"version": 0, "full": true, "servers": rows},
            "settings": {
                "Discovery": if self.pushed { "pushed" } else { "on_request" }, "Family": "llm", "FamilyInfo": {"Resume": true},
                "Kinds": ["k"], "Zones": ["a"], "Me": number, "MyZone": 0, "ReplicasOfMe": self.routers,
                "Limits": {"Cancel": true, "ConnectTimeoutNs": 150_000_000u64, "IdleCloseNs": 5_000_000_000u64,
                    "MaxRetryAfterNs": 2_000_000_000u64, "MostHeld": 1000, "ParallelTries": true,
                    "Peers": self.messages, "Probes": false, "RetryAfter": true, "TryLimit": 2},
                "Profiles": [{"Name": "chat", "Effect": "pure", "DeadlineNs": nanos(CLIENT_DEADLINE),
                    "GoalTimeNs": 1_000_000_000u64, "Worth": 1.0}],
                "Report": {"Fields": [], "Via": "none"},
                "Rules": {"AnswerSlackNs": 16_000_000u64, "ColdNs": 1_000_000_000u64, "ColdShare": 0.5,
                    "MustAskInNs": nanos(self.poll_interval)},
                "Tenants": [{"Name": "t", "QuotaPerS": 100_000.0}],
            }
        })
    }
}

/// The first replica drains.
fn drain(at: Duration) -> Change {
    Change { at, replica: 0, kind: ChangeKind::Drains }
}

/// Changes of up to so many replicas, the first one at this time; some that drain are removed later.
fn drawn_changes(rng: &mut fastrand::Rng, first: Duration, replicas: usize) -> Vec<Change> {
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

fn drawn_trouble(rng: &mut fastrand::Rng, drains_at: Duration) -> Trouble {
    let around = |rng: &mut fastrand::Rng| (drains_at + ms(rng.u64(..1_000))).saturating_sub(ms(500));
    match rng.u8(..7) {
        0 => Trouble::Down { at: around(rng), length: ms(rng.u64(500..4_000)) },
        1 => Trouble::WatchesFallSilent(around(rng)),
        2 => Trouble::WatchesEnd(around(rng)),
        3 => Trouble::Hangs { at: around(rng), length: ms(rng.u64(500..2_500)) },
        4 => Trouble::Full { at: around(rng), length: ms(rng.u64(500..4_500)) },
        5 => Trouble::Torn(rng.u32(5..40)),
        _ => Trouble::TornWithSigns(rng.u32(5..40)),
    }
}
