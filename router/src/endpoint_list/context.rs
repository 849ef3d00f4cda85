//! The shared state that the watch of the endpoint list uses.

use std::cell::RefCell;
use std::rc::Rc;

use tallypin::deployment::Deployment;

use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list_state::EndpointListState;
use crate::limits::Limits;
use crate::replica::ReplicaPool;

/// The shared state that the watch of the endpoint list uses.
pub struct EndpointListContext {
    /// The names of zones and kinds, and the mode of the endpoint list.
    pub deployment: Rc<Deployment>,
    /// The limits on the size and time of calls.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// The connection pool, which receives the replicas and their addresses.
    pub replicas: Rc<ReplicaPool>,
    /// The dispatcher, which receives the changes of the list.
    pub dispatcher: Rc<Dispatcher>,
    /// The address of the list, its version, and the time of its last message.
    pub state: Rc<EndpointListState>,
    /// Random numbers that spread the calls of many routers over time.
    pub random: RefCell<fastrand::Rng>,
}
