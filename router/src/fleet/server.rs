//! Server for the calls of other routers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tallypin_consensus::fleet_state::RouterIncarnation;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::council::{Council, MemberAnswer};
use super::local_router::LocalRouter;
use super::peer_table::{PeerTable, RejectedCall};
use super::proposer::CommandProposer;
use super::settings::FleetSettings;
use super::tasks::TaskGroup;
use super::wire::{
    self, Call, Direction, HeartbeatReport, Keys, MessageError, RemainingUse, Reply, Request, Response,
};

/// Pause after a failed accept. While file descriptors are exhausted, every accept fails at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);
/// Connections from each router: one for commands and one for other calls.
const CONNECTIONS_PER_ROUTER: usize = 2;
/// Connections allowed beyond those of all routers: a router that reconnects briefly has one more.
const SPARE_CONNECTIONS: usize = 2;

/// Why a connection was closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// The maximum number of connections is reached.
    #[error("too many connections")]
    TooMany,
    /// A message could not be read or written.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// A call has an unknown message version.
    #[error("the call has an unknown message version")]
    UnknownVersion,
    /// A call is from an unknown router or an earlier incarnation, or is a replay.
    #[error("{0}")]
    RejectedCall(#[from] RejectedCall),
    /// The peer sent no call within the silence limit: its process has ended, or it uses another connection.
    #[error("the connection was idle for the silence limit")]
    Idle,
}

impl ConnectionError {
    /// Returns whether the peer sent a message that no correct router of the fleet sends.
    fn is_rejection(&self) -> bool {
        match self {
            ConnectionError::Message(error) => error.kind() == std::io::ErrorKind::InvalidData,
            ConnectionError::Idle => false,
            ConnectionError::TooMany | ConnectionError::UnknownVersion | ConnectionError::RejectedCall(_) => {
                true
            }
        }
    }
}

/// Counts rejected messages and connections.
#[derive(Debug, Default)]
pub struct RejectedMessages {
    count: Cell<u64>,
}

impl RejectedMessages {
    /// Returns the number of rejected messages and connections.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts a rejection. It is logged only when the count is a power of two, so that senders outside the fleet can't
    /// fill the disk with log lines.
    fn record(&self, peer: SocketAddr, reason: &ConnectionError) {
        let count = self.count.get() + 1;
        self.count.set(count);
        if count.is_power_of_two() {
            tracing::warn!(target: "fleet", %peer, %reason, count, "fleet message rejected");
        }
    }
}

/// Answers the calls of other routers.
pub struct FleetServer {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// Keys of the fleet. They are replaced when the key file changes.
    pub keys: Rc<RefCell<Keys>>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// Answers acceptor requests.
    pub council: Rc<Council>,
    /// Records heartbeats and rejects replayed calls.
    pub peers: Rc<PeerTable>,
    /// Proposes submitted commands.
    pub proposer: Rc<CommandProposer>,
    /// Counts rejected messages and connections.
    pub rejected: Rc<RejectedMessages>,
    /// Owns the tasks of the connections.
    pub tasks: Rc<TaskGroup>,
}

/// A response, with the remaining uses of drained replicas if it answers a read.
struct Answer {
    response: Response,
    remaining_uses: Vec<RemainingUse>,
}

impl From<Response> for Answer {
    fn from(response: Response) -> Answer {
        Answer { response, remaining_uses: vec![] }
    }
}

impl FleetServer {
    /// Accepts connections. Never returns.
    pub async fn run(self, listener: TcpListener) {
        let max_connections = CONNECTIONS_PER_ROUTER * self.settings.routers.len() + SPARE_CONNECTIONS;
        let permits = Arc::new(Semaphore::new(max_connections));
        let server = Rc::new(self);
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                server.rejected.record(peer, &ConnectionError::TooMany);
                continue;
            };
            let task_server = server.clone();
            server.tasks.spawn(async move {
                if let Err(error) = task_server.serve(stream).await {
                    if error.is_rejection() {
                        task_server.rejected.record(peer, &error);
                    }
                }
                drop(permit);
            });
        }
    }

    /// Answers the calls of one connection in order, until a call is rejected or the connection ends.
    async fn serve(&self, mut stream: TcpStream) -> Result<(), ConnectionError> {
        stream.set_nodelay(true).map_err(MessageError::from)?;
        let idle_timeout = self.settings.heartbeat.silence_limit;
        loop {
            let read = timeout(idle_timeout, wire::read(&mut stream)).await;
            let bytes = read.map_err(|_| ConnectionError::Idle)??;
            let call: Call = self.keys.borrow().open(Direction::Call, &bytes)?;
            if call.version != wire::VERSION {
                return Err(ConnectionError::UnknownVersion);
            }
            let sequence = call.sequence;
            let Answer { response, remaining_uses } = self.answer(call).await?;
            let reply = Reply { version: wire::VERSION, sequence, response, remaining_uses };
            let bytes = self.keys.borrow().seal(Direction::Reply, &reply)?;
            wire::write(&mut stream, &bytes).await.map_err(MessageError::from)?;
        }
    }

    async fn answer(&self, call: Call) -> Result<Answer, ConnectionError> {
        self.peers.accept_call(&call)?;
        let Call { from, incarnation, request, report, .. } = call;
        match request {
            Request::Heartbeat(status) => {
                let report: HeartbeatReport = report.unwrap_or_default();
                self.peers.record_heartbeat(self.local.now(), from, incarnation, status, report);
                Ok(Response::HeartbeatReceived(self.council.accepted_version()).into())
            }
            Request::Acceptor(request) => {
                // A router without an acceptor rejects acceptor requests like other invalid calls.
                let answer = self.council.answer_locally(request).ok_or(RejectedCall)?;
                let MemberAnswer { reply, out_of_service, remaining_uses } = answer;
                Ok(Answer { response: Response::Acceptor(reply, out_of_service), remaining_uses })
            }
            // Waits until a round completes. Calls on other connections are served meanwhile.
            Request::Submit(command) => {
                let submitter = RouterIncarnation { router: from, incarnation };
                Ok(Response::Submitted(self.proposer.enqueue(submitter, command).await).into())
            }
            Request::Incarnation => Ok(Response::Incarnation(self.peers.latest_incarnation(from)).into()),
        }
    }
}
