//! The listener for other routers' calls, and the reply to each.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::council::{Council, MemberAnswer};
use super::local_router::LocalRouter;
use super::peer_table::{PeerTable, StaleCall};
use super::proposer::CommandProposer;
use super::settings::FleetSettings;
use super::tasks::TaskGroup;
use super::wire::{
    self, Call, Direction, HeartbeatReport, Keys, MessageError, NotClearReplica, Reply, Request, Response,
};

/// The pause after a failed accept: it fails at once, again and again, while descriptors are short.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);
/// Connections of one router: for commands, and for other calls.
const CONNECTIONS_PER_ROUTER: usize = 2;
/// Connections beyond those of all routers: a router that reconnects has one more for a moment.
const SPARE_CONNECTIONS: usize = 2;

/// Why a connection was closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// There are too many.
    #[error("too many connections")]
    TooMany,
    /// A message was not read, or the connection failed.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// A call was of another version of the messages.
    #[error("of a version that is not known")]
    UnknownVersion,
    /// A call was of no router of the fleet, or not new.
    #[error("{0}")]
    StaleCall(#[from] StaleCall),
    /// The peer was silent for so long that it has ended, or has another connection by now.
    #[error("idle")]
    Idle,
}

impl ConnectionError {
    /// Whether the peer sent what no router of the fleet sends.
    fn is_rejection(&self) -> bool {
        match self {
            ConnectionError::Message(error) => error.kind() == std::io::ErrorKind::InvalidData,
            ConnectionError::Idle => false,
            ConnectionError::TooMany | ConnectionError::UnknownVersion | ConnectionError::StaleCall(_) => {
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
    /// How many there were.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts one. The log has the first and then each doubling: nobody outside the fleet can fill the disk with it.
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
    /// The keys of the fleet, replaced when their file changes.
    pub keys: Rc<RefCell<Keys>>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// Answers for the acceptor.
    pub council: Rc<Council>,
    /// Takes heartbeats, and knows which calls are new.
    pub peers: Rc<PeerTable>,
    /// Takes commands.
    pub proposer: Rc<CommandProposer>,
    /// Counts what is rejected.
    pub rejected: Rc<RejectedMessages>,
    /// Owns the connections.
    pub tasks: Rc<TaskGroup>,
}

/// A response, with what goes beside one to a read.
struct Answer {
    response: Response,
    not_clear: Vec<NotClearReplica>,
}

impl From<Response> for Answer {
    fn from(response: Response) -> Answer {
        Answer { response, not_clear: vec![] }
    }
}

impl FleetServer {
    /// Accepts connections. Never returns.
    pub async fn run(self, listener: TcpListener) {
        let most = CONNECTIONS_PER_ROUTER * self.settings.routers.len() + SPARE_CONNECTIONS;
        let permits = Arc::new(Semaphore::new(most));
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
            let of_connection = server.clone();
            server.tasks.spawn(async move {
                if let Err(error) = of_connection.serve(stream).await {
                    if error.is_rejection() {
                        of_connection.rejected.record(peer, &error);
                    }
                }
                drop(permit);
            });
        }
    }

    /// Answers calls, one after the other, until one is rejected or the connection ends.
    async fn serve(&self, mut stream: TcpStream) -> Result<(), ConnectionError> {
        stream.set_nodelay(true).map_err(MessageError::from)?;
        let longest_pause = self.settings.heartbeat.silence_limit;
        loop {
            let read = timeout(longest_pause, wire::read(&mut stream)).await;
            let bytes = read.map_err(|_| ConnectionError::Idle)??;
            let call: Call = self.keys.borrow().open(Direction::Call, &bytes)?;
            if call.version != wire::VERSION {
                return Err(ConnectionError::UnknownVersion);
            }
            let sequence = call.sequence;
            let Answer { response, not_clear } = self.answer(call).await?;
            let reply = Reply { version: wire::VERSION, sequence, response, not_clear };
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
                // One that is no member answers as to a call that is none.
                let answer = self.council.answer_locally(request).ok_or(StaleCall)?;
                let MemberAnswer { reply, out_of_service, not_clear } = answer;
                Ok(Answer { response: Response::Acceptor(reply, out_of_service), not_clear })
            }
            // Other connections are served meanwhile: it waits for agreement.
            Request::Submit(command) => Ok(Response::Submitted(self.proposer.enqueue(command).await).into()),
            Request::Incarnation => Ok(Response::Incarnation(self.peers.latest_incarnation(from)).into()),
        }
    }
}
