//! Builds the components of a router's fleet agent and owns their tasks.

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

/// Why the fleet agent of a router can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The key file can't be read.
    #[error("fleet: {}: {source}", path.display())]
    KeyFile {
        /// Path of the key file.
        path: PathBuf,
        /// Error of reading the key file.
        source: io::Error,
    },
    /// The content of the key file is invalid.
    #[error("fleet: {}: {source}", path.display())]
    Keys {
        /// Path of the key file.
        path: PathBuf,
        /// Why its content is invalid.
        source: KeyFileError,
    },
    /// The fleet listener can't bind its address.
    #[error("fleet: {address}: {source}")]
    Bind {
        /// This router's fleet address.
        address: SocketAddr,
        /// Error of binding the address.
        source: io::Error,
    },
    /// An installed file that releases may replace can't be read.
    #[error("fleet: release: {0}")]
    ReleaseFile(#[source] FileError),
}

/// The fleet agent of a router. Dropping it aborts its tasks.
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

/// Components that the tasks of the agent share.
struct AgentComponents {
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
    /// Binds this router's fleet address and starts the tasks of the agent. Must run within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The key file is unreadable or invalid, the address can't be bound, or a releasable file can't be read.
    pub async fn start(
        settings: FleetSettings,
        control: Box<dyn RouterControl>,
    ) -> Result<Rc<FleetAgent>, StartError> {
        let keys = read_keys(&settings)?;
        let address = settings.routers[usize::from(settings.own_index)].address;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| StartError::Bind { address, source })?;
        let components = AgentComponents::new(settings, keys, control.into()).await?;
        components.start_tasks(listener);
        let (fleet, incarnation) = (&components.settings.name, components.local.incarnation());
        tracing::info!(target: "fleet", fleet, %address, incarnation, "fleet agent started");
        Ok(Rc::new(components.into_agent()))
    }

    /// Waits until the fleet state is known, at most for the order timeout. A router that serves earlier would send
    /// requests to drained replicas.
    pub async fn wait_for_first_state(&self) {
        self.state.wait_for_first_state(self.settings.order_timeout).await;
    }

    /// Executes an operator order and returns the JSON answer.
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

/// Returns a connection for each council member, by member index; `None` stands for this router.
fn council_connections(
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

/// Creates this router's acceptor with the state that an earlier incarnation stored; `None` if it is not a member.
async fn create_acceptor(settings: &FleetSettings, incarnation: Incarnation) -> Option<Acceptor<FleetState>> {
    settings.own_member_index()?;
    let stored = match settings.own_state_file() {
        Some(path) => persistence::read_stored(path, settings.name.clone()).await,
        None => None,
    };
    Some(Acceptor::new(incarnation).with_stored(stored))
}

impl AgentComponents {
    async fn new(
        settings: FleetSettings,
        keys: Keys,
        control: Rc<dyn RouterControl>,
    ) -> Result<AgentComponents, StartError> {
        let (settings, keys) = (Rc::new(settings), Rc::new(RefCell::new(keys)));
        let connections = council_connections(&settings, &keys, settings.reply_timeout);
        // Half of the order timeout leaves time to submit to a second member if the first does not reply.
        let command_connections = council_connections(&settings, &keys, settings.order_timeout / 2);
        let incarnation = incarnation::choose(&connections, settings.own_index).await;
        let acceptor = create_acceptor(&settings, incarnation).await;
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
            peers.clone(),
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
        Ok(AgentComponents {
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
