//! Carries out the core's instructions on the router's connections: attempts and health checks of replicas, the watch of the
//! endpoint list, and messages to the other routers.

use std::rc::Rc;

use tallypin::api::{PeerId, ReplicaId};
use tokio::task::AbortHandle;

use crate::dispatcher::{AttemptStart, Dispatcher, Executor};
use crate::endpoint_list_state::EndpointListState;
use crate::lifecycle::{Lifecycle, Stage};
use crate::peers::Peers;
use crate::replica::{self, Attempt, ReplicaContext};

/// The connections of one router.
pub struct Connections {
    /// The context of attempts and health checks.
    pub replicas: Rc<ReplicaContext>,
    /// The state of the endpoint list's watch.
    pub endpoint_list: Rc<EndpointListState>,
    /// The socket to the other routers, if there are any.
    pub peers: Option<Rc<Peers>>,
    /// The stage of the shutdown.
    pub lifecycle: Rc<Lifecycle>,
}

impl Executor for Connections {
    fn start_attempt(&self, dispatcher: &Rc<Dispatcher>, attempt: AttemptStart) -> AbortHandle {
        tracing::debug!(target: "node", request = attempt.request.0, attempt = attempt.attempt,
            replica = %self.replicas.pool.name(attempt.replica), list_version = self.endpoint_list.version(),
            list_unheard_ms = self.endpoint_list.time_since_activity().as_millis() as u64, "attempt started");
        let attempt = Attempt::new(self.replicas.clone(), dispatcher.clone(), attempt);
        tokio::task::spawn_local(attempt.run()).abort_handle()
    }

    fn probe(&self, dispatcher: &Rc<Dispatcher>, replica: ReplicaId) {
        tokio::task::spawn_local(replica::probe(self.replicas.clone(), dispatcher.clone(), replica));
    }

    fn watch_endpoints(&self) {
        self.endpoint_list.request_poll();
    }

    fn send_report(&self, report: &[u8]) {
        // A router whose listeners are closed sends no load report: other routers must not count on it.
        if let Some(peers) = self.peers.as_ref().filter(|_| self.lifecycle.stage() < Stage::Closing) {
            peers.gossip(report);
        }
    }

    fn send_to_peer(&self, peer: PeerId, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send_to(peer, bytes);
        }
    }
}
