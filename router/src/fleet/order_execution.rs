//! Carries out the operators' orders, given to any router of the fleet: an order in, JSON out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tallypin_consensus::drain_lease::halt_is_effective;
use tallypin_consensus::fleet_state::{Command, FleetState, Rejection, ReleaseOrder};
use tallypin_consensus::replica_drains::MAX_REPLICA_DRAINS;
use tallypin_membership::RouterIndex;
use tokio::time::sleep;

use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::operator_orders::{FleetOrder, IdentifiedOrder};
use super::release_plan::{self, ReleaseRequest, WaveError};
use super::settings::FleetSettings;
use super::status_report::StatusReporter;
use super::submission::{CommandSubmitter, SubmitError};
use super::unix_ms;

/// How often the state is read until a halt is effective: an operator waits for it.
const HALT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an order is not done. The texts are what operators see.
#[derive(Debug, thiserror::Error)]
enum OrderFailure {
    #[error("the fleet has no router `{0}`, and no such model node is out by order")]
    UnknownName(String),
    #[error("{0}")]
    InvalidWaves(#[from] WaveError),
    #[error("{0}")]
    Rejected(#[from] Rejection),
    // A round that was cut off may be completed by the next one.
    #[error("no majority of the council answered in time; sent again under this id it runs at most once")]
    NoMajority,
    #[error("halted, but a leave given before may still be used; ask again")]
    HaltNotEffective,
    #[error("nothing is known yet")]
    NothingKnown,
}

impl From<SubmitError> for OrderFailure {
    fn from(error: SubmitError) -> OrderFailure {
        match error {
            SubmitError::Rejected(rejection) => OrderFailure::Rejected(rejection),
            SubmitError::NoMajority => OrderFailure::NoMajority,
        }
    }
}

/// Carries out orders at this router.
pub struct OrderExecutor {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// Draws the ids of orders that come without one.
    pub local: Rc<LocalRouter>,
    /// Has the commands agreed on.
    pub submitter: Rc<CommandSubmitter>,
    /// What is known to be agreed on.
    pub state: Rc<KnownState>,
    /// Forms the answers.
    pub reporter: StatusReporter,
}

impl OrderExecutor {
    /// Carries an order out; the answer that the operator gets. It comes when the order is agreed on, or when it is known
    /// that it is not.
    pub async fn execute(&self, order: IdentifiedOrder) -> Value {
        let id = order.id.unwrap_or_else(|| {
            let own = &self.settings.routers[usize::from(self.settings.own_index)];
            format!("{}-{:x}", own.name, self.local.random_id())
        });
        match self.carry_out(&id, &order.order).await {
            Ok(()) => match self.state.current() {
                Some(state) => self.reporter.report(&id, &state),
                None => self.failed(&id, &OrderFailure::NothingKnown),
            },
            Err(failure) => self.failed(&id, &failure),
        }
    }

    fn failed(&self, id: &str, failure: &OrderFailure) -> Value {
        let mut answer = json!({"done": false, "id": id, "why": failure.to_string()});
        if matches!(failure, OrderFailure::NoMajority) {
            answer["council"] = self.reporter.reachable_members().into();
        }
        answer
    }

    async fn carry_out(&self, id: &str, order: &FleetOrder) -> Result<(), OrderFailure> {
        let command = self.command(id, order)?;
        let ordered_at = Instant::now();
        let state = self.submitter.submit(&command).await?;
        match order {
            FleetOrder::Halt(_) => self.wait_for_halt(ordered_at, state).await,
            _ => Ok(()),
        }
    }

    fn command(&self, id: &str, order: &FleetOrder) -> Result<Command, OrderFailure> {
        let order_id = id.to_string();
        Ok(match order {
            FleetOrder::Status => Command::Read,
            FleetOrder::Drain(names) => {
                Command::Drain { order: order_id, routers: self.router_indices(names)? }
            }
            FleetOrder::Restore(names) if self.are_drained_replicas(names) => {
                Command::RestoreReplicas { order: order_id, replicas: names.clone() }
            }
            FleetOrder::Restore(names) => {
                Command::Restore { order: order_id, routers: self.router_indices(names)? }
            }
            FleetOrder::DrainReplicas(names, _) if names.len() > MAX_REPLICA_DRAINS => {
                return Err(Rejection::TooManyReplicas.into());
            }
            FleetOrder::DrainReplicas(names, time) => {
                let until = time.map(|time| unix_ms().saturating_add(time.as_millis() as u64));
                Command::DrainReplicas { order: order_id, replicas: names.clone(), until }
            }
            FleetOrder::Release(request) => Command::BeginRelease(self.release(order_id, request)?),
            FleetOrder::RollBack(cause) => Command::RollBack { order: order_id, cause: cause.clone() },
            FleetOrder::Halt(cause) => Command::Halt { order: order_id, cause: cause.clone() },
            FleetOrder::Resume => Command::Resume { order: order_id },
        })
    }

    fn release(&self, order: String, request: &ReleaseRequest) -> Result<ReleaseOrder, WaveError> {
        let ReleaseRequest { artifact, digest, waves, plan } = request.clone();
        let waves = release_plan::resolve_waves(&waves, &self.settings)?;
        Ok(ReleaseOrder { order, artifact, digest, waves, plan })
    }

    /// Whether all of these names are replicas that are drained, or to be, and none is a router.
    fn are_drained_replicas(&self, names: &[String]) -> bool {
        self.state.with(|state| {
            let drained = |id: &String| state.is_some_and(|state| state.replicas.contains_key(id));
            names.iter().all(|name| drained(name) && self.settings.index_of(name).is_none())
        })
    }

    fn router_indices(&self, names: &[String]) -> Result<Vec<RouterIndex>, OrderFailure> {
        let index = |name: &String| self.settings.index_of(name);
        names.iter().map(|name| index(name).ok_or_else(|| OrderFailure::UnknownName(name.clone()))).collect()
    }

    /// Waits until no drain can begin any more under a lease of before.
    async fn wait_for_halt(&self, ordered_at: Instant, mut state: FleetState) -> Result<(), OrderFailure> {
        let lease = &self.settings.lease;
        let longest = self.settings.order_timeout + lease.safe_expiry();
        while !halt_is_effective(lease, ordered_at.elapsed(), &state) {
            if ordered_at.elapsed() > longest {
                return Err(OrderFailure::HaltNotEffective);
            }
            sleep(HALT_POLL_INTERVAL).await;
            // Without an answer the time that a lease lasts is enough.
            if let Ok(newer) = self.submitter.submit(&Command::Read).await {
                state = newer;
            }
        }
        Ok(())
    }
}
