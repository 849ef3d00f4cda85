//! A listener for checks: it accepts connections within a limit of its own, and moves to another address when the settings
//! change.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::{CheckContext, HealthMonitor};
use crate::balancer_interface::ListenerKind;
use crate::bind::bind_with_retry;
use crate::clients::{Client, IdleGuard};
use crate::http::BufferedConnection;
use crate::installation::CheckSettings;

/// A connection that carries health checks.
pub struct CheckConnection {
    /// The parts of the router that checks use.
    pub context: Rc<CheckContext>,
    /// The health that checks report.
    pub health_monitor: Rc<HealthMonitor>,
    /// The connection.
    pub wire: BufferedConnection,
    /// The address of the balancer.
    pub ip: IpAddr,
    /// The connection's entry among the open check connections.
    pub client: Client,
    /// Marks a new connection as idle until its first check. Resolves when the connection must close for another one.
    pub idle: Option<IdleGuard>,
}

impl CheckConnection {
    /// Returns the time limit for receiving a complete check, which is also the time limit for answering it.
    pub fn time_limit(&self) -> Duration {
        self.health_monitor.check_setting(|c| c.time_limit).unwrap_or_default()
    }

    /// Marks the connection as idle until the returned guard is dropped.
    pub fn mark_idle(&mut self) -> IdleGuard {
        self.idle.take().unwrap_or_else(|| self.client.mark_idle())
    }
}

/// Binds an address and accepts connections there. Returns the bound address and the task.
pub async fn start<F: Future<Output = ()> + 'static>(
    context: &Rc<CheckContext>,
    health_monitor: &Rc<HealthMonitor>,
    address: SocketAddr,
    address_of: impl Fn(&CheckSettings) -> Option<SocketAddr> + 'static,
    answer: impl Fn(CheckConnection) -> F + Copy + 'static,
) -> io::Result<(SocketAddr, AbortHandle)> {
    let listener = bind_with_retry(async || bind(address).await).await?;
    let bound = listener.local_addr()?;
    let task = tokio::task::spawn_local(serve(
        context.clone(),
        health_monitor.clone(),
        listener,
        address,
        address_of,
        answer,
    ));
    Ok((bound, task.abort_handle()))
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))
}

/// Accepts connections until the process ends, so that checks are also answered during a drain.
async fn serve<F: Future<Output = ()> + 'static>(
    context: Rc<CheckContext>,
    health_monitor: Rc<HealthMonitor>,
    mut listener: TcpListener,
    mut address: SocketAddr,
    address_of: impl Fn(&CheckSettings) -> Option<SocketAddr>,
    answer: impl Fn(CheckConnection) -> F + Copy + 'static,
) {
    let mut settings_version = health_monitor.settings_version.subscribe();
    loop {
        // Connections that were asked to close do so as soon as their tasks run. No further one is accepted before that,
        // so the number of descriptors stays within the limit.
        while health_monitor.connections.open() > health_monitor.max_open_connections {
            health_monitor.connections.connection_closed().await;
        }
        let accepted = tokio::select! {
            biased;
            changed = settings_version.changed() => {
                if changed.is_err() { return }
                let new_address = health_monitor.check_setting(&address_of).flatten().unwrap_or(address);
                if new_address != address {
                    match bind(new_address).await {
                        // Accepted connections continue; the old address accepts no further ones.
                        Ok(new) => {
                            tracing::info!(target: "checks", from = %address, to = %new_address, "check listener moved");
                            (listener, address) = (new, new_address);
                        }
                        Err(e) => tracing::error!(target: "checks", why = %e, kept = %address, "check listener not moved"),
                    }
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => handle_connection(&context, &health_monitor, stream, peer, answer),
            // The process has no free descriptors. This is temporary, because check connections have a reserve of their own.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

fn handle_connection<F: Future<Output = ()> + 'static>(
    context: &Rc<CheckContext>,
    health_monitor: &Rc<HealthMonitor>,
    stream: TcpStream,
    peer: SocketAddr,
    answer: impl Fn(CheckConnection) -> F + Copy + 'static,
) {
    let (client, mut idle) = health_monitor.connections.register();
    if client.over_limit {
        // No connection is idle: each is in the middle of a check. The new connection is closed and counted as an invalid check.
        health_monitor.record_invalid_check();
        return;
    }
    let (context, health_monitor, mut wire) =
        (context.clone(), health_monitor.clone(), BufferedConnection::new(stream));
    tokio::task::spawn_local(async move {
        let origin = tokio::select! {
            biased;
            origin = context.balancer_interface.read_origin(ListenerKind::Checks, &mut wire) => origin,
            () = idle.close_requested() => None,
        };
        let Some(origin) = origin else { return health_monitor.record_invalid_check() };
        let ip = origin.client.unwrap_or(peer).ip();
        let (monitor, conn) = (
            health_monitor.clone(),
            CheckConnection { context, health_monitor, wire, ip, client, idle: Some(idle) },
        );
        tokio::select! {
            () = answer(conn) => {}
            () = monitor.stopped() => {}
        }
    });
}
