//! New settings while the router runs: on SIGHUP the configuration and the settings file are read again. Where
//! the node list is may change at any time, and of the settings file what its table says; everything else takes
//! a restart, and is named if it differs. What is malformed, in either, changes nothing.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tallypin::deployment::Deployment;
use tallypin_settings_schema::{changes, Checked, Takes};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::checks::Board;
use crate::config::{Config, PeerAddresses};
use crate::endpoint_list_state::EndpointListState;
use crate::installation::Installation;
use crate::limits::Limits;
use crate::log::Log;
use crate::outward::Outward;

/// Takes the signal over. From here on it does not end the program, whoever listens to it.
pub fn hangup_signal() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// What runs, as far as only a restart can change it.
#[derive(Debug, Clone)]
pub struct StartupConfiguration {
    name: String,
    listen: SocketAddr,
    peers: Option<PeerAddresses>,
    deployment: Deployment,
    limits: Limits,
}

impl StartupConfiguration {
    /// What runs by a configuration.
    pub fn of(config: &Config) -> StartupConfiguration {
        let Config { name, listen, peers, deployment, limits, .. } = config.clone();
        StartupConfiguration { name, listen, peers, deployment, limits }
    }

    /// The fields in which a new configuration differs.
    fn changed_fields(&self, new: &Config) -> Vec<&'static str> {
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

/// What a settings file acts on while the router runs.
pub struct SettingsReloader {
    board: Option<Rc<Board>>,
    log: Option<Rc<Log>>,
    /// The file by which the program started, and the one read last.
    started: Checked,
    current: Checked,
}

impl SettingsReloader {
    /// What it was started by.
    pub fn new(
        installation: &Installation,
        board: Option<Rc<Board>>,
        log: Option<Rc<Log>>,
    ) -> SettingsReloader {
        let (started, last) = (installation.checked.clone(), installation.checked.clone());
        SettingsReloader { board, log, started, current: last }
    }

    /// Takes over what it can, and names the rest.
    pub fn apply(&mut self, outward: &Outward, new: &Installation) {
        for change in changes(&self.started, &new.checked).iter().filter(|c| c.takes == Takes::Restart) {
            tracing::warn!(target: "reload", field = change.path, "has changed: it takes a restart");
        }
        for change in changes(&self.current, &new.checked).iter().filter(|c| c.takes == Takes::Now) {
            tracing::info!(target: "reload", field = change.path, "taken over");
        }
        outward.guard(new.gate.clone());
        self.log.iter().for_each(|log| log.adopt(&new.log));
        self.board.iter().for_each(|board| board.adopt(new));
        self.current = new.checked.clone();
    }
}

/// Reads everything again at every signal; an error says what is wrong, in lines. Ends never; a signal that comes
/// while files are read has them read once more.
pub async fn run(
    outward: Rc<Outward>,
    endpoint_list: Rc<EndpointListState>,
    mut hangup: Signal,
    running: StartupConfiguration,
    mut adopting: Option<SettingsReloader>,
    read: impl Fn() -> Result<(Config, Option<Installation>), Vec<String>>,
) {
    while hangup.recv().await.is_some() {
        match read() {
            Ok((config, installation)) => {
                apply(&endpoint_list, &running, &config);
                if let (Some(adopting), Some(installation)) = (&mut adopting, &installation) {
                    adopting.apply(&outward, installation);
                }
            }
            Err(lines) => {
                for why in lines {
                    tracing::error!(target: "reload", "configuration kept as it was: {why}");
                }
            }
        }
    }
}

/// Takes over what a running router can of the configuration.
pub fn apply(endpoint_list: &EndpointListState, running: &StartupConfiguration, config: &Config) {
    for field in running.changed_fields(config) {
        tracing::warn!(target: "reload", "{field} has changed: it takes a restart");
    }
    let moved = endpoint_list.move_to(config.node_list);
    let what = if moved { "the node list moves to" } else { "the node list stays at" };
    tracing::info!(target: "reload", "configuration read again: {what} {}", config.node_list);
}
