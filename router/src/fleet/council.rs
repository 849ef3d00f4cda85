//! Access of one router to the council: connections to the members, and the router's own acceptor if it is a member.

use std::cell::RefCell;
use std::rc::Rc;

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::register::{Acceptor, AcceptorReply, AcceptorRequest, MemberIndex, Proposal};
use tallypin_membership::RouterIndex;
use tokio::sync::mpsc;

use super::connection::CouncilConnection;
use super::local_router::LocalRouter;
use super::peer_table::PeerTable;
use super::tasks::TaskGroup;
use super::wire::{RemainingUse, Reply, Request, Response};

/// Answer of a member to an acceptor request.
#[derive(Debug, Clone)]
pub struct MemberAnswer {
    /// Reply of its acceptor.
    pub reply: AcceptorReply<FleetState>,
    /// Routers that the member considers out of service; `None` if it has not listened long enough to tell.
    pub out_of_service: Option<Vec<RouterIndex>>,
    /// For a read: the drained replicas and the routers that still use them.
    pub remaining_uses: Vec<RemainingUse>,
}

/// A request to one member, with the member's answer.
#[derive(Debug)]
pub struct CouncilAnswer {
    /// Index of the member.
    pub member: MemberIndex,
    /// The request that was sent.
    pub request: AcceptorRequest<FleetState>,
    /// The answer; `None` if the member did not reply or has no acceptor.
    pub answer: Option<MemberAnswer>,
}

/// The council. Vectors are indexed by member.
pub struct Council {
    local: Rc<LocalRouter>,
    /// Connection to each member; `None` for this router itself.
    connections: Vec<Option<CouncilConnection>>,
    /// Acceptor of this router; `None` if it is not a member.
    acceptor: RefCell<Option<Acceptor<FleetState>>>,
    peers: Rc<PeerTable>,
    tasks: Rc<TaskGroup>,
}

impl Council {
    /// Creates the council from the connections to its members.
    pub fn new(
        local: Rc<LocalRouter>,
        connections: Vec<Option<CouncilConnection>>,
        acceptor: Option<Acceptor<FleetState>>,
        peers: Rc<PeerTable>,
        tasks: Rc<TaskGroup>,
    ) -> Council {
        Council { local, connections, acceptor: RefCell::new(acceptor), peers, tasks }
    }

    /// Returns the number of members.
    pub fn size(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.size() / 2 + 1
    }

    /// Returns the connection to a member; `None` if the member is this router.
    pub fn connection(&self, member: usize) -> Option<&CouncilConnection> {
        self.connections[member].as_ref()
    }

    /// Returns whether a member replied to its last call; always true for this router.
    pub fn is_reachable(&self, member: usize) -> bool {
        self.connection(member).is_none_or(CouncilConnection::is_reachable)
    }

    /// Returns whether this router is a member.
    pub fn is_member(&self) -> bool {
        self.acceptor.borrow().is_some()
    }

    /// Returns whether this router is a member that has started and not joined yet.
    pub fn is_joining(&self) -> bool {
        self.acceptor.borrow().as_ref().is_some_and(|acceptor| !acceptor.joined())
    }

    /// Returns the state version that this member accepted last. It may be newer or older than the chosen version.
    pub fn accepted_version(&self) -> Option<u64> {
        let acceptor = self.acceptor.borrow();
        acceptor.as_ref().and_then(Acceptor::accepted).map(|value| value.state.version)
    }

    /// Makes this member's acceptor join the council if the chosen proposal contains its incarnation.
    pub fn join(&self, chosen: Proposal<FleetState>) {
        if let Some(acceptor) = self.acceptor.borrow_mut().as_mut() {
            acceptor.join(chosen);
        }
    }

    /// Returns the answer of this router's own acceptor; `None` if it is not a member.
    pub fn answer_locally(&self, request: AcceptorRequest<FleetState>) -> Option<MemberAnswer> {
        let is_read = request == AcceptorRequest::Read;
        let reply = self.acceptor.borrow_mut().as_mut()?.handle(request);
        let out_of_service = self.peers.out_of_service_vote(self.local.now());
        let remaining_uses = if is_read { self.remaining_uses() } else { vec![] };
        Some(MemberAnswer { reply, out_of_service, remaining_uses })
    }

    fn remaining_uses(&self) -> Vec<RemainingUse> {
        let acceptor = self.acceptor.borrow();
        let accepted = acceptor.as_ref().and_then(Acceptor::accepted);
        accepted.map_or(vec![], |value| self.peers.remaining_uses(self.local.now(), &value.state))
    }

    /// Sends a request to all members concurrently. The receiver yields each answer as it arrives and ends after the last.
    /// Requests that are pending when the receiver is dropped are still sent, so that a value accepted by a majority also
    /// reaches the other members.
    pub fn send_to_all(
        self: &Rc<Self>,
        request: &AcceptorRequest<FleetState>,
    ) -> mpsc::Receiver<CouncilAnswer> {
        let (sender, answers) = mpsc::channel(self.size().max(1));
        for member in 0..self.size() {
            let (council, request, sender) = (self.clone(), request.clone(), sender.clone());
            self.tasks.spawn(async move {
                let answer = council.send_to(member, request.clone()).await;
                let _ = sender.send(CouncilAnswer { member: member as MemberIndex, request, answer }).await;
            });
        }
        answers
    }

    async fn send_to(&self, member: usize, request: AcceptorRequest<FleetState>) -> Option<MemberAnswer> {
        let Some(connection) = self.connection(member) else {
            return self.answer_locally(request);
        };
        let call = self.local.next_call(Request::Acceptor(request), None);
        match connection.call(call).await {
            Some(Reply { response: Response::Acceptor(reply, out_of_service), remaining_uses, .. }) => {
                Some(MemberAnswer { reply, out_of_service, remaining_uses })
            }
            _ => None,
        }
    }
}
