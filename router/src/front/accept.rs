//! Takes client connections, within their budget, until the router closes.

use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};

use super::connection::{self, parted};
use super::Front;
use super::FrontContext;
use crate::lifecycle::Stage;

/// Takes connections until the router closes.
pub async fn serve(context: Rc<FrontContext>, listener: TcpListener, front: Front) {
    let front = Rc::new(front);
    tokio::select! {
        biased;
        // First, as a crowd that connects again and again would else keep the listener open to the end.
        () = parted(&context, Stage::Closing) => {}
        () = accept(&context, &listener, &front) => {}
    }
    // Whoever the machine has accepted already is not to be reset when the listener goes, as far as there is room.
    let most = context.limits.max_clients + context.limits.max_rejected_clients;
    while context.clients.open() < most {
        match accepted_already(&listener).await {
            Some(stream) => begin(&context, stream, &front),
            None => return,
        }
    }
}

/// Takes connections. Ends never.
async fn accept(context: &Rc<FrontContext>, listener: &TcpListener, front: &Rc<Front>) {
    let most = context.limits.max_clients + context.limits.max_rejected_clients;
    loop {
        // Beyond this, connections wait where the machine holds them, and cost no descriptor.
        while context.clients.open() >= most {
            if !context.clients.is_one_closing() {
                context.clients.close_one_idle();
            }
            context.clients.connection_closed().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => begin(context, stream, front),
            // Out of descriptors, or the client was gone already: neither ends the service, nor holds up its end.
            Err(e) => {
                tracing::debug!(target: "front", why = %e, "a connection could not be taken");
                tokio::time::sleep(context.limits.accept_backoff).await;
            }
        }
    }
}

/// A connection that the machine has accepted and that waits here, if there is one.
async fn accepted_already(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = std::future::ready(()) => None,
    }
}

/// Begins to serve a connection.
fn begin(context: &Rc<FrontContext>, stream: TcpStream, front: &Rc<Front>) {
    let (client, idle) = context.clients.register();
    tokio::task::spawn_local(connection::run(context.clone(), client, idle, stream, front.clone()));
}
