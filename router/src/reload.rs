//! A new configuration while the router runs: on SIGHUP the file is read again. Where the node list is may
//! change at any time; everything else takes a restart, and is said if it differs. What is malformed changes
//! nothing.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tallypin::settings::Deployment;
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::config::{Config, Malformed, PeerAddresses};
use crate::host::Host;
use crate::limits::Limits;

/// Takes the signal over. From here on it does not end the program, whoever listens to it.
pub fn on_hangup() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// What runs, as far as only a restart can change it.
#[derive(Debug, Clone)]
pub struct Running {
    name: String,
    listen: SocketAddr,
    peers: Option<PeerAddresses>,
    deployment: Deployment,
    limits: Limits,
}

impl Running {
    /// What runs by a configuration.
    pub fn of(config: &Config) -> Running {
        let Config { name, listen, peers, deployment, limits, .. } = config.clone();
        Running { name, listen, peers, deployment, limits }
    }

    /// The fields in which a new configuration differs.
    fn differs(&self, new: &Config) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("peers", self.peers != new.peers),
            ("settings", self.deployment != new.deployment),
            ("limits", self.limits != new.limits),
        ];
        fields.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect()
    }
}

/// Reads the configuration again at every signal. Ends never; a signal that comes while the file is read
/// has it read once more.
pub async fn keep(
    host: Rc<Host>,
    mut hangup: Signal,
    running: Running,
    read: impl Fn() -> Result<Config, Malformed>,
) {
    while hangup.recv().await.is_some() {
        match read() {
            Ok(config) => take(&host, &running, &config),
            Err(Malformed { field, why }) => {
                eprintln!("tallypin: configuration kept as it was: {field}: {why}");
            }
        }
    }
}

/// Takes over what a running router can.
pub fn take(host: &Host, running: &Running, config: &Config) {
    for field in running.differs(config) {
        eprintln!("tallypin: {field} has changed: it takes a restart");
    }
    let moved =
        host.list_at.send_if_modified(|at| std::mem::replace(at, config.node_list) != config.node_list);
    let what = if moved { "the node list moves to" } else { "the node list stays at" };
    eprintln!("tallypin: configuration read again: {what} {}", config.node_list);
}
