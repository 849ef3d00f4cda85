//! Puts the parts of a router's fleet agent together, and owns their tasks.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::register::Acceptor;
use tallypin_membership::{Incarnation, RouterIndex};
use tokio::net::TcpListener;

use super::artifacts::Artifacts;
use super::bootstrap::CouncilJoin;
use super::connection::CouncilConnection;
use super::control::RouterControl;
use super::council::Council;
use super::heartbeat::HeartbeatSender;
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::operator_orders::IdentifiedOrder;
use super::order_execution::OrderExecutor;
use super::peer_table::PeerTable;
use super::proposer::CommandProposer;
use super::release_controller::ReleaseController;
use super::release_files::FileError;
use super::server::{FleetServer, RejectedMessages};
use super::settings::FleetSettings;
use super::state_follower::StateFollower;
use super::status_report::StatusReporter;
use super::submission::CommandSubmitter;
use super::tasks::TaskGroup;
use super::wire::{KeyFileError, Keys};
use super::{incarnation, key_reload, persistence};

/// Why a router can't take part in its fleet.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The key file can't be read.
    #[error("fleet: {}: {source}", path.display())]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The key file holds no keys.
    #[error("fleet: {}: {source}", path.display())]
    Keys {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyFileError,
    },
    /// Its address can't be listened on.
    #[error("fleet: {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// A file that a release may change can't be read.
    #[error("fleet: release: {0}")]
    ReleaseFile(#[source] FileError),
}

/// A router's part in its fleet. Its tasks are aborted when it is dropped.
pub struct FleetAgent {
    settings: Rc<FleetSettings>,
    state: Rc<KnownState>,
    orders: OrderExecutor,
    tasks: Rc<TaskGroup>,
}

impl Drop for FleetAgent {
    fn drop(&mut self) {
        self.tasks.abort_all();
    }
}

/// What the tasks share.
struct Parts {
    settings: Rc<FleetSettings>,
    keys: Rc<RefCell<Keys>>,
    control: Rc<dyn RouterControl>,
    artifacts: Rc<Artifacts>,
    local: Rc<LocalRouter>,
    peers: Rc<PeerTable>,
    council: Rc<Council>,
    proposer: Rc<CommandProposer>,
    submitter: Rc<CommandSubmitter>,
    state: Rc<KnownState>,
    rejected: Rc<RejectedMessages>,
    tasks: Rc<TaskGroup>,
}

impl FleetAgent {
    /// Binds this router's address and starts its tasks, within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The keys, the address or a file that a release may change can't be used.
    pub async fn start(
        settings: FleetSettings,
        control: Box<dyn RouterControl>,
    ) -> Result<Rc<FleetAgent>, StartError> {
        let keys = read_keys(&settings)?;
        let address = settings.routers[usize::from(settings.own_index)].address;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| StartError::Bind { address, source })?;
        let parts = Parts::new(settings, keys, control.into()).await?;
        parts.start_tasks(listener);
        let (fleet, incarnation) = (&parts.settings.name, parts.local.incarnation());
        tracing::info!(target: "fleet", fleet, %address, incarnation, "fleet agent started");
        Ok(Rc::new(parts.into_agent()))
    }

    /// Waits until the fleet state is known, or for as long as an order may take: a router that serves before would send
    /// to drained replicas.
    pub async fn wait_for_first_state(&self) {
        self.state.wait_for_first(self.settings.order_timeout).await;
    }

    /// Carries out an order; the answer that the operator gets.
    pub async fn execute_order(&self, order: IdentifiedOrder) -> Value {
        self.orders.execute(order).await
    }
}

fn read_keys(settings: &FleetSettings) -> Result<Keys, StartError> {
    let path = || settings.key_file.clone();
    let text = std::fs::read_to_string(&settings.key_file);
    let text = text.map_err(|source| StartError::KeyFile { path: path(), source })?;
    Keys::read(&settings.name, &text).map_err(|source| StartError::Keys { path: path(), source })
}

/// Connections to the members of the council; `None` for this router.
fn connect(
    settings: &FleetSettings,
    keys: &Rc<RefCell<Keys>>,
    call_timeout: Duration,
) -> Vec<Option<CouncilConnection>> {
    let connection = |router: &RouterIndex| {
        let address = settings.routers[usize::from(*router)].address;
        (*router != settings.own_index).then(|| CouncilConnection::start(address, keys.clone(), call_timeout))
    };
    settings.council.iter().map(connection).collect()
}

/// The acceptor of a router that starts, with what an earlier incarnation has stored; `None`: it is no member.
async fn acceptor(settings: &FleetSettings, incarnation: Incarnation) -> Option<Acceptor<FleetState>> {
    settings.own_member_index()?;
    let stored = match settings.own_state_file() {
        Some(path) => persistence::read_stored(path, settings.name.clone()).await,
        None => None,
    };
    Some(Acceptor::new(incarnation).with_stored(stored))
}

impl Parts {
    async fn new(
        settings: FleetSettings,
        keys: Keys,
        control: Rc<dyn RouterControl>,
    ) -> Result<Parts, StartError> {
        let (settings, keys) = (Rc::new(settings), Rc::new(RefCell::new(keys)));
        let connections = connect(&settings, &keys, settings.reply_timeout);
        // A second member can be tried within the time of an order.
        let command_connections = connect(&settings, &keys, settings.order_timeout / 2);
        let incarnation = incarnation::choose(&connections, settings.own_index).await;
        let acceptor = acceptor(&settings, incarnation).await;
        let artifacts = Artifacts::open(&settings.release_files, control.clone());
        let artifacts = Rc::new(artifacts.map_err(StartError::ReleaseFile)?);
        let tasks = Rc::new(TaskGroup::default());
        let local = Rc::new(LocalRouter::new(settings.own_index, incarnation));
        let peers = Rc::new(PeerTable::new(settings.heartbeat, settings.routers.len()));
        let council =
            Rc::new(Council::new(local.clone(), connections, acceptor, peers.clone(), tasks.clone()));
        let state = Rc::new(KnownState::new(control.clone()));
        let proposer = Rc::new(CommandProposer::new(
            settings.clone(),
            local.clone(),
            control.clone(),
            council.clone(),
            state.clone(),
        ));
        let submitter = Rc::new(CommandSubmitter::new(
            settings.clone(),
            local.clone(),
            council.clone(),
            proposer.clone(),
            state.clone(),
            command_connections,
        ));
        let rejected = Rc::default();
        Ok(Parts {
            settings,
            keys,
            control,
            artifacts,
            local,
            peers,
            council,
            proposer,
            submitter,
            state,
            rejected,
            tasks,
        })
    }

    fn start_tasks(&self, listener: TcpListener) {
        let (settings, tasks) = (&self.settings, &self.tasks);
        tasks.spawn(self.server().run(listener));
        tasks.spawn(self.heartbeat_sender().run());
        tasks.spawn(self.state_follower().run());
        tasks.spawn(key_reload::run(settings.key_file.clone(), settings.name.clone(), self.keys.clone()));
        if let Some(path) = settings.own_state_file() {
            tasks.spawn(persistence::store(path, settings.name.clone(), self.state.clone()));
        }
        if self.council.is_member() {
            tasks.spawn(self.council_join().run());
            tasks.spawn(self.release_controller().run());
            tasks.spawn(self.proposer.clone().run());
        }
    }

    fn server(&self) -> FleetServer {
        FleetServer {
            settings: self.settings.clone(),
            keys: self.keys.clone(),
            local: self.local.clone(),
            council: self.council.clone(),
            peers: self.peers.clone(),
            proposer: self.proposer.clone(),
            rejected: self.rejected.clone(),
            tasks: self.tasks.clone(),
        }
    }

    fn heartbeat_sender(&self) -> HeartbeatSender {
        HeartbeatSender {
            settings: self.settings.clone(),
            local: self.local.clone(),
            control: self.control.clone(),
            artifacts: self.artifacts.clone(),
            council: self.council.clone(),
            peers: self.peers.clone(),
            state: self.state.clone(),
            tasks: self.tasks.clone(),
        }
    }

    fn state_follower(&self) -> StateFollower {
        StateFollower::new(
            self.settings.clone(),
            self.local.clone(),
            self.control.clone(),
            self.artifacts.clone(),
            self.council.clone(),
            self.submitter.clone(),
            self.state.clone(),
        )
    }

    fn council_join(&self) -> CouncilJoin {
        CouncilJoin {
            settings: self.settings.clone(),
            local: self.local.clone(),
            council: self.council.clone(),
            proposer: self.proposer.clone(),
            submitter: self.submitter.clone(),
            state: self.state.clone(),
        }
    }

    fn release_controller(&self) -> ReleaseController {
        ReleaseController::new(
            self.settings.clone(),
            self.local.clone(),
            self.peers.clone(),
            self.state.clone(),
            self.submitter.clone(),
        )
    }

    fn into_agent(self) -> FleetAgent {
        let reporter = StatusReporter {
            settings: self.settings.clone(),
            local: self.local.clone(),
            council: self.council,
            peers: self.peers,
            artifacts: self.artifacts,
            submitter: self.submitter.clone(),
            rejected: self.rejected,
        };
        let orders = OrderExecutor {
            settings: self.settings.clone(),
            local: self.local,
            submitter: self.submitter,
            state: self.state.clone(),
            reporter,
        };
        FleetAgent { settings: self.settings, state: self.state, orders, tasks: self.tasks }
    }
}
