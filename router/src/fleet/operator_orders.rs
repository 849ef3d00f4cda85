//! The operators' orders to the fleet, given to any of its routers: words in, JSON out.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tallypin_consensus::drain_lease::halt_is_effective;
use tallypin_consensus::fleet_state::{Command, DrainStage, FleetState, Rejection, ReleaseOrder};
use tallypin_consensus::release::ReleasePhase;
use tallypin_consensus::replica_drains::{ReplicaStage, MAX_REPLICA_DRAINS};
use tallypin_membership::RouterIndex;
use tokio::time::sleep;

use super::{now_ms, release_plan, FleetAgent, SubmitError};

/// A halt that is agreed on is looked at so often until it holds.
const HALT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Request is ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetOrder {
    /// To tell what is agreed on.
    Status,
    /// Routers are to go out, as many at a time as the bounds let.
    Drain(Vec<String>),
    /// Routers are to come back, or model nodes.
    Restore(Vec<String>),
    /// Model nodes are to go out, at most for so long.
    DrainReplicas(Vec<String>, Option<Duration>),
    /// A file is to be released.
    Release(Box<release_plan::ReleaseRequest>),
    /// The release is to be undone.
    RollBack(String),
    /// Nothing may begin to go out.
    Halt(String),
    /// It may again.
    Resume,
}

/// Reads the words behind `fleet`, with `id ID` in front of an order that may be sent again.
pub fn parse(words: &[&str]) -> Result<(Option<String>, FleetOrder), String> {
    let (id, words) = match words {
        ["id", id, rest @ ..] => (Some((*id).to_string()), rest),
        rest => (None, rest),
    };
    let names = |words: &[&str]| words.iter().map(ToString::to_string).collect::<Vec<_>>();
    let order = match words {
        ["status"] => FleetOrder::Status,
        ["drain"] => return Err("which routers?".into()),
        ["put-back"] => return Err("which routers, or which model nodes?".into()),
        ["take-out"] | ["take-out", "for", ..] => {
            return Err("which model nodes? `take-out NODE.. [for 30m]`".into())
        }
        ["take-out", nodes @ .., "for", time] => {
            FleetOrder::DrainReplicas(names(nodes), Some(duration(time)?))
        }
        ["take-out", nodes @ ..] => FleetOrder::DrainReplicas(names(nodes), None),
        ["release", json @ ..] => {
            let said = serde_json::from_str(&json.join(" ")).map_err(|e| format!("not a plan: {e}"))?;
            FleetOrder::Release(Box::new(said))
        }
        ["back"] => FleetOrder::RollBack("ordered".into()),
        ["back", cause @ ..] => FleetOrder::RollBack(cause.join(" ")),
        ["drain", routers @ ..] => FleetOrder::Drain(names(routers)),
        ["put-back", routers @ ..] => FleetOrder::Restore(names(routers)),
        ["halt"] => FleetOrder::Halt("ordered".into()),
        ["halt", cause @ ..] => FleetOrder::Halt(cause.join(" ")),
        ["resume"] => FleetOrder::Resume,
        _ => {
            let all = "fleet [id ID] status, drain ROUTER.., take-out NODE.. [for TIME], put-back ROUTER|NODE.., release \
                       PLAN, back [CAUSE], watch, halt [CAUSE], resume";
            return Err(format!("no such order; there are {all}"));
        }
    };
    Ok((id, order))
}

/// `90s`, `30m`, `2h`.
fn duration(word: &str) -> Result<Duration, String> {
    let kind = tallypin_settings_schema::Kind::Duration(1000, 7 * 24 * 3_600_000);
    match kind.read(word) {
        Some(tallypin_settings_schema::Value::Duration(d)) => Ok(d),
        _ => Err(format!("`{word}` is no time from 1s to 168h")),
    }
}

impl FleetAgent {
    /// Whether all of these names are model nodes that are out, or to go, by order.
    fn are_nodes(&self, names: &[String]) -> bool {
        let known = self.state.borrow();
        let out = |id: &String| known.as_ref().is_some_and(|d| d.replicas.contains_key(id));
        names.iter().all(|name| out(name) && self.settings.index_of(name).is_none())
    }

    /// Carries an order out. Answered when it is agreed on, or when it is known that it is not.
    pub async fn execute_order(self: &Rc<Self>, id: Option<String>, order: FleetOrder) -> Value {
        let id = id.unwrap_or_else(|| {
            format!("{}-{:x}", self.settings.routers[usize::from(self.settings.own_index)].name, {
                self.rng.borrow_mut().u64(..)
            })
        });
        let no = |why: String| json!({"done": false, "id": id, "why": why});
        let act = match &order {
            FleetOrder::Status => Command::Read,
            FleetOrder::Restore(names) if self.are_nodes(names) => {
                Command::RestoreReplicas { order: id.clone(), replicas: names.clone() }
            }
            FleetOrder::DrainReplicas(names, _) if names.len() > MAX_REPLICA_DRAINS => {
                return no(Rejection::TooManyReplicas.to_string())
            }
            FleetOrder::DrainReplicas(names, time) => {
                let until = time.map(|t| now_ms().saturating_add(t.as_millis() as u64));
                Command::DrainReplicas { order: id.clone(), replicas: names.clone(), until }
            }
            FleetOrder::Release(said) => {
                let waves = match release_plan::resolve_waves(&said.waves, &self.settings) {
                    Ok(waves) => waves,
                    Err(why) => return no(why),
                };
                Command::BeginRelease(ReleaseOrder {
                    order: id.clone(),
                    artifact: said.what.clone(),
                    digest: said.digest.clone(),
                    waves,
                    plan: said.plan.clone(),
                })
            }
            FleetOrder::RollBack(cause) => Command::RollBack { order: id.clone(), cause: cause.clone() },
            FleetOrder::Drain(names) | FleetOrder::Restore(names) => {
                let mut routers: Vec<RouterIndex> = Vec::new();
                for name in names {
                    match self.settings.index_of(name) {
                        Some(place) => routers.push(place),
                        None => {
                            return no(format!(
                                "the fleet has no router `{name}`, and no such model node is out by order"
                            ))
                        }
                    }
                }
                match order {
                    FleetOrder::Drain(_) => Command::Drain { order: id.clone(), routers },
                    _ => Command::Restore { order: id.clone(), routers },
                }
            }
            FleetOrder::Halt(cause) => Command::Halt { order: id.clone(), cause: cause.clone() },
            FleetOrder::Resume => Command::Resume { order: id.clone() },
        };
        let asked = Instant::now();
        let document = match self.submit(&act).await {
            Ok(document) => document,
            Err(SubmitError::Rejected(no)) => return json!({"done": false, "id": id, "why": no.to_string()}),
            Err(SubmitError::NoMajority) => {
                // Response as it is: a round that was cut off may be ended by the next one.
                return json!({"done": false, "id": id, "council": self.reachable_members(), "why":
                    "no majority of the council answered in time; sent again under this id it runs at most once"});
            }
        };
        if matches!(order, FleetOrder::Halt(_)) && !self.wait_until_halt_is_effective(asked, document).await {
            return json!({"done": false, "id": id, "why":
                "halted, but a leave given before may still be used; ask again"});
        }
        match self.state.borrow().as_ref() {
            Some(document) => self.status_report(&id, document),
            None => json!({"done": false, "id": id, "why": "nothing is known yet"}),
        }
    }

    /// Waits until nobody can begin to go out any more by a leave from before.
    async fn wait_until_halt_is_effective(self: &Rc<Self>, asked: Instant, mut document: FleetState) -> bool {
        let nanos = |d: Duration| d.as_nanos() as u64;
        let give_up = self.settings.order_timeout + Duration::from_nanos(self.settings.lease.safe_expiry());
        while !halt_is_effective(&self.settings.lease, nanos(asked.elapsed()), &document) {
            if asked.elapsed() > give_up {
                return false;
            }
            sleep(HALT_POLL_INTERVAL).await;
            match self.submit(&Command::Read).await {
                Ok(newer) => document = newer,
                // The time that a leave lasts is enough, whoever answers.
                Err(_) => continue,
            }
        }
        true
    }

    /// Members of the council that answered last.
    fn reachable_members(&self) -> Vec<&str> {
        let members =
            self.settings.council.iter().enumerate().filter(|(m, _)| self.reaches(*m)).map(|(_, p)| p);
        members.map(|&p| self.settings.routers[usize::from(p)].name.as_str()).collect()
    }

    fn status_report(&self, id: &str, document: &FleetState) -> Value {
        let name = |place: &RouterIndex| {
            self.settings.routers.get(usize::from(*place)).map_or("?", |r| r.name.as_str())
        };
        let stage = |stage: &DrainStage| match stage {
            DrainStage::Requested => "wanted",
            DrainStage::Leased(_) => "leave",
            DrainStage::OutOfService(_) => "out",
            DrainStage::Returning(_) => "back",
        };
        let entries: Vec<Value> = document
            .drains
            .iter()
            .map(|(place, e)| {
                let mut said = json!({"router": name(place), "stage": stage(&e.stage), "order": e.order});
                e.target_digest.iter().for_each(|to| said["to"] = to.as_str().into());
                said
            })
            .collect();
        let mut told = json!({
            "done": true, "id": id, "version": document.version, "halted": document.halted, "entries": entries,
            "bounds": {"all": self.settings.limits.total, "zone": self.settings.limits.per_zone},
            "council": self.reachable_members(), "spoilt": self.rejected_messages.get(),
        });
        let unclear = self.not_clear.borrow();
        let node = |(id, e): (&String, &tallypin_consensus::replica_drains::ReplicaEntry)| {
            let mut said = json!({"node": id, "order": e.order, "until_ms": e.until});
            match e.stage {
                ReplicaStage::Requested => said["stage"] = "wanted".into(),
                ReplicaStage::Restored(at) => (said["stage"], said["since_ms"]) = ("back".into(), at.into()),
                ReplicaStage::OutOfService(_) => {
                    let held = unclear.get(id);
                    said["stage"] = "out".into();
                    said["clear"] = held.is_some_and(|u| u.router_count == 0).into();
                    said["not_clear"] = held.map(|u| u.router_count).into();
                    said["first"] = held.map(|u| u.first_routers.iter().map(name).collect::<Vec<_>>()).into();
                }
            }
            said
        };
        told["nodes"] = document.replicas.iter().map(node).collect();
        if let Some(r) = &document.release {
            let (phase, cause) = match &r.phase {
                ReleasePhase::Running => ("running", None),
                ReleasePhase::Failed(why) => ("failed", Some(why)),
                ReleasePhase::RollingBack(why) => ("back", Some(why)),
                ReleasePhase::Done => ("done", None),
                ReleasePhase::RolledBack(why) => ("undone", Some(why)),
            };
            told["release"] = json!({
                "order": r.order, "what": r.artifact, "digest": r.digest, "phase": phase, "cause": cause,
                "wave": r.wave + 1, "waves": r.waves.len(), "runs_here": self.runs.get(&r.artifact),
            });
        }
        if self.acceptor.borrow().is_some() {
            // Request the others said last that they run, by digest.
            let mut runs: BTreeMap<String, usize> = BTreeMap::new();
            let all = self.reports.borrow();
            all.iter()
                .flatten()
                .filter_map(|(_, t)| t.running_digest.clone())
                .for_each(|d| *runs.entry(d).or_default() += 1);
            told["runs"] = json!(runs);
            told["out_here"] = self.locally_out_of_service().iter().map(name).collect();
        }
        told
    }
}

#[cfg(test)]
mod tests;
