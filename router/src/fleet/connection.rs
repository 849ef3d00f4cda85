//! Connections to the members of the council. One each, kept; a call at a time; each has a deadline. A member that accepts
//! and says nothing costs its own calls their time and nobody else's.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::wire::{self, Call, Direction, Keys, Reply};

/// Calls that may wait for one member; more are not made, as an answer would come too late to count.
const MAX_PENDING_CALLS: usize = 8;

type PendingCall = (Call, oneshot::Sender<Reply>);

/// The way to one member.
pub struct CouncilConnection {
    calls: mpsc::Sender<PendingCall>,
    /// Whether the last call was answered.
    answered_last: Rc<Cell<bool>>,
}

impl CouncilConnection {
    /// Starts the task that keeps it. It ends with this.
    pub fn start(to: SocketAddr, keys: Rc<RefCell<Keys>>, deadline: Duration) -> CouncilConnection {
        let (calls, waiting) = mpsc::channel(MAX_PENDING_CALLS);
        let answered_last = Rc::new(Cell::new(false));
        tokio::task::spawn_local(keep(to, keys, deadline, waiting, answered_last.clone()));
        CouncilConnection { calls, answered_last }
    }

    /// Makes a call; `None`: not answered in time.
    pub async fn call(&self, call: Call) -> Option<Reply> {
        self.calling(call).await
    }

    /// The same, made at once, for a task of its own to wait for.
    pub fn calling(&self, call: Call) -> impl Future<Output = Option<Reply>> + 'static {
        let (answer, answered) = oneshot::channel();
        let made = self.calls.try_send((call, answer));
        async move {
            made.ok()?;
            answered.await.ok()
        }
    }

    /// Whether the last call was answered.
    pub fn answered_last(&self) -> bool {
        self.answered_last.get()
    }
}

async fn keep(
    to: SocketAddr,
    keys: Rc<RefCell<Keys>>,
    deadline: Duration,
    mut calls: mpsc::Receiver<PendingCall>,
    answered_last: Rc<Cell<bool>>,
) {
    let mut stream: Option<TcpStream> = None;
    while let Some((call, answer)) = calls.recv().await {
        if answer.is_closed() {
            continue; // Nobody waits for it any more.
        }
        let number = call.sequence;
        let made = timeout(deadline, one(&mut stream, to, &keys, &call)).await;
        match made.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(reply) if reply.sequence == number && reply.version == wire::VERSION => {
                answered_last.set(true);
                let _ = answer.send(reply);
            }
            other => {
                if answered_last.replace(false) {
                    let why = other.err().map_or("another call's answer".to_string(), |e| e.to_string());
                    tracing::warn!(target: "fleet", %to, why, "member of the council lost");
                }
                // Request may still come on it would be taken for the next call's answer.
                stream = None;
            }
        }
    }
}

async fn one(
    stream: &mut Option<TcpStream>,
    to: SocketAddr,
    keys: &RefCell<Keys>,
    call: &Call,
) -> io::Result<Reply> {
    let stream = match stream {
        Some(open) => open,
        none => {
            let opened = TcpStream::connect(to).await?;
            opened.set_nodelay(true)?;
            none.insert(opened)
        }
    };
    let bytes = keys.borrow().seal(Direction::Call, call)?;
    wire::write(stream, &bytes).await?;
    let bytes = wire::read(stream).await?;
    let opened = keys.borrow().open(Direction::Reply, &bytes);
    opened
}
