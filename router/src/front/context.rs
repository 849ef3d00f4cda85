//! What the fronts need of their router.

use std::rc::Rc;

use tallypin::deployment::Deployment;

use crate::body_budget::BodyBudget;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::outward::Outward;
use crate::replica::ReplicaPool;
use crate::request_ids::RequestIds;

/// What the fronts need of their router.
pub struct FrontContext {
    /// Classes and tenants by name, and deadlines.
    pub deployment: Rc<Deployment>,
    /// Sizes, counts and times of client connections.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// How far a shutdown has come.
    pub lifecycle: Rc<Lifecycle>,
    /// What balancers are told with ordinary answers, and whose connections carry a PROXY preface.
    pub outward: Rc<Outward>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The replicas: their dialect, and how many are ready.
    pub replicas: Rc<ReplicaPool>,
    /// Identifiers for requests whose clients give none.
    pub request_ids: Rc<RequestIds>,
    /// The memory for request bodies.
    pub body_budget: BodyBudget,
    /// Takes requests.
    pub dispatcher: Rc<Dispatcher>,
}
