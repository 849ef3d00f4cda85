//! The router of a trial: a process of its own, its signals and its kill.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::pauses::Pause;
use super::Trial;
use crate::router_process::RouterProcess;

/// The log of every request, so that a break can be explained.
const SETTINGS: &str = "log {\n level debug\n queue 65536\n}\n";
/// Between two looks whether the process has ended.
const LOOK: Duration = Duration::from_millis(2);

/// The process, killed with this.
pub(super) struct Router {
    process: RouterProcess,
    log: PathBuf,
    config: PathBuf,
    /// Where the list is, and where it moves.
    lists: [SocketAddr; 2],
    /// How often the configuration has changed.
    reloads: usize,
}

/// How the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exit {
    /// On its own.
    Itself(ExitStatus),
    /// By SIGKILL.
    Killed,
}

impl Router {
    pub fn start(
        program: &Path,
        dir: &Path,
        trial: &Rc<Trial>,
        lists: [SocketAddr; 2],
    ) -> io::Result<Router> {
        let (config, settings, log) = (dir.join("config.json"), dir.join("t.conf"), dir.join("log"));
        std::fs::write(&config, trial.plan.configuration(trial.front, lists[0], 0).to_string())?;
        std::fs::write(&settings, SETTINGS)?;
        let process = RouterProcess::start(program, &config, &log, trial.front, |command| {
            command.arg("--settings").arg(&settings);
            if let Some(shim) = &trial.plan.shim {
                shim.preload(command, trial.plan.seed);
            }
        })?;
        Ok(Router { process, log, config, lists, reloads: 0 })
    }

    pub fn log(&self) -> PathBuf {
        self.log.clone()
    }

    pub async fn until_ready(&mut self, limit: Duration) -> io::Result<()> {
        self.process.until_ready(limit).await
    }

    /// Tells it to end, sends the other signals of the plan, and kills it at the end of its time.
    pub async fn end(&mut self, trial: &Rc<Trial>) -> io::Result<Exit> {
        let plan = &trial.plan;
        let kill_after = plan.kill_after() + plan.grace;
        let mut orders: Vec<(Duration, &str)> = plan.signals.iter().map(|s| (s.after, s.name)).collect();
        for (after, held) in &plan.stops {
            // Never across the kill: a process that is held up then has no time of its own.
            if *after + *held + Duration::from_millis(200) < kill_after {
                orders.extend([(*after, "-STOP"), (*after + *held, "-CONT")]);
            }
        }
        orders.sort();
        trial.told.set(Some(trial.now()));
        self.process.signal("-TERM")?;
        let told = Instant::now();
        let mut stopped_at = None;
        for (after, name) in orders {
            if let Some(status) = self.wait_until(told + after).await? {
                return Ok(Exit::Itself(status));
            }
            if name == "-HUP" && plan.reloads {
                self.change_configuration(trial)?;
            }
            let sent = trial.now();
            self.process.signal(name)?;
            match name {
                "-STOP" => stopped_at = Some(stopped_at.unwrap_or(sent)),
                "-CONT" => note_pause(trial, stopped_at.take()),
                _ => {}
            }
        }
        if let Some(status) = self.wait_until(told + kill_after).await? {
            return Ok(Exit::Itself(status));
        }
        trial.killed.set(Some(trial.now()));
        self.process.kill()?;
        Ok(Exit::Killed)
    }

    /// Writes a configuration with another order of classes and another place of the list.
    fn change_configuration(&mut self, trial: &Rc<Trial>) -> io::Result<()> {
        self.reloads += 1;
        let list = self.lists[self.reloads % self.lists.len()];
        let text = trial.plan.configuration(trial.front, list, self.reloads).to_string();
        std::fs::write(&self.config, text)
    }

    /// Waits until then, or until the process has ended.
    async fn wait_until(&mut self, at: Instant) -> io::Result<Option<ExitStatus>> {
        while Instant::now() < at {
            if let Some(status) = self.process.has_ended()? {
                return Ok(Some(status));
            }
            sleep(LOOK.min(at - Instant::now())).await;
        }
        Ok(None)
    }
}

/// Notes that the process goes on, which had been stopped at this time.
fn note_pause(trial: &Trial, stopped_at: Option<Duration>) {
    let pause = stopped_at.map(|from| Pause { from, to: trial.now() });
    trial.stopped.borrow_mut().extend(pause);
}
