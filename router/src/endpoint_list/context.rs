//! What the watch of the endpoint list needs of its router.

use std::cell::RefCell;
use std::rc::Rc;

use tallypin::deployment::Deployment;

use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list_state::EndpointListState;
use crate::limits::Limits;
use crate::replica::ReplicaPool;

/// What the watch of the endpoint list needs of its router.
pub struct EndpointListContext {
    /// Zones and kinds by name, and how lists come.
    pub deployment: Rc<Deployment>,
    /// Sizes and times of calls.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// Notified of which replicas there are, and where.
    pub replicas: Rc<ReplicaPool>,
    /// Notified of what has changed.
    pub dispatcher: Rc<Dispatcher>,
    /// Where the list is, and when it was last heard.
    pub state: Rc<EndpointListState>,
    /// Spreads the calls of many routers.
    pub random: RefCell<fastrand::Rng>,
}
