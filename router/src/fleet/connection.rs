//! Persistent connections to the council members. Each connection makes one call at a time, with a timeout per call.
//!
//! A member that accepts connections but never replies makes its own calls time out and delays no call to other members.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::wire::{self, Call, Direction, Keys, MessageError, Reply};

/// Maximum number of queued calls per member. Further calls fail at once: their replies would arrive too late to be used.
const MAX_PENDING_CALLS: usize = 8;

struct PendingCall {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The member did not reply within the timeout.
    #[error("no reply within the call timeout")]
    TimedOut,
    /// The reply has another sequence number than the call, or another message version.
    #[error("the reply belongs to another call or has another message version")]
    Mismatched,
    /// The call could not be sent, or its reply could not be read.
    #[error("{0}")]
    Message(#[from] MessageError),
}

impl From<io::Error> for CallError {
    fn from(e: io::Error) -> CallError {
        CallError::Message(e.into())
    }
}

/// Connection to one council member. Dropping it ends its task.
pub struct CouncilConnection {
    calls: mpsc::Sender<PendingCall>,
    reachable: Rc<Cell<bool>>,
    _task: JoinSet<()>,
}

impl CouncilConnection {
    /// Starts the task that makes the calls. It connects when it makes the first call.
    pub fn start(address: SocketAddr, keys: Rc<RefCell<Keys>>, call_timeout: Duration) -> CouncilConnection {
        let (calls, pending) = mpsc::channel(MAX_PENDING_CALLS);
        let reachable = Rc::new(Cell::new(false));
        let caller = Caller { address, keys, call_timeout, reachable: reachable.clone(), stream: None };
        let mut task = JoinSet::new();
        task.spawn_local(caller.run(pending));
        CouncilConnection { calls, reachable, _task: task }
    }

    /// Makes a call and returns its reply; `None` if the queue is full, the call failed or it timed out. The call is queued
    /// before this function returns and is made even if the future is not polled. A call whose future was dropped while it
    /// was queued is skipped.
    pub fn call(&self, call: Call) -> impl Future<Output = Option<Reply>> + 'static {
        let (reply, replied) = oneshot::channel();
        let queued = self.calls.try_send(PendingCall { call, reply });
        async move {
            queued.ok()?;
            replied.await.ok()
        }
    }

    /// Returns whether the last call received a reply.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }
}

struct Caller {
    address: SocketAddr,
    keys: Rc<RefCell<Keys>>,
    call_timeout: Duration,
    reachable: Rc<Cell<bool>>,
    stream: Option<TcpStream>,
}

impl Caller {
    async fn run(mut self, mut pending: mpsc::Receiver<PendingCall>) {
        while let Some(PendingCall { call, reply }) = pending.recv().await {
            if reply.is_closed() {
                continue; // The caller has dropped its future.
            }
            match self.call(&call).await {
                Ok(received) => {
                    self.reachable.set(true);
                    let _ = reply.send(received);
                }
                Err(error) => {
                    if self.reachable.replace(false) {
                        tracing::warn!(target: "fleet", address = %self.address, %error, "council member not reachable");
                    }
                    // A late reply on this stream would be read as the reply to the next call.
                    self.stream = None;
                }
            }
        }
    }

    async fn call(&mut self, call: &Call) -> Result<Reply, CallError> {
        let exchanged = timeout(self.call_timeout, self.exchange(call)).await;
        let reply = exchanged.map_err(|_| CallError::TimedOut)??;
        match reply.sequence == call.sequence && reply.version == wire::VERSION {
            true => Ok(reply),
            false => Err(CallError::Mismatched),
        }
    }

    async fn exchange(&mut self, call: &Call) -> Result<Reply, CallError> {
        let stream = match &mut self.stream {
            Some(open) => open,
            none => {
                let opened = TcpStream::connect(self.address).await?;
                opened.set_nodelay(true)?;
                none.insert(opened)
            }
        };
        let bytes = self.keys.borrow().seal(Direction::Call, call)?;
        wire::write(stream, &bytes).await?;
        let bytes = wire::read(stream).await?;
        Ok(self.keys.borrow().open(Direction::Reply, &bytes)?)
    }
}
