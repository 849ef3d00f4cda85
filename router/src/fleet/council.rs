//! The council as one router reaches it: connections to its members, and this router's own acceptor if it is one.

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
use super::wire::{NotClearReplica, Reply, Request, Response};

/// What a member answers to a request for its acceptor.
#[derive(Debug, Clone)]
pub struct MemberAnswer {
    /// Of its acceptor.
    pub reply: AcceptorReply<FleetState>,
    /// The routers that it takes to be out of service; `None`: it can't tell.
    pub out_of_service: Option<Vec<RouterIndex>>,
    /// To a read: the drained replicas and who still uses them.
    pub not_clear: Vec<NotClearReplica>,
}

/// A member's answer with what it answers to; `None`: it did not answer, or has no acceptor.
#[derive(Debug)]
pub struct CouncilAnswer {
    /// The member.
    pub member: MemberIndex,
    /// What it was asked.
    pub request: AcceptorRequest<FleetState>,
    /// What it answers.
    pub answer: Option<MemberAnswer>,
}

/// The council. All vectors are by member.
pub struct Council {
    local: Rc<LocalRouter>,
    /// `None` for this router itself.
    connections: Vec<Option<CouncilConnection>>,
    /// `None`: this router is no member.
    acceptor: RefCell<Option<Acceptor<FleetState>>>,
    peers: Rc<PeerTable>,
    tasks: Rc<TaskGroup>,
}

impl Council {
    /// The council behind these connections.
    pub fn new(
        local: Rc<LocalRouter>,
        connections: Vec<Option<CouncilConnection>>,
        acceptor: Option<Acceptor<FleetState>>,
        peers: Rc<PeerTable>,
        tasks: Rc<TaskGroup>,
    ) -> Council {
        Council { local, connections, acceptor: RefCell::new(acceptor), peers, tasks }
    }

    /// How many members it has.
    pub fn size(&self) -> usize {
        self.connections.len()
    }

    /// As many members are a majority.
    pub fn majority(&self) -> usize {
        self.size() / 2 + 1
    }

    /// The connection to a member; `None`: it is this router.
    pub fn connection(&self, member: usize) -> Option<&CouncilConnection> {
        self.connections[member].as_ref()
    }

    /// Whether a member answered its last call; this router always does.
    pub fn is_reachable(&self, member: usize) -> bool {
        self.connection(member).is_none_or(CouncilConnection::is_reachable)
    }

    /// Whether this router is a member.
    pub fn is_member(&self) -> bool {
        self.acceptor.borrow().is_some()
    }

    /// Whether this router is a member that has restarted and takes no part yet.
    pub fn is_joining(&self) -> bool {
        self.acceptor.borrow().as_ref().is_some_and(|acceptor| !acceptor.joined())
    }

    /// The version that this member accepted last: at times newer than what is agreed on, at times older.
    pub fn accepted_version(&self) -> Option<u64> {
        let acceptor = self.acceptor.borrow();
        acceptor.as_ref().and_then(Acceptor::accepted).map(|value| value.state.version)
    }

    /// Lets this member take part again, if a proposal that was agreed on names its incarnation.
    pub fn join(&self, chosen: Proposal<FleetState>) {
        if let Some(acceptor) = self.acceptor.borrow_mut().as_mut() {
            acceptor.join(chosen);
        }
    }

    /// This member's own answer; `None`: it is no member.
    pub fn answer_locally(&self, request: AcceptorRequest<FleetState>) -> Option<MemberAnswer> {
        let is_read = request == AcceptorRequest::Read;
        let reply = self.acceptor.borrow_mut().as_mut()?.handle(request);
        let out_of_service = self.peers.out_of_service_vote(self.local.now());
        let not_clear = if is_read { self.replicas_not_clear() } else { vec![] };
        Some(MemberAnswer { reply, out_of_service, not_clear })
    }

    fn replicas_not_clear(&self) -> Vec<NotClearReplica> {
        let acceptor = self.acceptor.borrow();
        let accepted = acceptor.as_ref().and_then(Acceptor::accepted);
        accepted.map_or(vec![], |value| self.peers.replicas_not_clear(self.local.now(), &value.state))
    }

    /// Asks all members at once; their answers as they come, and then the end. Requests that are out when the receiver is
    /// dropped still reach their members: a value that a majority has accepted goes on to the others.
    pub fn ask_all(self: &Rc<Self>, request: &AcceptorRequest<FleetState>) -> mpsc::Receiver<CouncilAnswer> {
        let (sender, answers) = mpsc::channel(self.size().max(1));
        for member in 0..self.size() {
            let (council, request, sender) = (self.clone(), request.clone(), sender.clone());
            self.tasks.spawn(async move {
                let answer = council.ask(member, request.clone()).await;
                let _ = sender.send(CouncilAnswer { member: member as MemberIndex, request, answer }).await;
            });
        }
        answers
    }

    async fn ask(&self, member: usize, request: AcceptorRequest<FleetState>) -> Option<MemberAnswer> {
        let Some(connection) = self.connection(member) else {
            return self.answer_locally(request);
        };
        let call = self.local.next_call(Request::Acceptor(request), None);
        match connection.call(call).await {
            Some(Reply { response: Response::Acceptor(reply, out_of_service), not_clear, .. }) => {
                Some(MemberAnswer { reply, out_of_service, not_clear })
            }
            _ => None,
        }
    }
}
