//! The parts of one running router, put together from its configuration. Only the program's own tasks know all of them
//! (start, reload, shutdown, status, control by the fleet); the fronts, the checks and the connections each get what they
//! need.

use std::cell::RefCell;
use std::rc::Rc;

use tallypin::api::{Nanos, SettingsError};
use tallypin::deployment::Deployment;
use tokio::task::JoinSet;

use crate::body_budget::BodyBudget;
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
use crate::outward::Outward;
use crate::peers::{self, Peers};
use crate::replica::{self, ReplicaContext, ReplicaPool};
use crate::request_ids::RequestIds;

/// The parts of one router.
pub struct Components {
    /// The deployment.
    pub deployment: Rc<Deployment>,
    /// The limits.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// The replicas and the connections to them.
    pub replicas: Rc<ReplicaPool>,
    /// What attempts at replicas go by.
    pub replica_context: Rc<ReplicaContext>,
    /// What the watch of the endpoint list goes by.
    pub endpoint_list: Rc<EndpointListContext>,
    /// The other routers, if there are any to talk to.
    pub peers: Option<Rc<Peers>>,
    /// How far a shutdown has come.
    pub lifecycle: Rc<Lifecycle>,
    /// What balancers in front are told with ordinary answers.
    pub outward: Rc<Outward>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The identifiers of requests that are open or were of late.
    pub request_ids: Rc<RequestIds>,
    /// The memory for request bodies.
    pub body_budget: BodyBudget,
    /// The core, and the clients that wait for it.
    pub dispatcher: Rc<Dispatcher>,
    /// The tasks of the router beside its clients; dropped with it, they end.
    tasks: RefCell<JoinSet<()>>,
}

impl Components {
    /// The parts of a router by a configuration, with replicas of this dialect. Tasks run from [`Components::start`] on.
    ///
    /// # Errors
    /// If the settings cannot be decided by.
    pub fn new(
        config: Config,
        dialect: Dialect,
        peers: Option<Peers>,
    ) -> Result<Rc<Components>, SettingsError> {
        let Config { seed, deployment, limits, node_list, .. } = config;
        let (deployment, limits, clock) = (Rc::new(deployment), Rc::new(limits), Clock::new());
        let (lifecycle, peers) = (Rc::new(Lifecycle::new()), peers.map(Rc::new));
        let list_state = Rc::new(EndpointListState::new(node_list, limits.list_silence_limit));
        let request_ids = Rc::new(RequestIds::new(seed, limits.max_remembered_requests));
        let replicas = Rc::new(ReplicaPool::new(dialect, &limits));
        let report_fields = deployment.report_field_names.clone();
        let replica_context =
            Rc::new(ReplicaContext::new(replicas.clone(), limits.clone(), clock, report_fields));
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
            body_budget: BodyBudget::new(limits.body_budget),
            outward: Rc::default(),
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

    /// Does something with the core, now, and carries out what follows.
    pub fn with<R>(&self, use_core: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        self.dispatcher.with(use_core)
    }

    /// Starts what a router does beside its clients: timers, load reports of other routers, the endpoint list, and the end of
    /// idle connections to replicas.
    pub fn start(&self) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.spawn_local(self.dispatcher.clone().run_timers());
        if let Some(peers) = self.peers.clone() {
            tasks.spawn_local(peers::receive_gossip(peers, self.dispatcher.clone()));
        }
        tasks.spawn_local(endpoint_list::follow(self.endpoint_list.clone()));
        tasks.spawn_local(replica::close_idle_connections(self.replica_context.clone()));
    }

    /// What the fronts need.
    pub fn front_context(&self) -> Rc<FrontContext> {
        Rc::new(FrontContext {
            deployment: self.deployment.clone(),
            limits: self.limits.clone(),
            clock: self.clock,
            lifecycle: self.lifecycle.clone(),
            outward: self.outward.clone(),
            clients: self.clients.clone(),
            replicas: self.replicas.clone(),
            request_ids: self.request_ids.clone(),
            body_budget: self.body_budget.clone(),
            dispatcher: self.dispatcher.clone(),
        })
    }

    /// What checks and operators' orders need.
    pub fn check_context(&self) -> Rc<CheckContext> {
        Rc::new(CheckContext {
            limits: self.limits.clone(),
            router_count: self.deployment.decisions.router_count,
            lifecycle: self.lifecycle.clone(),
            outward: self.outward.clone(),
            clients: self.clients.clone(),
            replicas: self.replicas.clone(),
            peers: self.peers.clone(),
            endpoint_list: self.endpoint_list.state.clone(),
            body_budget: self.body_budget.clone(),
            dispatcher: self.dispatcher.clone(),
        })
    }
}
