//! What checks and operators' orders need of their router.

use std::rc::Rc;

use crate::body_budget::BodyBudget;
use crate::clients::Clients;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list_state::EndpointListState;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::outward::Outward;
use crate::peers::Peers;
use crate::replica::ReplicaPool;

/// What checks and operators' orders need of their router.
pub struct CheckContext {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// How many routers the deployment has.
    pub router_count: u32,
    /// How far a shutdown has come; checks enter its stages up to the closing of the listeners.
    pub lifecycle: Rc<Lifecycle>,
    /// Whose connections carry a PROXY preface.
    pub outward: Rc<Outward>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The replicas and the connections to them.
    pub replicas: Rc<ReplicaPool>,
    /// The other routers, if there are any to talk to.
    pub peers: Option<Rc<Peers>>,
    /// When the endpoint list was last heard.
    pub endpoint_list: Rc<EndpointListState>,
    /// The memory for request bodies.
    pub body_budget: BodyBudget,
    /// Counts and views of the core.
    pub dispatcher: Rc<Dispatcher>,
}
