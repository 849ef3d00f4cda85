//! Takes client connections, within their budget, until the router closes.

use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};

use super::connection::{self, parted};
use super::Front;
use crate::host::Host;
use crate::shutdown::Stage;

/// Takes connections until the router closes.
pub async fn serve(host: Rc<Host>, listener: TcpListener, front: Front) {
    let front = Rc::new(front);
    tokio::select! {
        biased;
        // First, as a crowd that connects again and again would else keep the listener open to the end.
        () = parted(&host, Stage::Closing) => {}
        () = accept(&host, &listener, &front) => {}
    }
    // Whoever the machine has accepted already is not to be reset when the listener goes, as far as there is room.
    let most = host.limits.clients + host.limits.clients_refused;
    while host.clients.open() < most {
        match accepted_already(&listener).await {
            Some(stream) => begin(&host, stream, &front),
            None => return,
        }
    }
}

/// Takes connections. Ends never.
async fn accept(host: &Rc<Host>, listener: &TcpListener, front: &Rc<Front>) {
    let most = host.limits.clients + host.limits.clients_refused;
    loop {
        // Beyond this, connections wait where the machine holds them, and cost no descriptor.
        while host.clients.open() >= most {
            if !host.clients.is_one_closing() {
                host.clients.close_one_idle();
            }
            host.clients.connection_closed().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => begin(host, stream, front),
            // Out of descriptors, or the client was gone already: neither ends the service, nor holds up its end.
            Err(e) => {
                tracing::debug!(target: "front", why = %e, "a connection could not be taken");
                tokio::time::sleep(host.limits.accept_again).await;
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
fn begin(host: &Rc<Host>, stream: TcpStream, front: &Rc<Front>) {
    let (client, idle) = host.clients.register();
    tokio::task::spawn_local(connection::run(host.clone(), client, idle, stream, front.clone()));
}
