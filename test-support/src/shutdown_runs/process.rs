//! The router process of a run: its start, its signals and its kill.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::pauses::Pause;
use super::Run;
use crate::router_process::RouterProcess;

/// Logs every request, so that a violation can be explained.
const SETTINGS: &str = "log {\n level debug\n queue 65536\n}\n";
/// Interval between checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The router process, killed when this is dropped.
pub(super) struct Router {
    process: RouterProcess,
    log: PathBuf,
    config: PathBuf,
    /// Addresses of the two list services, between which reloads switch.
    list_addresses: [SocketAddr; 2],
    /// How often the configuration has been changed.
    reloads: usize,
}

/// How the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exit {
    /// It exited without SIGKILL.
    Exited(ExitStatus),
    /// It was ended by SIGKILL.
    Killed,
}

impl Router {
    pub fn start(
        program: &Path,
        dir: &Path,
        run: &Rc<Run>,
        list_addresses: [SocketAddr; 2],
    ) -> io::Result<Router> {
        let (config, settings, log) = (dir.join("config.json"), dir.join("t.conf"), dir.join("log"));
        std::fs::write(&config, run.scenario.configuration(run.front, list_addresses[0], 0).to_string())?;
        std::fs::write(&settings, SETTINGS)?;
        let process = RouterProcess::start(program, &config, &log, run.front, |command| {
            command.arg("--settings").arg(&settings);
            if let Some(socket_faults) = &run.scenario.socket_faults {
                socket_faults.preload(command, run.scenario.seed);
            }
        })?;
        Ok(Router { process, log, config, list_addresses, reloads: 0 })
    }

    pub fn log(&self) -> PathBuf {
        self.log.clone()
    }

    pub async fn wait_until_ready(&mut self, limit: Duration) -> io::Result<()> {
        self.process.wait_until_ready(limit).await
    }

    /// Sends SIGTERM and the other signals of the scenario, and SIGKILL once the time for the shutdown is over.
    pub async fn shut_down(&mut self, run: &Rc<Run>) -> io::Result<Exit> {
        let scenario = &run.scenario;
        let kill_after = scenario.kill_after() + scenario.kill_delay;
        let mut signals: Vec<(Duration, &str)> = scenario.signals.iter().map(|s| (s.after, s.name)).collect();
        for (after, pause) in &scenario.pauses {
            // Skips pauses that would last until SIGKILL, which would leave the process no time to act.
            if *after + *pause + Duration::from_millis(200) < kill_after {
                signals.extend([(*after, "-STOP"), (*after + *pause, "-CONT")]);
            }
        }
        signals.sort();
        run.sigterm_at.set(Some(run.now()));
        self.process.signal("-TERM")?;
        let shutdown_started = Instant::now();
        let mut stopped_at = None;
        for (after, signal_name) in signals {
            if let Some(status) = self.wait_for_exit_until(shutdown_started + after).await? {
                return Ok(Exit::Exited(status));
            }
            if signal_name == "-HUP" && scenario.reloads {
                self.write_next_configuration(run)?;
            }
            let sent_at = run.now();
            self.process.signal(signal_name)?;
            match signal_name {
                "-STOP" => stopped_at = Some(stopped_at.unwrap_or(sent_at)),
                "-CONT" => record_pause(run, stopped_at.take()),
                _ => {}
            }
        }
        if let Some(status) = self.wait_for_exit_until(shutdown_started + kill_after).await? {
            return Ok(Exit::Exited(status));
        }
        run.killed_at.set(Some(run.now()));
        self.process.kill()?;
        Ok(Exit::Killed)
    }

    /// Writes a configuration with another order of classes and the address of the other list service.
    fn write_next_configuration(&mut self, run: &Rc<Run>) -> io::Result<()> {
        self.reloads += 1;
        let list = self.list_addresses[self.reloads % self.list_addresses.len()];
        let text = run.scenario.configuration(run.front, list, self.reloads).to_string();
        std::fs::write(&self.config, text)
    }

    /// Waits until `deadline` or the exit of the process, whichever is first.
    async fn wait_for_exit_until(&mut self, deadline: Instant) -> io::Result<Option<ExitStatus>> {
        while Instant::now() < deadline {
            if let Some(status) = self.process.exit_status()? {
                return Ok(Some(status));
            }
            sleep(EXIT_POLL_INTERVAL.min(deadline - Instant::now())).await;
        }
        Ok(None)
    }
}

/// Records that the process, stopped at `stopped_at`, runs again.
fn record_pause(run: &Run, stopped_at: Option<Duration>) {
    let pause = stopped_at.map(|from| Pause { from, to: run.now() });
    run.signal_pauses.borrow_mut().extend(pause);
}
