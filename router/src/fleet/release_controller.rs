//! Request members of the council ask for on behalf of all: the next wave of a release or its end, model nodes that are to go
//! out or whose time has come. Each member could; one asks first, the others after it, if it does not.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tallypin_consensus::fleet_state::{Command, FleetState};
use tallypin_consensus::release_monitor::{ReleaseMonitor, RouterReport};
use tallypin_consensus::replica_drains::ReplicaStage;
use tallypin_membership::{Nanos, RouterIndex};
use tokio::time::sleep;

use super::{now_ms, FleetAgent, SubmitError};

/// Beats between the turns of two members: guards against all that ask for the same at once and overtake each other.
const TURN_HEARTBEATS: u64 = 4;

impl FleetAgent {
    /// Ends never.
    pub(super) async fn control_releases(self: Rc<Self>) {
        let every = self.settings.heartbeat.interval;
        let place =
            self.settings.council.iter().position(|&p| p == self.settings.own_index).unwrap_or(0) as u64;
        let round = self.settings.council.len() as u64 * TURN_HEARTBEATS * every;
        let mut watch = ReleaseMonitor::default();
        // By what is wanted: when it is this member's turn to ask for it.
        let mut turns: BTreeMap<String, Nanos> = BTreeMap::new();
        loop {
            sleep(Duration::from_nanos(every)).await;
            let wanted = self.due_commands(&mut watch);
            turns.retain(|key, _| wanted.iter().any(|(k, _)| k == key));
            for (key, act) in wanted {
                let turn = *turns.entry(key.clone()).or_insert(self.now() + place * TURN_HEARTBEATS * every);
                if self.now() < turn {
                    continue;
                }
                turns.insert(key, self.now() + round);
                match self.submit(&act).await {
                    Ok(_) => tracing::info!(target: "fleet", ?act, "asked for, and agreed on"),
                    Err(SubmitError::Rejected(no)) => tracing::debug!(target: "fleet", ?act, %no, "not now"),
                    Err(SubmitError::NoMajority) => break,
                }
            }
        }
    }

    /// Request is to be asked for now, each with what it is known by.
    fn due_commands(&self, watch: &mut ReleaseMonitor) -> Vec<(String, Command)> {
        let now = self.now();
        let Some(document) = self.state.borrow().clone() else { return vec![] };
        let mut presence = self.failure_detector.borrow_mut();
        presence.note_clock(now);
        // One that was stopped knows nobody's silence, and would call a crash what is none.
        if !presence.can_detect_silence(now) {
            return vec![];
        }
        let told = self.reports.borrow();
        let heard = (0..).zip(told.iter()).map(|(place, told): (RouterIndex, _)| {
            let life = presence.live_peer(now, place)?.incarnation;
            let told = told.as_ref().filter(|(of, _)| *of == life);
            Some(RouterReport { incarnation: life, counts: told.map(|(_, t)| t.counts).unwrap_or_default() })
        });
        let heard: Vec<Option<RouterReport>> = heard.collect();
        let release = watch.next_command(now, &document, &self.settings.limits, &heard);
        let key =
            |act: &Command| if matches!(act, Command::FailWave(..)) { "fail" } else { "wave" }.to_string();
        let release = release.map(|act| (key(&act), act));
        release.into_iter().chain(nodes(&document)).collect()
    }
}

fn nodes(document: &FleetState) -> Vec<(String, Command)> {
    let now = now_ms();
    let due = document.replicas.iter().filter(|(_, e)| match e.stage {
        ReplicaStage::Requested => document.halted.is_none() || e.until.is_some_and(|at| now >= at),
        ReplicaStage::OutOfService(_) => e.until.is_some_and(|at| now >= at),
        ReplicaStage::Restored(_) => false,
    });
    due.map(|(id, _)| (format!("node {id}"), Command::AdvanceReplica(id.clone()))).collect()
}
