//! Execution of operator orders, which any router of the fleet accepts. The answer is JSON.

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

/// Interval between reads of the state until a halt is effective. Short because an operator waits for the answer.
const HALT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an order failed. The texts are part of the answer to the operator.
#[derive(Debug, thiserror::Error)]
enum OrderFailure {
    #[error("the fleet has no router `{0}`, and no model node of that name is drained by an order")]
    UnknownName(String),
    #[error("{0}")]
    InvalidWaves(#[from] WaveError),
    #[error("{0}")]
    Rejected(#[from] Rejection),
    // An order without an answer of a majority may still take effect: a later round may complete an interrupted one.
    #[error(
        "no majority of the council answered in time; the order may be sent again under this id and runs at most once"
    )]
    NoMajority,
    #[error("halted, but a drain lease granted before may still be in use; send the order again to check")]
    HaltNotEffective,
    #[error("this router does not know a fleet state yet")]
    StateUnknown,
}

impl From<SubmitError> for OrderFailure {
    fn from(error: SubmitError) -> OrderFailure {
        match error {
            SubmitError::Rejected(rejection) => OrderFailure::Rejected(rejection),
            SubmitError::NoMajority => OrderFailure::NoMajority,
        }
    }
}

/// Executes orders at this router.
pub struct OrderExecutor {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// Generates the ids of orders that have none.
    pub local: Rc<LocalRouter>,
    /// Submits the commands to the council.
    pub submitter: Rc<CommandSubmitter>,
    /// The known fleet state.
    pub state: Rc<KnownState>,
    /// Builds the answers.
    pub reporter: StatusReporter,
}

impl OrderExecutor {
    /// Executes an order and returns the JSON answer for the operator. Returns when the order is chosen, rejected or timed
    /// out.
    pub async fn execute(&self, order: IdentifiedOrder) -> Value {
        let id = order.id.unwrap_or_else(|| {
            let own = &self.settings.routers[usize::from(self.settings.own_index)];
            format!("{}-{:x}", own.name, self.local.random_id())
        });
        match self.run_command(&id, &order.order).await {
            Ok(()) => match self.state.current() {
                Some(state) => self.reporter.report(&id, &state),
                None => self.failure_answer(&id, &OrderFailure::StateUnknown),
            },
            Err(failure) => self.failure_answer(&id, &failure),
        }
    }

    fn failure_answer(&self, id: &str, failure: &OrderFailure) -> Value {
        let mut answer = json!({"done": false, "id": id, "why": failure.to_string()});
        if matches!(failure, OrderFailure::NoMajority) {
            answer["council"] = self.reporter.reachable_members().into();
        }
        answer
    }

    async fn run_command(&self, id: &str, order: &FleetOrder) -> Result<(), OrderFailure> {
        let command = self.build_command(id, order)?;
        let ordered_at = Instant::now();
        let state = self.submitter.submit(&command).await?;
        match order {
            FleetOrder::Halt(_) => self.wait_for_halt(ordered_at, state).await,
            _ => Ok(()),
        }
    }

    fn build_command(&self, id: &str, order: &FleetOrder) -> Result<Command, OrderFailure> {
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
            FleetOrder::Release(request) => Command::BeginRelease(self.build_release(order_id, request)?),
            FleetOrder::RollBack(cause) => Command::RollBack { order: order_id, cause: cause.clone() },
            FleetOrder::Halt(cause) => Command::Halt { order: order_id, cause: cause.clone() },
            FleetOrder::Resume => Command::Resume { order: order_id },
        })
    }

    fn build_release(&self, order: String, request: &ReleaseRequest) -> Result<ReleaseOrder, WaveError> {
        let ReleaseRequest { artifact, digest, waves, plan } = request.clone();
        let waves = release_plan::resolve_waves(&waves, &self.settings)?;
        Ok(ReleaseOrder { order, artifact, digest, waves, plan })
    }

    /// Returns whether all names are replicas with an operator drain, requested or in effect, and none is a router.
    fn are_drained_replicas(&self, names: &[String]) -> bool {
        self.state.with(|state| {
            let is_drained = |id: &String| state.is_some_and(|state| state.replicas.contains_key(id));
            names.iter().all(|name| is_drained(name) && self.settings.index_of(name).is_none())
        })
    }

    fn router_indices(&self, names: &[String]) -> Result<Vec<RouterIndex>, OrderFailure> {
        let index = |name: &String| self.settings.index_of(name);
        names.iter().map(|name| index(name).ok_or_else(|| OrderFailure::UnknownName(name.clone()))).collect()
    }

    /// Waits until no drain can begin under a lease granted before the halt.
    async fn wait_for_halt(&self, ordered_at: Instant, mut state: FleetState) -> Result<(), OrderFailure> {
        let lease = &self.settings.lease;
        let max_wait = self.settings.order_timeout + lease.safe_expiry();
        while !halt_is_effective(lease, ordered_at.elapsed(), &state) {
            if ordered_at.elapsed() > max_wait {
                return Err(OrderFailure::HaltNotEffective);
            }
            sleep(HALT_POLL_INTERVAL).await;
            // If reads fail, the halt becomes effective when all earlier leases have expired.
            if let Ok(newer) = self.submitter.submit(&Command::Read).await {
                state = newer;
            }
        }
        Ok(())
    }
}
