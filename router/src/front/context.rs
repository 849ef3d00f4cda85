//! The parts of the router that the fronts use.

use std::rc::Rc;

use tallypin::deployment::Deployment;

use crate::balancer_interface::BalancerInterface;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::replica::ReplicaPool;
use crate::request_ids::RequestIds;

/// The parts of the router that the fronts use.
pub struct FrontContext {
    /// Class and tenant names, and the deadlines of classes.
    pub deployment: Rc<Deployment>,
    /// Limits on the sizes, number and durations of client connections and requests.
    pub limits: Rc<Limits>,
    /// Converts instants to the time that decisions use.
    pub clock: Clock,
    /// The stage of a shutdown.
    pub lifecycle: Rc<Lifecycle>,
    /// The health header fields of ordinary responses, and the listeners that require a PROXY header.
    pub balancer_interface: Rc<BalancerInterface>,
    /// The open client connections.
    pub clients: Rc<Clients>,
    /// The replicas: their dialect, and the number of ready ones.
    pub replicas: Rc<ReplicaPool>,
    /// Generates identifiers for requests that carry none.
    pub request_ids: Rc<RequestIds>,
    /// The memory budget for requests.
    pub request_budget: MemoryBudget,
    /// The memory budget for the parts of answers that have not been written to their clients.
    pub answer_budget: MemoryBudget,
    /// The memory budget for input beyond the requests that are being answered.
    pub read_ahead_budget: MemoryBudget,
    /// Forwards requests to replicas.
    pub dispatcher: Rc<Dispatcher>,
}
