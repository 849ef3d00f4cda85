//! Reloads the configuration and the settings file on SIGHUP. A running router applies a new address of the endpoint list and
//! the settings that the settings schema marks as reloadable. All other changes are logged and take effect after a restart.
//! If either file is malformed, nothing changes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tallypin::deployment::Deployment;
use tallypin_settings_schema::{changes, Checked, TakesEffect};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::balancer_interface::BalancerInterface;
use crate::checks::HealthMonitor;
use crate::config::{Config, PeerAddresses};
use crate::endpoint_list_state::EndpointListState;
use crate::installation::Installation;
use crate::limits::Limits;
use crate::log::Log;

/// Installs the handler of SIGHUP. From then on the signal does not end the program, even if nothing receives it.
///
/// # Errors
/// Returns an error if the system does not permit it.
pub fn hangup_signal() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// The part of the running configuration that only a restart can change.
#[derive(Debug, Clone)]
pub struct StartupConfiguration {
    name: String,
    listen: SocketAddr,
    peers: Option<PeerAddresses>,
    deployment: Deployment,
    limits: Limits,
}

impl StartupConfiguration {
    /// Extracts the part of a configuration that only a restart can change.
    pub fn from_config(config: &Config) -> StartupConfiguration {
        let Config { name, listen, peers, deployment, limits, .. } = config.clone();
        StartupConfiguration { name, listen, peers, deployment, limits }
    }

    /// Returns the names of the fields in which a new configuration differs.
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

/// Applies reloaded settings files to a running router.
pub struct SettingsReloader {
    health_monitor: Option<Rc<HealthMonitor>>,
    log: Option<Rc<Log>>,
    /// The settings with which the program started.
    started: Checked,
    /// The settings that were read last.
    current: Checked,
}

impl SettingsReloader {
    /// Creates a reloader for a router that was started with this installation.
    pub fn new(
        installation: &Installation,
        health_monitor: Option<Rc<HealthMonitor>>,
        log: Option<Rc<Log>>,
    ) -> SettingsReloader {
        let (started, last) = (installation.checked.clone(), installation.checked.clone());
        SettingsReloader { health_monitor, log, started, current: last }
    }

    /// Applies the changes that a running router can apply, and logs those that require a restart.
    pub fn apply(&mut self, balancer_interface: &BalancerInterface, new: &Installation) {
        for change in
            changes(&self.started, &new.checked).iter().filter(|c| c.takes_effect == TakesEffect::OnRestart)
        {
            tracing::warn!(target: "reload", field = change.path, "setting changed: takes effect after a restart");
        }
        for change in
            changes(&self.current, &new.checked).iter().filter(|c| c.takes_effect == TakesEffect::OnReload)
        {
            tracing::info!(target: "reload", field = change.path, "setting applied");
        }
        balancer_interface.set_proxy_protocol_policy(new.proxy_policy.clone());
        self.log.iter().for_each(|log| log.change_levels(&new.log));
        self.health_monitor.iter().for_each(|health_monitor| health_monitor.apply_settings(new));
        self.current = new.checked.clone();
    }
}

/// Reloads both files at every signal. `read` returns the errors of the files as lines. Never returns. A signal that arrives
/// during a reload causes another one.
pub async fn run(
    balancer_interface: Rc<BalancerInterface>,
    endpoint_list: Rc<EndpointListState>,
    mut hangup: Signal,
    running: StartupConfiguration,
    mut reloader: Option<SettingsReloader>,
    read: impl Fn() -> Result<(Config, Option<Installation>), Vec<String>>,
) {
    while hangup.recv().await.is_some() {
        match read() {
            Ok((config, installation)) => {
                apply(&endpoint_list, &running, &config);
                if let (Some(reloader), Some(installation)) = (&mut reloader, &installation) {
                    reloader.apply(&balancer_interface, installation);
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

/// Applies the changes of the configuration that a running router can apply, and logs those that require a restart.
pub fn apply(endpoint_list: &EndpointListState, running: &StartupConfiguration, config: &Config) {
    for field in running.changed_fields(config) {
        tracing::warn!(target: "reload", field, "configuration changed: takes effect after a restart");
    }
    let moved = endpoint_list.set_address(config.endpoint_list_agent);
    tracing::info!(target: "reload", endpoint_list = %config.endpoint_list_agent, moved, "configuration reloaded");
}
