//! The configuration of a router in a scenario.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use super::scenario::{Scenario, CLIENT_DEADLINE};

impl Scenario {
    /// Returns a router's configuration.
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
                    "Peers": self.peer_messages, "Probes": false, "RetryAfter": true, "TryLimit": 2},
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
