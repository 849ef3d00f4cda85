//! The parts of the router that health checks and operators' orders use.

use std::rc::Rc;

use crate::balancer_interface::BalancerInterface;
use crate::clients::Clients;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list_state::EndpointListState;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::peers::Peers;
use crate::replica::ReplicaPool;

/// The parts of the router that health checks and operators' orders use.
pub struct CheckContext {
    /// The configured limits: sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Number of routers of the deployment.
    pub router_count: u32,
    /// The stage of a shutdown. A drain goes through the stages before the listeners close.
    pub lifecycle: Rc<Lifecycle>,
    /// The interface to balancers, with the PROXY protocol policy.
    pub balancer_interface: Rc<BalancerInterface>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The replicas, and the connections to them.
    pub replicas: Rc<ReplicaPool>,
    /// The other routers, if there are any.
    pub peers: Option<Rc<Peers>>,
    /// The state of the endpoint list, with the time of its last update.
    pub endpoint_list: Rc<EndpointListState>,
    /// The memory for request bodies.
    pub request_budget: MemoryBudget,
    /// The dispatcher, for the counts and views of the core.
    pub dispatcher: Rc<Dispatcher>,
}
