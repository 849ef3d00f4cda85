//! New settings while the router runs: on SIGHUP the configuration and the settings file are read again. The address of the
//! endpoint list may change at any time, and of the settings file what its table says; everything else takes effect after a
//! restart, and is named if it differs. If either file is malformed, nothing changes.

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

/// Takes SIGHUP over: from here on it does not end the program, whoever listens to it.
///
/// # Errors
/// If the system does not allow it.
pub fn hangup_signal() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// The running configuration, as far as only a restart can change it.
#[derive(Debug, Clone)]
pub struct StartupConfiguration {
    name: String,
    listen: SocketAddr,
    peers: Option<PeerAddresses>,
    deployment: Deployment,
    limits: Limits,
}

impl StartupConfiguration {
    /// What a configuration says of it.
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

/// Applies a settings file to a running router.
pub struct SettingsReloader {
    board: Option<Rc<Board>>,
    log: Option<Rc<Log>>,
    /// The file by which the program started.
    started: Checked,
    /// The file that was read last.
    current: Checked,
}

impl SettingsReloader {
    /// For a router that was started by this file.
    pub fn new(
        installation: &Installation,
        board: Option<Rc<Board>>,
        log: Option<Rc<Log>>,
    ) -> SettingsReloader {
        let (started, last) = (installation.checked.clone(), installation.checked.clone());
        SettingsReloader { board, log, started, current: last }
    }

    /// Applies what a running router can of a file, and names the rest in the log.
    pub fn apply(&mut self, outward: &Outward, new: &Installation) {
        for change in changes(&self.started, &new.checked).iter().filter(|c| c.takes == Takes::Restart) {
            tracing::warn!(target: "reload", field = change.path, "setting changed: takes effect after a restart");
        }
        for change in changes(&self.current, &new.checked).iter().filter(|c| c.takes == Takes::Now) {
            tracing::info!(target: "reload", field = change.path, "setting applied");
        }
        outward.guard(new.gate.clone());
        self.log.iter().for_each(|log| log.change_levels(&new.log));
        self.board.iter().for_each(|board| board.adopt(new));
        self.current = new.checked.clone();
    }
}

/// Reads everything again at every signal; an error of `read` says what is wrong, in lines. Never ends; a signal that comes
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
                    tracing::error!(target: "reload", why, "configuration rejected, the running one is kept");
                }
            }
        }
    }
}

/// Applies what a running router can of a configuration, and names the rest in the log.
pub fn apply(endpoint_list: &EndpointListState, running: &StartupConfiguration, config: &Config) {
    for field in running.changed_fields(config) {
        tracing::warn!(target: "reload", field, "configuration changed: takes effect after a restart");
    }
    let moved = endpoint_list.set_address(config.node_list);
    tracing::info!(target: "reload", endpoint_list = %config.node_list, moved, "configuration reloaded");
}
