//! The components of one running router, created from its configuration. Only the tasks for start, reload, shutdown, status
//! and control by the fleet use all of them. The fronts, the checks and the connections get only the components they need.

use std::cell::RefCell;
use std::rc::Rc;

use tallypin::api::{Nanos, SettingsError};
use tallypin::deployment::Deployment;
use tokio::task::JoinSet;

use crate::balancer_interface::BalancerInterface;
use crate::checks::CheckContext;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::Config;
use crate::connections::Connections;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::{self, EndpointListContext};
use crate::endpoint_list_state::EndpointListState;
use crate::front::FrontContext;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::peers::{self, Peers};
use crate::replica::{self, ReplicaContext, ReplicaPool};
use crate::request_ids::RequestIds;

/// The components of one router.
pub struct Components {
    /// The settings of the deployment.
    pub deployment: Rc<Deployment>,
    /// The limits.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// The replicas and the connections to them.
    pub replicas: Rc<ReplicaPool>,
    /// The context of attempts and health checks.
    pub replica_context: Rc<ReplicaContext>,
    /// The context of the endpoint list's watch.
    pub endpoint_list: Rc<EndpointListContext>,
    /// The socket to the other routers, if there are any.
    pub peers: Option<Rc<Peers>>,
    /// The stage of the shutdown.
    pub lifecycle: Rc<Lifecycle>,
    /// The information for balancers that is added to ordinary answers.
    pub balancer_interface: Rc<BalancerInterface>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The identifiers of open and recent requests.
    pub request_ids: Rc<RequestIds>,
    /// The memory budget for requests.
    pub request_budget: MemoryBudget,
    /// The memory budget for the parts of answers that have not been written to their clients.
    pub answer_budget: MemoryBudget,
    /// The memory budget for input beyond the requests that are being answered.
    pub read_ahead_budget: MemoryBudget,
    /// The dispatcher, which runs the core.
    pub dispatcher: Rc<Dispatcher>,
    /// The background tasks of the router, which are aborted when this is dropped.
    tasks: RefCell<JoinSet<()>>,
}

impl Components {
    /// Creates the components from a configuration, for replicas that speak `dialect`. [`Components::start`] starts the tasks.
    ///
    /// # Errors
    /// Returns an error if the decision module rejects the settings.
    pub fn new(
        config: Config,
        dialect: Dialect,
        peers: Option<Peers>,
    ) -> Result<Rc<Components>, SettingsError> {
        let Config { seed, deployment, limits, endpoint_list_agent, .. } = config;
        let (deployment, limits, clock) = (Rc::new(deployment), Rc::new(limits), Clock::new());
        let (lifecycle, peers) = (Rc::new(Lifecycle::new()), peers.map(Rc::new));
        let list_state = Rc::new(EndpointListState::new(endpoint_list_agent, limits.list_silence_limit));
        let request_ids = Rc::new(RequestIds::new(seed, limits.max_remembered_requests));
        let replicas = Rc::new(ReplicaPool::new(dialect, &limits));
        let report_fields = deployment.report_field_names.clone();
        let answer_budget = MemoryBudget::new(limits.answer_budget);
        let replica_context = Rc::new(ReplicaContext::new(
            replicas.clone(),
            answer_budget.clone(),
            limits.clone(),
            clock,
            report_fields,
        ));
        let connections = Connections {
            replicas: replica_context.clone(),
            endpoint_list: list_state.clone(),
            peers: peers.clone(),
            lifecycle: lifecycle.clone(),
        };
        let executor = Box::new(connections);
        let dispatcher = Dispatcher::new(&deployment, &limits, seed, clock, request_ids.clone(), executor)?;
        let endpoint_list = Rc::new(EndpointListContext {
            deployment: deployment.clone(),
            limits: limits.clone(),
            clock,
            replicas: replicas.clone(),
            dispatcher: dispatcher.clone(),
            state: list_state,
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        Ok(Rc::new(Components {
            clients: Clients::new(limits.max_clients, limits.client_eviction_idle_time),
            request_budget: MemoryBudget::new(limits.request_budget),
            answer_budget,
            read_ahead_budget: MemoryBudget::new(limits.read_ahead_budget),
            balancer_interface: Rc::default(),
            tasks: RefCell::default(),
            deployment,
            limits,
            clock,
            replicas,
            replica_context,
            endpoint_list,
            peers,
            lifecycle,
            request_ids,
            dispatcher,
        }))
    }

    /// Calls `use_core` with the core and the current time, and carries out the resulting instructions.
    pub fn with_core<R>(&self, use_core: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        self.dispatcher.with_core(use_core)
    }

    /// Starts the background tasks: the core's timers, the receiver of messages of other routers, the endpoint list, and the
    /// closing of idle connections to replicas.
    pub fn start(&self) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.spawn_local(self.dispatcher.clone().run_timers());
        if let Some(peers) = self.peers.clone() {
            tasks.spawn_local(peers::receive_messages(peers, self.dispatcher.clone()));
        }
        tasks.spawn_local(endpoint_list::follow(self.endpoint_list.clone()));
        tasks.spawn_local(replica::close_idle_connections(self.replica_context.clone()));
    }

    /// Creates the context of the fronts.
    pub fn front_context(&self) -> Rc<FrontContext> {
        Rc::new(FrontContext {
            deployment: self.deployment.clone(),
            limits: self.limits.clone(),
            clock: self.clock,
            lifecycle: self.lifecycle.clone(),
            balancer_interface: self.balancer_interface.clone(),
            clients: self.clients.clone(),
            replicas: self.replicas.clone(),
            request_ids: self.request_ids.clone(),
            request_budget: self.request_budget.clone(),
            answer_budget: self.answer_budget.clone(),
            read_ahead_budget: self.read_ahead_budget.clone(),
            dispatcher: self.dispatcher.clone(),
        })
    }

    /// Creates the context of checks and operators' orders.
    pub fn check_context(&self) -> Rc<CheckContext> {
        Rc::new(CheckContext {
            limits: self.limits.clone(),
            router_count: self.deployment.decision_settings.router_count,
            lifecycle: self.lifecycle.clone(),
            balancer_interface: self.balancer_interface.clone(),
            clients: self.clients.clone(),
            replicas: self.replicas.clone(),
            peers: self.peers.clone(),
            endpoint_list: self.endpoint_list.state.clone(),
            request_budget: self.request_budget.clone(),
            dispatcher: self.dispatcher.clone(),
        })
    }
}
