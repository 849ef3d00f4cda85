//! Accepts client connections, up to their limit, until the router closes.

use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};

use super::connection::{self, wait_for_stage};
use super::Front;
use super::FrontContext;
use crate::lifecycle::Stage;

/// Accepts and serves connections until the router closes, then those that the kernel has already accepted.
pub async fn serve(context: Rc<FrontContext>, listener: TcpListener, front: Front) {
    let front = Rc::new(front);
    tokio::select! {
        biased;
        // The shutdown is checked first: clients that keep reconnecting would otherwise keep the listener open.
        () = wait_for_stage(&context, Stage::Closing) => {}
        () = accept(&context, &listener, &front) => {}
    }
    // Connections in the kernel's accept queue are served up to the limit, as closing the listener resets them.
    let max_connections = context.limits.max_clients + context.limits.max_rejected_clients;
    while context.clients.open() < max_connections {
        match accept_queued(&listener).await {
            Some(stream) => spawn_connection(&context, stream, &front),
            None => return,
        }
    }
}

/// Accepts connections; never returns.
async fn accept(context: &Rc<FrontContext>, listener: &TcpListener, front: &Rc<Front>) {
    let max_connections = context.limits.max_clients + context.limits.max_rejected_clients;
    loop {
        // At the limit, further connections wait in the kernel's accept queue, where they use no descriptor.
        while context.clients.open() >= max_connections {
            if !context.clients.has_closing_connection() {
                context.clients.request_idle_close();
            }
            context.clients.connection_closed().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(context, stream, front),
            // Descriptors may have run out, or the client may have disconnected: retry after a pause.
            Err(e) => {
                tracing::debug!(target: "front", why = %e, "failed to accept client connection, retrying after a pause");
                tokio::time::sleep(context.limits.accept_backoff).await;
            }
        }
    }
}

/// Returns a connection from the kernel's accept queue without waiting; `None` if the queue is empty.
async fn accept_queued(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = std::future::ready(()) => None,
    }
}

/// Registers a connection and starts the task that serves it.
fn spawn_connection(context: &Rc<FrontContext>, stream: TcpStream, front: &Rc<Front>) {
    let (client, idle) = context.clients.register();
    tokio::task::spawn_local(connection::run(context.clone(), client, idle, stream, front.clone()));
}
