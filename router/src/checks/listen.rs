//! A listener for checks: it takes connections within the checks' own budget, and moves when the settings do.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::{Board, CheckContext};
use crate::bind::bind_with_retry;
use crate::clients::{Client, IdleGuard};
use crate::http::BufferedConnection;
use crate::installation::CheckSettings;
use crate::outward::Door;

/// A connection that may carry checks.
pub struct Call {
    /// The router; what clients do is none of a check's business.
    pub context: Rc<CheckContext>,
    /// What is told.
    pub board: Rc<Board>,
    /// The connection.
    pub wire: BufferedConnection,
    /// Who asks.
    pub ip: IpAddr,
    /// Its place among the check connections.
    pub client: Client,
    /// It has asked nothing yet; told when its place is needed.
    pub idle: Option<IdleGuard>,
}

impl Call {
    /// A check must be whole, and answered, within this.
    pub fn budget(&self) -> Duration {
        self.board.of_checks(|c| c.budget).unwrap_or_default()
    }

    /// It carries nothing from now on, until the result is dropped.
    pub fn rest(&mut self) -> IdleGuard {
        self.idle.take().unwrap_or_else(|| self.client.idle())
    }
}

/// Binds an address and takes connections there; also says where that is.
pub async fn start<F: Future<Output = ()> + 'static>(
    context: &Rc<CheckContext>,
    board: &Rc<Board>,
    at: SocketAddr,
    place: impl Fn(&CheckSettings) -> Option<SocketAddr> + 'static,
    answer: impl Fn(Call) -> F + Copy + 'static,
) -> io::Result<(SocketAddr, AbortHandle)> {
    let listener = bind_with_retry(async || bind(at).await).await?;
    let bound = listener.local_addr()?;
    let task = tokio::task::spawn_local(keep(context.clone(), board.clone(), listener, at, place, answer));
    Ok((bound, task.abort_handle()))
}

/// Binds an address.
async fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(at).await.map_err(|e| io::Error::new(e.kind(), format!("{at}: {e}")))
}

/// Takes connections until the router is at its very end: a balancer that asks during the drain is answered.
async fn keep<F: Future<Output = ()> + 'static>(
    context: Rc<CheckContext>,
    board: Rc<Board>,
    mut listener: TcpListener,
    mut at: SocketAddr,
    place: impl Fn(&CheckSettings) -> Option<SocketAddr>,
    answer: impl Fn(Call) -> F + Copy + 'static,
) {
    let mut changed = board.changed.subscribe();
    loop {
        // Those that were told to close do so as soon as their tasks run: no descriptor beyond the budget.
        while board.places.open() > board.most_places {
            board.places.connection_closed().await;
        }
        let accepted = tokio::select! {
            biased;
            moved = changed.changed() => {
                if moved.is_err() { return }
                let wanted = board.of_checks(&place).flatten().unwrap_or(at);
                if wanted != at {
                    match bind(wanted).await {
                        // What the old one had accepted goes on; whoever asks there again finds it gone.
                        Ok(new) => {
                            tracing::info!(target: "checks", from = %at, to = %wanted, "check listener moved");
                            (listener, at) = (new, wanted);
                        }
                        Err(e) => tracing::error!(target: "checks", why = %e, kept = %at, "check listener not moved"),
                    }
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => take(&context, &board, stream, from, answer),
            // Out of descriptors for a moment: checks have their own reserve, so this passes.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

fn take<F: Future<Output = ()> + 'static>(
    context: &Rc<CheckContext>,
    board: &Rc<Board>,
    stream: TcpStream,
    from: SocketAddr,
    answer: impl Fn(Call) -> F + Copy + 'static,
) {
    let (client, mut idle) = board.places.register();
    if client.over_limit {
        // All are in the middle of a check, each of which ends within its budget.
        board.spoilt();
        return;
    }
    let (context, board, mut wire) = (context.clone(), board.clone(), BufferedConnection::new(stream));
    tokio::task::spawn_local(async move {
        let origin = tokio::select! {
            biased;
            origin = context.outward.origin(Door::Checks, &mut wire) => origin,
            () = idle.close_requested() => None,
        };
        let Some(origin) = origin else { return board.spoilt() };
        let ip = origin.client.unwrap_or(from).ip();
        let (ending, call) = (board.clone(), Call { context, board, wire, ip, client, idle: Some(idle) });
        tokio::select! {
            () = answer(call) => {}
            () = ending.ended() => {}
        }
    });
}
