//! Connections to the members of the council: one each, kept open, with one call at a time and a timeout for each call.
//!
//! A member that accepts connections and never answers costs its own calls their timeout and delays nobody else.

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

/// Calls that may wait for one member; a further one fails at once, as its reply would come too late to count.
const MAX_PENDING_CALLS: usize = 8;

struct PendingCall {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

/// Why a call has no reply.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The member did not reply within the timeout.
    #[error("timed out")]
    TimedOut,
    /// A reply came that belongs to another call, or is of another version.
    #[error("another call's answer")]
    Mismatched,
    /// The message could not be sent, or the reply not be read.
    #[error("{0}")]
    Message(#[from] MessageError),
}

impl From<io::Error> for CallError {
    fn from(e: io::Error) -> CallError {
        CallError::Message(e.into())
    }
}

/// The connection to one member. Its task ends with it.
pub struct CouncilConnection {
    calls: mpsc::Sender<PendingCall>,
    reachable: Rc<Cell<bool>>,
    _task: JoinSet<()>,
}

impl CouncilConnection {
    /// Starts the task that makes the calls. It connects with the first of them.
    pub fn start(address: SocketAddr, keys: Rc<RefCell<Keys>>, call_timeout: Duration) -> CouncilConnection {
        let (calls, pending) = mpsc::channel(MAX_PENDING_CALLS);
        let reachable = Rc::new(Cell::new(false));
        let caller = Caller { address, keys, call_timeout, reachable: reachable.clone(), stream: None };
        let mut task = JoinSet::new();
        task.spawn_local(caller.run(pending));
        CouncilConnection { calls, reachable, _task: task }
    }

    /// Makes a call; `None`: there was no reply in time. The call is in the queue when this returns, and is made whether
    /// the future is polled or not; one whose future has been dropped by its turn is passed over.
    pub fn call(&self, call: Call) -> impl Future<Output = Option<Reply>> + 'static {
        let (reply, replied) = oneshot::channel();
        let queued = self.calls.try_send(PendingCall { call, reply });
        async move {
            queued.ok()?;
            replied.await.ok()
        }
    }

    /// Whether the last call had a reply.
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
                continue; // Nobody waits for it any more.
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
                    // What may still come on it would be taken for the reply to the next call.
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
